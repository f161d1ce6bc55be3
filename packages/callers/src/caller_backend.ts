/** What the HTTP side of serving callers needs of the entry. */
import type {
  AnswerChunk,
  AnswerEnd,
  AnswerHead,
  ServiceError,
  Work,
} from '@sassafrasspan/core';
import type {Result} from 'neverthrow';

/** A request of a caller, ready to be dispatched. */
export interface CallerRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly service: string;
  readonly work: Work;
  /** Whether the caller forbids repetition, whatever the rules say. */
  readonly isMarkedNonIdempotent: boolean;
  /** Value of `Idempotency-Key`; empty without one. */
  readonly idempotencyKey: string;
  /** Text shared with requests that can use the same prefix cache. */
  readonly prefix: string;
  readonly expectedTokens: number;
  /** Time that the caller waits; undefined for the entry's default. */
  readonly budgetMs: number | undefined;
}

/** Tells how fast the receiver of an answer reads. */
export interface Backpressure {
  /** Tells whether the receiver is behind. */
  isFull(): boolean;
  /** Registers what runs once, when the receiver has caught up. */
  addDrainListener(listener: () => void): void;
}

/** Takes the answer to a request. */
export interface AnswerSink {
  /** Absent when the sink takes everything at once. */
  readonly backpressure?: Backpressure;
  setHead(head: AnswerHead): void;
  appendChunk(chunk: AnswerChunk): void;
  finish(end: AnswerEnd): void;
  fail(error: ServiceError): void;
  /**
   * Drops what has arrived so that the work can be run again. False when
   * bytes have gone out to the caller already.
   */
  reset(): boolean;
}

/** A request under way. */
export interface DispatchHandle {
  /** Gives the request up; nobody waits for its answer. */
  cancel(): void;
}

/** What the entry offers to callers. */
export interface CallerBackend {
  /** Finds the customer of an API key by its SHA-256 in hexadecimal. */
  authenticate(keySha256: string): Result<string, ServiceError>;
  dispatch(request: CallerRequest, sink: AnswerSink): DispatchHandle;
}
