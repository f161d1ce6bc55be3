/** Follows the published versions of one service and how often they come. */

/** Weight of the newest interval in the smoothed one. */
const SMOOTHING_FACTOR = 0.3;

/** What is known of the versions of a service. */
export interface VersionTiming {
  /** Newest version seen; 0 for none. */
  readonly newestVersion: number;
  /** Smoothed time between versions; undefined before the second one. */
  readonly intervalMs: number | undefined;
  readonly sinceNewestMs: number;
}

/** Tracks the newest version of a service. */
export class VersionTracker {
  private newestVersion = 0;
  private newestSeenAtMs: number | undefined;
  private intervalMs: number | undefined;

  private constructor() {}

  /** Builds a tracker that has seen no version. */
  static create(): VersionTracker {
    return new VersionTracker();
  }

  /** Takes a version; an older one changes nothing. */
  observeVersion(version: number, nowMs: number): void {
    if (version <= this.newestVersion) return;
    if (this.newestSeenAtMs !== undefined) {
      const step =
        (nowMs - this.newestSeenAtMs) / (version - this.newestVersion);
      const before = this.intervalMs ?? step;
      this.intervalMs = before + SMOOTHING_FACTOR * (step - before);
    }
    this.newestVersion = version;
    this.newestSeenAtMs = nowMs;
  }

  /** Returns the newest version seen. */
  getNewestVersion(): number {
    return this.newestVersion;
  }

  /** Describes the pace of versions. */
  describe(nowMs: number): VersionTiming {
    const sinceMs = nowMs - (this.newestSeenAtMs ?? nowMs);
    return {
      newestVersion: this.newestVersion,
      intervalMs: this.intervalMs,
      sinceNewestMs: sinceMs,
    };
  }
}
