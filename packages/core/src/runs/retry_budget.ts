/**
 * Bounds retries to a share of recent successes, so that a failing pool does
 * not multiply its own load.
 */

const MAX_TOKENS = 100;
const INITIAL_TOKENS = 10;
const EARNED_PER_SUCCESS = 0.1;

/** Retry tokens: each success earns a part of one, each retry spends one. */
export class RetryBudget {
  private tokens = INITIAL_TOKENS;

  private constructor() {}

  /** Builds a budget with a small initial stock. */
  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Notes a success. */
  recordSuccess(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + EARNED_PER_SUCCESS);
  }

  /** Spends one retry; tells whether there was one left. */
  takeRetry(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
