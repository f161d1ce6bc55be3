/**
 * Tracks one request at its entry over all attempts: whether any attempt may
 * have run and whether the caller has received part of an answer. This decides
 * whether another attempt is allowed and which outcome a final error may state.
 */
import type {ErrorKind, Outcome, ServiceError} from '../errors/error_kinds';
import {canRetry} from './retry_decision';

/** Errors that another endpoint would return as well. */
const NON_RETRYABLE_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'bad-request',
  'conflict',
  'quarantined',
  'deadline-exceeded',
  'deadline-unmeetable',
  'in-progress',
  'key-forgotten',
]);

/** A failed attempt, as the entry sees it. */
export interface AttemptFailure {
  readonly error: ServiceError;
  readonly outcome: Outcome;
  readonly budgetLeftMs: number;
  /**
   * Discards the part of the answer that was not yet sent to the caller. Returns
   * false if the caller has already received bytes.
   */
  resetAnswer(): boolean;
}

/** The attempts and outcome of one request. */
export class RequestProgress {
  private outcome: Outcome = 'not-run';
  private attempt = 0;
  private hasSentBytes = false;

  private constructor(private readonly isIdempotent: boolean) {}

  static create(isIdempotent: boolean): RequestProgress {
    return new RequestProgress(isIdempotent);
  }

  /** Starts the next attempt and returns its number; the first is 1. */
  startAttempt(): number {
    this.attempt += 1;
    return this.attempt;
  }

  /** Records that headers or bytes of an answer were passed to the caller. */
  recordSentBytes(): void {
    this.hasSentBytes = true;
  }

  /** Records a failed attempt; returns whether another attempt is allowed. */
  recordFailure(failure: AttemptFailure): boolean {
    const {error, outcome, budgetLeftMs} = failure;
    if (outcome !== 'not-run') this.outcome = outcome;
    const isAllowed = canRetry({
      attempt: this.attempt,
      outcome,
      isIdempotent: this.isIdempotent,
      hasSentBytes: this.hasSentBytes && !failure.resetAnswer(),
      isRetryable: !NON_RETRYABLE_KINDS.has(error.kind),
      budgetLeftMs,
    });
    if (isAllowed) this.hasSentBytes = false;
    return isAllowed;
  }

  /**
   * Returns the error with the outcome of the whole request: if any attempt may
   * have run, the error must not state that the request did not run.
   */
  withOutcome(error: ServiceError): ServiceError {
    if (this.outcome === 'not-run') return error;
    return {...error, outcome: this.outcome};
  }
}
