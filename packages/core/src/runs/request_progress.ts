/**
 * What an entry knows of one request over all its attempts: whether any of
 * them may have run, whether its caller has got a part of an answer, and so
 * whether another attempt is allowed and what a final error may state.
 */
import type {ErrorKind, Outcome, ServiceError} from '../errors/error_kinds';
import {canRetry} from './retry_decision';

/** Failures that another endpoint would answer in the same way. */
const NON_RETRYABLE_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'bad-request',
  'conflict',
  'quarantined',
  'deadline-exceeded',
  'deadline-unmeetable',
  'in-progress',
  'key-forgotten',
]);

/** A failed attempt as its entry sees it. */
export interface AttemptFailure {
  readonly error: ServiceError;
  readonly outcome: Outcome;
  readonly budgetLeftMs: number;
  /** Drops what the caller has not got yet; false when it has got bytes. */
  resetAnswer(): boolean;
}

/** Progress of one request. */
export class RequestProgress {
  private outcome: Outcome = 'not-run';
  private attempt = 0;
  private hasSentBytes = false;

  private constructor(private readonly isIdempotent: boolean) {}

  /** Builds the progress of a request that has not been dispatched. */
  static create(isIdempotent: boolean): RequestProgress {
    return new RequestProgress(isIdempotent);
  }

  /** Returns the number of the next attempt, from 1. */
  startAttempt(): number {
    this.attempt += 1;
    return this.attempt;
  }

  /** Notes that a head or bytes of an answer went to the caller's side. */
  recordSentBytes(): void {
    this.hasSentBytes = true;
  }

  /** Takes in how an attempt ended; tells whether another one may follow. */
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

  /** A request of which any attempt may have run is not stated as not run. */
  withOutcome(error: ServiceError): ServiceError {
    if (this.outcome === 'not-run') return error;
    return {...error, outcome: this.outcome};
  }
}
