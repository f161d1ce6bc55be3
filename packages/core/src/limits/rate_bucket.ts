/**
 * A token bucket that starts empty, so that a keeper of a limit that has just
 * started grants nothing that an earlier one may have granted already.
 */

const MS_PER_SECOND = 1_000;

export class RateBucket {
  private tokens = 0;

  private constructor(
    private readonly burst: number,
    private filledAtMs: number,
  ) {}

  /** Creates an empty bucket that holds at most `burst` tokens. */
  static create(burst: number, nowMs: number): RateBucket {
    return new RateBucket(burst, nowMs);
  }

  /** Takes up to `wanted` tokens and returns how many; the bucket has been
   * refilled at `perSecond` since the last call. */
  take(wanted: number, perSecond: number, nowMs: number): number {
    const taken = Math.min(wanted, this.count(perSecond, nowMs));
    this.tokens -= taken;
    return taken;
  }

  /** Returns the number of whole tokens in the bucket. */
  count(perSecond: number, nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.filledAtMs);
    const refill = (elapsedMs * perSecond) / MS_PER_SECOND;
    this.tokens = Math.min(this.burst, this.tokens + refill);
    this.filledAtMs = nowMs;
    return Math.floor(this.tokens);
  }

  /** Returns the time until the bucket has a whole token, in ms. */
  computeWaitMs(perSecond: number, nowMs: number): number {
    if (this.count(perSecond, nowMs) > 0) return 0;
    return ((1 - this.tokens) * MS_PER_SECOND) / perSecond;
  }
}
