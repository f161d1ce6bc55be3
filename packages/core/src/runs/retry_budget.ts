/**
 * Limits retries to a share of recent successes plus a small constant rate. The
 * share keeps retries from multiplying the load of a failing pool; the constant
 * rate lets an entry with few requests retry those that a crash interrupted.
 */

const MAX_TOKENS = 100;
const INITIAL_TOKENS = 20;
const EARNED_PER_SUCCESS = 0.1;
const EARNED_PER_SECOND = 2;
const MS_PER_SECOND = 1_000;

/** A bucket of retry tokens: successes and time add, each retry takes one. */
export class RetryBudget {
  private tokens = INITIAL_TOKENS;
  private earnedAtMs: number | undefined;

  private constructor() {}

  /** Creates a budget with `INITIAL_TOKENS`. */
  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Adds the tokens that a successful attempt earns. */
  recordSuccess(): void {
    this.addTokens(EARNED_PER_SUCCESS);
  }

  /** Takes a token for a retry; returns whether one was available. */
  takeRetry(nowMs: number): boolean {
    const elapsedMs = nowMs - (this.earnedAtMs ?? nowMs);
    this.earnedAtMs = nowMs;
    this.addTokens((elapsedMs * EARNED_PER_SECOND) / MS_PER_SECOND);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  private addTokens(count: number): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + count);
  }
}
