/** The interface between the HTTP API for callers and the entry. */
import type {
  AnswerChunk,
  AnswerEnd,
  AnswerHead,
  ServiceError,
  Work,
} from '@sassafrasspan/core';
import type {Result} from 'neverthrow';

/** A validated request of an authenticated caller. */
export interface CallerRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly service: string;
  readonly work: Work;
  /** Whether the caller forbids retries; overrides the rules. */
  readonly isMarkedNonIdempotent: boolean;
  /** Value of the `Idempotency-Key` header; empty if it is missing. */
  readonly idempotencyKey: string;
  /**
   * Prompt, used to send requests with a common prefix to the same prefix
   * cache; empty for plain calls.
   */
  readonly prefix: string;
  /** `max_tokens` of the request; 0 for plain calls. */
  readonly expectedTokens: number;
  /** Time limit set by the caller; undefined for the entry's default. */
  readonly budgetMs: number | undefined;
}

/** Backpressure of a receiver that reads an answer slowly. */
export interface Backpressure {
  /** Returns whether the receiver's buffer is full. */
  isFull(): boolean;
  /** Registers a listener that is called once, when the buffer has drained. */
  addDrainListener(listener: () => void): void;
}

/** Receives the answer to a request. */
export interface AnswerSink {
  /** Undefined if the sink accepts any amount of data at once. */
  readonly backpressure?: Backpressure;
  setHead(head: AnswerHead): void;
  appendChunk(chunk: AnswerChunk): void;
  finish(end: AnswerEnd): void;
  fail(error: ServiceError): void;
  /**
   * Discards the answer received so far so that the request can be retried.
   * Returns false if bytes have already been sent to the caller.
   */
  reset(): boolean;
}

/** A dispatched request. */
export interface DispatchHandle {
  /** Abandons the request because its caller has disconnected. */
  cancel(): void;
}

export interface CallerBackend {
  /** Returns the customer of an API key, given its SHA-256 in hexadecimal. */
  authenticate(keySha256: string): Result<string, ServiceError>;
  dispatch(request: CallerRequest, sink: AnswerSink): DispatchHandle;
}
