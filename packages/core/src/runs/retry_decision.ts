/** Decides whether a failed attempt may be followed by another. */
import type {Outcome} from '../errors/error_kinds';

/** Maximum number of attempts of one request. */
export const MAX_ATTEMPTS = 4;

/** The facts on which a retry is decided. */
export interface FailedAttempt {
  /** Number of the failed attempt; the first is 1. */
  readonly attempt: number;
  readonly outcome: Outcome;
  readonly isIdempotent: boolean;
  /** Whether bytes of the answer were sent to the caller. */
  readonly hasSentBytes: boolean;
  readonly isRetryable: boolean;
  readonly budgetLeftMs: number;
}

/** Remaining time of a request below which no attempt starts. */
const MIN_RETRY_BUDGET_MS = 50;

/** Returns whether another attempt is allowed, ignoring the retry budget. */
export function canRetry(failed: FailedAttempt): boolean {
  if (!failed.isRetryable) return false;
  if (failed.hasSentBytes) return false;
  if (failed.attempt >= MAX_ATTEMPTS) return false;
  if (failed.budgetLeftMs < MIN_RETRY_BUDGET_MS) return false;
  return failed.isIdempotent || failed.outcome === 'not-run';
}
