/** Calls of the HTTP client, and how they end. */
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {PeerAddress} from './peer_address';

/** Request and limits of one call. */
export interface HttpCall {
  readonly address: PeerAddress;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string | readonly string[]>>;
  readonly body?: string | Buffer;
  /** Limit for the entire call, including a retry. */
  readonly timeoutMs: number;
  /** Limit for connecting; `DEFAULT_CONNECT_TIMEOUT_MS` by default. */
  readonly connectTimeoutMs?: number;
  /** Maximum size of a buffered response body, beyond which the call fails as
   * `broken`; `DEFAULT_MAX_BODY_BYTES` by default. */
  readonly maxBodyBytes?: number;
  /**
   * Whether the call may be retried once, on a new connection, when a reused
   * one breaks before any response: peers may close idle connections at any
   * time.
   */
  readonly mayRetry?: boolean;
  /** Time from the start of the call within which it may be retried, in ms;
   * unlimited by default. A connection that breaks later was not stale. */
  readonly retryWindowMs?: number;
  /**
   * Returns whether a response belongs to this call. If it doesn't, the
   * connection is closed and the call fails as `broken`.
   */
  readonly isExpectedResponse?: (headers: IncomingHttpHeaders) => boolean;
  /** Returns whether the request may still be written; asked right before that,
   * also when the connection has been opened. */
  readonly mayWrite?: () => boolean;
  /** Decides when a buffered response body is read, and follows it. */
  readonly answerMeter?: AnswerMeter;
  /** Cancels the call and closes its connection. */
  readonly signal?: AbortSignal;
}

/** Decides when a response body is read, and follows it. */
export interface AnswerMeter {
  /** Announces a body of the peer at `source`, `host:port`; `statedBytes` is 0 if its
   * size is not known. */
  openArrival(
    source: string,
    statedBytes: number,
    handlers: ArrivalHandlers,
  ): ArrivalMeter;
}

/** What a meter decides on a body. */
export interface ArrivalHandlers {
  /** The body may be read. */
  readonly start: () => void;
  /** The body must not be read on: the call fails. */
  readonly drop: (detail: string) => void;
}

/** Follows one body. */
export interface ArrivalMeter {
  /** Takes in the number of bytes that have arrived. */
  recordArrived(bytes: number): void;
  /** The body is complete, or the call has failed; later calls have no effect. */
  end(): void;
}

/** A complete response. */
export interface HttpReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** Whether only the end of the connection marks that of the body. */
  readonly isDelimitedByClose: boolean;
}

/** A response whose headers have arrived and whose body is streamed. */
export interface HttpStream {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly message: IncomingMessage;
}

/** Is notified once how a streamed response ended. */
export interface StreamListener {
  /** The complete response has arrived. */
  readonly onComplete: () => void;
  /** The response was cut off or the call was cancelled. */
  readonly onFailure: (failure: HttpFailure) => void;
}

/**
 * Why a call failed. `refused`: no connection could be made. `unreachable`:
 * connecting timed out. `timeout`: the call's time limit passed. `broken`: the
 * connection broke, or the response was invalid or belonged to another call.
 * `unsendable`: HTTP does not allow the path or a header, so that nothing was sent.
 */
export type HttpFailureReason =
  'refused' | 'unreachable' | 'timeout' | 'broken' | 'cancelled' | 'unsendable';

/** A call that ended without a complete response. */
export interface HttpFailure {
  readonly reason: HttpFailureReason;
  /** Whether the peer may have received any part of the request. */
  readonly isSent: boolean;
  /** Whether the response headers had arrived. */
  readonly isAnswered: boolean;
  /** Whether the connection had been used by an earlier call. */
  readonly isReused: boolean;
  /** Whether the response was larger than allowed. */
  readonly isOversized: boolean;
  /** Whether this node closed the connection since it does not take the response:
   * it is larger than allowed, or its status is none. */
  readonly isRejected: boolean;
  /** Whether nothing listens at the peer's address. */
  readonly isPortClosed: boolean;
  readonly detail: string;
}
