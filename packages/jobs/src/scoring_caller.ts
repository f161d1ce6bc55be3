/**
 * Sends scoring calls through the routes in force, with the endpoint choice and
 * retries of all routed calls.
 */
import {
  CallForwarder,
  EndpointAnswer,
  HeaderFields,
} from '@sassafrasspan/calls';
import type {
  Clock,
  EndpointDirectory,
  Route,
  RouteTable,
  ScoringCall,
  ScoringOutcome,
  ScoringTarget,
  ScoringTargetFinder,
} from '@sassafrasspan/core';

/** Status of an answer that counts as a failure of the scoring call. */
const STATUS_FAILURE = 500;
const MIN_SUCCESS_STATUS = 200;
const MAX_SUCCESS_STATUS = 299;
const BASE64 =
  /^(?:[A-Za-z0-9+/]{4})*(?:[A-Za-z0-9+/]{2}==|[A-Za-z0-9+/]{3}=)?$/;

export interface ScoringRequest {
  readonly call: ScoringCall;
  /** Customer that submitted the item's job, if any. */
  readonly customer: string | undefined;
  /** Whether a second endpoint may be called while the first is slow. */
  readonly mayHedge: boolean;
  readonly signal: AbortSignal;
}

/** Sends scoring calls. */
export interface ScoringCaller {
  /** Returns a function that finds the targets of calls by the present routes
   * and endpoints. */
  createTargetFinder(): ScoringTargetFinder;
  /** Makes a call; resolves at the latest at the timeout of its route. */
  callScorer(request: ScoringRequest): Promise<ScoringOutcome>;
}

/** The wire format of scoring calls. */
export interface ScoringFormat {
  createHeaders(call: ScoringCall): HeaderFields;
  /** Returns the score in a successful answer; undefined if it has none. */
  readScore(answer: EndpointAnswer): string | undefined;
}

export interface RoutedScoringCallerOptions {
  readonly forwarder: CallForwarder;
  readonly endpoints: EndpointDirectory;
  readonly getTable: () => RouteTable | undefined;
  readonly format: ScoringFormat;
  readonly clock: Clock;
}

export class RoutedScoringCaller implements ScoringCaller {
  private constructor(private readonly options: RoutedScoringCallerOptions) {}

  static create(options: RoutedScoringCallerOptions): RoutedScoringCaller {
    return new RoutedScoringCaller(options);
  }

  createTargetFinder(): ScoringTargetFinder {
    const targets = new Map<Route, ScoringTarget>();
    return call => {
      const route = this.findRoute(call);
      if (route === undefined || !BASE64.test(call.body)) return undefined;
      const target = targets.get(route) ?? this.describeTarget(route);
      targets.set(route, target);
      return target;
    };
  }

  private describeTarget(route: Route): ScoringTarget {
    const services = route.targets.map(target => target.service).sort();
    const slots = services
      .flatMap(service => this.options.endpoints.listUsable(service))
      .reduce((sum, endpoint) => sum + endpoint.slots, 0);
    return {key: services.join(' '), slots};
  }

  async callScorer(request: ScoringRequest): Promise<ScoringOutcome> {
    const {call, customer, mayHedge, signal} = request;
    const {forwarder, getTable, format, clock} = this.options;
    const route = this.findRoute(call);
    if (route === undefined) return createOutcome(0, 0, 'no route');
    let failures = 0;
    const result = await forwarder.forward({
      route,
      configurationVersion: getTable()?.configuration.version ?? 0,
      call: {
        id: call.id,
        host: call.host,
        customer,
        method: 'POST',
        target: call.path,
        headers: format.createHeaders(call),
        body: Buffer.from(call.body, 'base64'),
        mayRepeat: true,
        deadlineAtMs: clock.readMonotonicMs() + route.timeoutMs,
        signal,
        mayHedge,
        isOwed: true,
        onAnswered: status => {
          if (status === STATUS_FAILURE) failures += 1;
        },
      },
    });
    const {maxAttempts} = route;
    if (result.isErr()) {
      const {kind, detail} = result.error;
      return createOutcome(failures, maxAttempts, `${kind}: ${detail}`);
    }
    const {status} = result.value;
    if (status < MIN_SUCCESS_STATUS || status > MAX_SUCCESS_STATUS) {
      return createOutcome(failures, maxAttempts, `status ${status}`);
    }
    const score = format.readScore(result.value);
    const detail = score === undefined ? 'the answer has no score' : '';
    return {...createOutcome(failures, maxAttempts, detail), score};
  }

  private findRoute(call: ScoringCall): Route | undefined {
    const [path] = call.path.split('?', 1);
    const route = this.options.getTable()?.findRoute(call.host, path);
    return route?.kind === 'rollout' ? undefined : route;
  }
}

function createOutcome(
  failures: number,
  maxFailures: number,
  detail: string,
): ScoringOutcome {
  return {score: undefined, failures, maxFailures, detail};
}
