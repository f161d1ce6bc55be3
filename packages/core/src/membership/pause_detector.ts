/**
 * Notices that a process has been paused, by gaps in its own ticking. A
 * process that wakes may have missed that it is leaving, and what arrives
 * first was sent before the pause; for a while it takes no new work.
 */

/** A gap between observations that counts as a pause. */
export const PAUSE_MS = 1_000;
/** Time after a pause in which peers can say what was missed. */
export const WAKE_GRACE_MS = 1_500;

/** Watches one process for pauses. */
export class PauseDetector {
  private wokeAtMs = -Infinity;
  private observedAtMs: number | undefined;

  private constructor() {}

  /** Builds a detector of a process that has just started. */
  static create(): PauseDetector {
    return new PauseDetector();
  }

  /** Takes the monotonic time; far more often than every `PAUSE_MS`. */
  observeTime(nowMs: number): void {
    const gapMs = nowMs - (this.observedAtMs ?? nowMs);
    if (gapMs >= PAUSE_MS) this.wokeAtMs = nowMs;
    this.observedAtMs = nowMs;
  }

  /** Tells whether the process has just woken from a pause. */
  isWaking(nowMs: number): boolean {
    this.observeTime(nowMs);
    return nowMs - this.wokeAtMs < WAKE_GRACE_MS;
  }
}
