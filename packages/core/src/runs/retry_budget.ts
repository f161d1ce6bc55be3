/**
 * Bounds retries to a share of recent successes and a small steady rate, so
 * that a failing pool does not multiply its own load while an entry with few
 * requests can still repeat what one crash has broken off.
 */

const MAX_TOKENS = 100;
const INITIAL_TOKENS = 20;
const EARNED_PER_SUCCESS = 0.1;
const EARNED_PER_SECOND = 2;
const MS_PER_SECOND = 1_000;

/** Retry tokens: successes and time earn them, each retry spends one. */
export class RetryBudget {
  private tokens = INITIAL_TOKENS;
  private earnedAtMs: number | undefined;

  private constructor() {}

  /** Builds a budget with a small initial stock. */
  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Notes a success. */
  recordSuccess(): void {
    this.addTokens(EARNED_PER_SUCCESS);
  }

  /** Spends one retry at a time in ms; tells whether there was one left. */
  takeRetry(nowMs: number): boolean {
    const passedMs = nowMs - (this.earnedAtMs ?? nowMs);
    this.earnedAtMs = nowMs;
    this.addTokens((passedMs * EARNED_PER_SECOND) / MS_PER_SECOND);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  private addTokens(count: number): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + count);
  }
}
