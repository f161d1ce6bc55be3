/** Follows the published versions of one service and how often they come. */

/** Weight of the newest interval in the smoothed one. */
const SMOOTHING = 0.3;

/** What is known of the versions of a service. */
export interface VersionPace {
  /** Newest version seen; 0 for none. */
  readonly newest: number;
  /** Smoothed time between versions; undefined before the second one. */
  readonly intervalMs: number | undefined;
  readonly sinceMs: number;
}

/** Tracks the newest version of a service. */
export class VersionTracker {
  private newest = 0;
  private seenAtMs: number | undefined;
  private intervalMs: number | undefined;

  private constructor() {}

  /** Builds a tracker that has seen no version. */
  static create(): VersionTracker {
    return new VersionTracker();
  }

  /** Takes a version; an older one changes nothing. */
  observeVersion(version: number, nowMs: number): void {
    if (version <= this.newest) return;
    if (this.seenAtMs !== undefined) {
      const step = (nowMs - this.seenAtMs) / (version - this.newest);
      const before = this.intervalMs ?? step;
      this.intervalMs = before + SMOOTHING * (step - before);
    }
    this.newest = version;
    this.seenAtMs = nowMs;
  }

  /** Returns the newest version seen. */
  getNewest(): number {
    return this.newest;
  }

  /** Describes the pace of versions. */
  describe(nowMs: number): VersionPace {
    const sinceMs = nowMs - (this.seenAtMs ?? nowMs);
    return {newest: this.newest, intervalMs: this.intervalMs, sinceMs};
  }
}
