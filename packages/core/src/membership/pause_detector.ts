/**
 * Detects that this process was paused, from gaps between its observations of
 * the clock. A process that resumes may have missed that it is leaving, and
 * the first messages that it receives were sent before the pause, so it accepts
 * no new work for a grace period.
 */

/** Gap between observations that counts as a pause, in ms. */
export const PAUSE_MS = 1_000;
/** Grace period after a pause, in ms, for peers to report what was missed. */
export const WAKE_GRACE_MS = 1_500;

/** Detects pauses of one process. */
export class PauseDetector {
  private wokeAtMs = -Infinity;
  private observedAtMs: number | undefined;

  private constructor() {}

  static create(): PauseDetector {
    return new PauseDetector();
  }

  /**
   * Records the monotonic time in ms. Must be called much more often than
   * every `PAUSE_MS`.
   */
  observeTime(nowMs: number): void {
    const gapMs = nowMs - (this.observedAtMs ?? nowMs);
    if (gapMs >= PAUSE_MS) this.wokeAtMs = nowMs;
    this.observedAtMs = nowMs;
  }

  /** Returns whether the grace period after a pause is still running. */
  isWaking(nowMs: number): boolean {
    this.observeTime(nowMs);
    return nowMs - this.wokeAtMs < WAKE_GRACE_MS;
  }
}
