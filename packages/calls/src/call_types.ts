/** Routed calls and their answers, independent of any wire format. */
import type {AnswerMeter} from '@sassafrasspan/runtime';
import type {
  EndpointEntry,
  ReportedLoad,
  Route,
  StreamOrigin,
} from '@sassafrasspan/core';

/** Headers by name, in the sender's letter case. */
export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;

export interface RoutedCall {
  readonly id: string;
  readonly host: string;
  /** Name of the customer that calls; undefined if callers need no API key. */
  readonly customer?: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Headers to pass on to the endpoint. */
  readonly headers: HeaderFields;
  readonly body: Buffer;
  /** Whether it may run more than once, at any endpoints. */
  readonly mayRepeat: boolean;
  /** When the caller times out, on the entry's monotonic clock. */
  readonly deadlineAtMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Decides when answers are read, and follows them. */
  readonly answerMeter?: AnswerMeter;
  /** Whether a second endpoint may be called while the first is slow; true by
   * default. */
  readonly mayHedge?: boolean;
  /** Whether it is owed until it is answered, like an item of a batch job: it is tried
   * again for as long as endpoints crash under it; false by default. */
  readonly isOwed?: boolean;
  /** Id of the call that began the stream which this one takes up. */
  readonly resumes?: string;
  /** Whether it takes up a stream, also if it does not name the call. */
  readonly isTakeUp?: boolean;
  /** Called with the status of each complete answer, also of those after which
   * the call is retried, and where it was made. */
  readonly onAnswered?: (status: number, origin: StreamOrigin) => void;
}

/** A complete answer of an endpoint, passed on to the caller unchanged. */
export interface EndpointAnswer {
  readonly status: number;
  readonly headers: HeaderFields;
  readonly body: Buffer;
}

/** Outcome of one attempt. */
export type AttemptOutcome =
  | {
      readonly type: 'answered';
      readonly answer: EndpointAnswer;
      readonly load: ReportedLoad | undefined;
      /** Requests per second that the endpoint takes from all nodes together;
       * undefined if it states no limit. */
      readonly limit?: number;
      /** Whether the endpoint says that it leaves. */
      readonly isLeaving?: boolean;
      /** Whether only the end of the connection marked that of the answer, as the
       * end of the endpoint may. */
      readonly isDelimitedByClose?: boolean;
    }
  /** The call did not run and will not. `other-instance`: another server than
   * the expected endpoint received it. `held-back`: it was not sent, since this
   * node has enough bytes in flight there. `unsendable`: HTTP does not allow its path
   * or a header. */
  | {
      readonly type: 'not-run';
      readonly reason:
        | 'full'
        | 'held-back'
        | 'unreachable'
        | 'other-instance'
        | 'cancelled'
        | 'unsendable';
      readonly load: ReportedLoad | undefined;
      /** As in an answer; undefined also if the endpoint has not replied. */
      readonly limit?: number;
      readonly isLeaving?: boolean;
      /** Whether nothing listens at the endpoint's address. */
      readonly isPortClosed?: boolean;
    }
  /** The call may have run. */
  | {
      readonly type: 'lost';
      /** Whether part of the answer arrived. */
      readonly hadBytes: boolean;
      /** Whether the connection broke; if not, this node has given up. */
      readonly hasBroken: boolean;
      readonly detail: string;
      /** Whether nothing listens at the endpoint's address any more. */
      readonly isPortClosed?: boolean;
    };

/** Records which calls endpoints began to run, for the usage of customers. */
export interface StartRecorder {
  recordStart(callId: string, customer: string, nowMs: number): void;
  /** Takes back the start of a call that no endpoint ran. */
  withdrawStart(callId: string): void;
}

/** Sends calls to endpoints. */
export interface EndpointCaller {
  /**
   * Sends a call to one endpoint and no other; `remainingMs` is the time
   * until the deadline, which is stated to the endpoint. `mayResend` is whether a
   * call that a closing connection did not take is sent once more.
   */
  callEndpoint(
    endpoint: EndpointEntry,
    call: RoutedCall,
    remainingMs: number,
    signal: AbortSignal,
    mayResend: boolean,
  ): Promise<AttemptOutcome>;
}

/** Finds out whether endpoints live. */
export interface EndpointProber {
  /** Returns whether the endpoint's address takes connections; undefined if there
   * is no sign of either. */
  isListening(endpoint: EndpointEntry): Promise<boolean | undefined>;
}

export interface MatchedCall {
  readonly call: RoutedCall;
  readonly route: Route;
  /** Version of the configuration from which the route was chosen. */
  readonly configurationVersion: number;
}
