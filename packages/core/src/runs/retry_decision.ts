/** Decides what follows a failed attempt: another attempt or a final answer. */
import type {Outcome} from '../errors/error_kinds';

/** Largest number of attempts of one request. */
export const MAX_ATTEMPTS = 4;

/** What is known after a failed attempt. */
export interface FailedAttempt {
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  readonly outcome: Outcome;
  readonly isIdempotent: boolean;
  /** Whether bytes of the answer have gone out to the caller. */
  readonly hasSentBytes: boolean;
  readonly isRetryable: boolean;
  readonly budgetLeftMs: number;
}

const MIN_RETRY_BUDGET_MS = 50;

/** Tells whether another attempt is allowed, the retry budget aside. */
export function canRetry(failed: FailedAttempt): boolean {
  if (!failed.isRetryable) return false;
  if (failed.hasSentBytes) return false;
  if (failed.attempt >= MAX_ATTEMPTS) return false;
  if (failed.budgetLeftMs < MIN_RETRY_BUDGET_MS) return false;
  return failed.isIdempotent || failed.outcome === 'not-run';
}
