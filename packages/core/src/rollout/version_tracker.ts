/** Tracks the published versions of a service and the time between them. */

/** Weight of the newest interval in the exponential average. */
const SMOOTHING_FACTOR = 0.3;

/** The newest version of a service and when the next one is likely. */
export interface VersionTiming {
  /** 0 for none. */
  readonly newestVersion: number;
  /** Smoothed time between versions; undefined until two have been seen. */
  readonly intervalMs: number | undefined;
  /** Time since the newest version was first seen; 0 for none. */
  readonly sinceNewestMs: number;
}

/** The versions of one service as this process has seen them. */
export class VersionTracker {
  private newestVersion = 0;
  private newestSeenAtMs: number | undefined;
  private intervalMs: number | undefined;

  private constructor() {}

  static create(): VersionTracker {
    return new VersionTracker();
  }

  /** Records a version; ignores any that isn't newer than all before. */
  observeVersion(version: number, nowMs: number): void {
    if (version <= this.newestVersion) return;
    if (this.newestSeenAtMs !== undefined) {
      const latestMs =
        (nowMs - this.newestSeenAtMs) / (version - this.newestVersion);
      const previousMs = this.intervalMs ?? latestMs;
      this.intervalMs = previousMs + SMOOTHING_FACTOR * (latestMs - previousMs);
    }
    this.newestVersion = version;
    this.newestSeenAtMs = nowMs;
  }

  /** Returns 0 before the first version. */
  getNewestVersion(): number {
    return this.newestVersion;
  }

  describe(nowMs: number): VersionTiming {
    const sinceNewestMs = nowMs - (this.newestSeenAtMs ?? nowMs);
    return {
      newestVersion: this.newestVersion,
      intervalMs: this.intervalMs,
      sinceNewestMs,
    };
  }
}
