/** What a routed call and its answer are, apart from any wire format. */
import type {EndpointEntry, Route, ReportedLoad} from '@sassafrasspan/core';

/** Headers by name, with the letter case of their sender. */
export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;

/** One call of a caller. */
export interface RoutedCall {
  readonly id: string;
  readonly host: string;
  readonly method: string;
  /** Path with its query. */
  readonly target: string;
  /** Headers that go on to the endpoint. */
  readonly headers: HeaderFields;
  readonly body: Buffer;
  /** Whether an endpoint may run it more than once. */
  readonly mayRepeat: boolean;
  /** When the caller gives up, on the entry's monotonic clock. */
  readonly deadlineAtMs: number;
  /** Aborts when the caller has gone. */
  readonly signal: AbortSignal;
}

/** A whole answer of an endpoint, to be passed on unchanged. */
export interface EndpointAnswer {
  readonly status: number;
  readonly headers: HeaderFields;
  readonly body: Buffer;
}

/** What became of one attempt. */
export type EndpointReply =
  | {
      readonly type: 'answered';
      readonly answer: EndpointAnswer;
      readonly load: ReportedLoad | undefined;
    }
  /** It did not run and will not. */
  | {
      readonly type: 'not-run';
      readonly reason: 'full' | 'unreachable' | 'other-instance' | 'cancelled';
      readonly load: ReportedLoad | undefined;
    }
  /** It may have run. */
  | {
      readonly type: 'lost';
      readonly hadBytes: boolean;
      readonly detail: string;
    };

/** Sends calls to endpoints. */
export interface EndpointCaller {
  /**
   * Sends a call to one endpoint and no other; `leftMs` is the time that the
   * endpoint is told it has.
   */
  callEndpoint(
    endpoint: EndpointEntry,
    call: RoutedCall,
    leftMs: number,
    signal: AbortSignal,
  ): Promise<EndpointReply>;
}

/** A call with its route. */
export interface MatchedCall {
  readonly call: RoutedCall;
  readonly route: Route;
  /** Version of the configuration that chose the route. */
  readonly configurationVersion: number;
}
