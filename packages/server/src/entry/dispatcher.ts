/**
 * Sends requests to agents: chooses an endpoint, runs an attempt there, and
 * retries a failed attempt when repeating the request is safe.
 */
import type {AnswerSink, DispatchHandle} from '@sassafrasspan/callers';
import {
  AttemptResult,
  Clock,
  EndpointTracker,
  EndpointView,
  ErrorKind,
  FleetView,
  Quarantine,
  RandomSource,
  RequestProgress,
  RetryBudget,
  RouteRequest,
  RuleSet,
  RulesHolder,
  ServiceError,
  Work,
  chooseEndpoint,
  createError,
  findOwner,
} from '@sassafrasspan/core';
import {RunRequest, encodeWork} from '@sassafrasspan/nodes';
import {EventLog, Metrics, SYSTEM_SCHEDULER} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import type {NodeDirectory} from './node_directory';
import {AttemptEnd, RunAttempt} from './run_attempt';

/**
 * Failures that point to the endpoint or its node. The next attempt avoids the
 * failure domain.
 */
const ENDPOINT_FAILURE_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'endpoint-failed',
  'answer-incomplete',
  'agent-lost',
]);

/** A request that passed the checks of the entry. */
export interface DispatchRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly service: string;
  readonly work: Work;
  readonly isIdempotent: boolean;
  /** Idempotency key; empty without one. */
  readonly idempotencyKey: string;
  /** Identical for identical requests of one customer. */
  readonly fingerprint: string;
  /** Identical for requests that share a prompt prefix; empty without one. */
  readonly prefixKey: string;
  readonly expectedTokens: number;
  /** Time until the deadline, from the dispatch on. */
  readonly budgetMs: number;
  /** Lower numbers are served first, beginning with 0. */
  readonly priority: number;
  /** Oldest weight version that may run the work; undefined allows any. */
  readonly minVersion?: number;
  /**
   * Called with the name of the agent that retains the complete answer until
   * it is acknowledged. Without this callback the dispatcher acknowledges the
   * answer as soon as it is complete.
   */
  readonly handleRetainedAnswer?: (agent: string) => void;
}

/** Attempts per request that may fail because of differing rules revisions. */
const MAX_RULES_RETRIES = 3;

export interface DispatcherOptions {
  /** Name of this entry. */
  readonly entry: string;
  readonly failureDomain: string;
  readonly fleet: FleetView;
  readonly directory: NodeDirectory;
  readonly rules: RulesHolder;
  readonly quarantine: Quarantine;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** State that the attempts of one request share. */
interface RequestState {
  readonly request: DispatchRequest;
  readonly sink: AnswerSink;
  readonly deadlineMs: number;
  /** Names of endpoints that further attempts must not use. */
  readonly excluded: string[];
  /** Failure domain of the last failed endpoint, used only as a last resort. */
  avoidDomain: string | undefined;
  readonly progress: RequestProgress;
  isCancelled: boolean;
  attempt: RunAttempt | undefined;
}

/** Runs the requests of an entry and counts those in progress. */
export class Dispatcher {
  private readonly retryBudget = RetryBudget.create();
  private readonly tracker = EndpointTracker.create();
  private openRequests = 0;

  private constructor(private readonly options: DispatcherOptions) {}

  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /**
   * Runs a request. The sink receives the complete answer or an error, or
   * nothing more after a cancellation.
   */
  dispatch(request: DispatchRequest, sink: AnswerSink): DispatchHandle {
    const startedMs = this.options.clock.readMonotonicMs();
    const state: RequestState = {
      request,
      sink,
      deadlineMs: startedMs + request.budgetMs,
      excluded: [],
      avoidDomain: undefined,
      progress: RequestProgress.create(request.isIdempotent),
      isCancelled: false,
      attempt: undefined,
    };
    void this.runRequest(state, startedMs);
    return {
      cancel: () => {
        state.isCancelled = true;
        state.attempt?.cancel();
      },
    };
  }

  /** Returns the number of requests in progress. */
  countOpen(): number {
    return this.openRequests;
  }

  private async runRequest(
    state: RequestState,
    startedMs: number,
  ): Promise<void> {
    this.openRequests += 1;
    const error = await this.runAttempts(state);
    this.openRequests -= 1;
    if (state.isCancelled) return;
    const {requestId, service} = state.request;
    const durationMs = this.options.clock.readMonotonicMs() - startedMs;
    if (error === undefined) {
      this.options.metrics.recordMs('request_ms', {service}, durationMs);
      this.options.metrics.addCount('requests_answered_total', {service});
      this.options.log.writeEvent('request-answered', {requestId, durationMs});
      return;
    }
    const {kind, detail} = error;
    this.options.metrics.addCount('requests_failed_total', {service, kind});
    this.options.log.writeEvent('request-failed', {requestId, kind, detail});
    state.sink.fail(error);
  }

  /** Runs attempts until one succeeds; otherwise returns the final error. */
  private async runAttempts(
    state: RequestState,
  ): Promise<ServiceError | undefined> {
    const {progress} = state;
    for (;;) {
      const target = this.chooseTarget(state);
      if (target.isErr()) return progress.withOutcome(target.error);
      const number = progress.startAttempt();
      const attemptEnd = await this.runAttempt(state, target.value, number);
      if (attemptEnd.type === 'whole') {
        state.request.handleRetainedAnswer?.(target.value.agent);
        this.options.quarantine.clear(state.request.fingerprint);
        this.retryBudget.recordSuccess();
        state.sink.finish(attemptEnd.end);
        return undefined;
      }
      if (
        attemptEnd.error.kind === 'stale-rules' &&
        number <= MAX_RULES_RETRIES
      ) {
        await this.options.directory.reconcileRules(target.value.agent);
        continue;
      }
      const {crashId} = attemptEnd.error;
      if (crashId !== undefined) {
        this.options.quarantine.implicate([state.request.fingerprint], crashId);
      }
      const canRepeat = this.prepareRetry(state, target.value, attemptEnd);
      const error = progress.withOutcome(attemptEnd.error);
      if (!canRepeat) return error;
      const {requestId} = state.request;
      const {kind} = error;
      this.options.metrics.addCount('retries_total', {kind});
      this.options.log.writeEvent('request-retried', {requestId, kind, number});
    }
  }

  private chooseTarget(
    state: RequestState,
  ): Result<EndpointView, ServiceError> {
    const {request} = state;
    const ruleSet = this.options.rules.getRuleSet();
    if (ruleSet === undefined) {
      return err(createError('not-ready', 'the entry has no rules yet'));
    }
    if (this.options.quarantine.isQuarantined(request.fingerprint)) {
      const detail = 'this request crashes the endpoints that run it';
      return err(createError('quarantined', detail));
    }
    if (request.idempotencyKey !== '') {
      return this.chooseOwner(request, ruleSet);
    }
    const nowMs = this.options.clock.readMonotonicMs();
    const route: RouteRequest = {
      service: request.service,
      prefixKey: request.prefixKey,
      ownDomain: this.options.failureDomain,
      placement: ruleSet.getPlacement(request.customer, request.service),
      excluded: state.excluded,
      avoidDomain: state.avoidDomain,
    };
    const serving = this.options.fleet
      .listServing(request.service, nowMs)
      .filter(item => item.weightVersion >= (request.minVersion ?? 0));
    const candidates = this.tracker.createCandidates(serving, nowMs);
    const {random} = this.options;
    const target = chooseEndpoint(route, candidates, random);
    if (target.isOk() || state.avoidDomain === undefined) return target;
    const anyDomain = {...route, avoidDomain: undefined};
    return chooseEndpoint(anyDomain, candidates, random);
  }

  /** Chooses the endpoint whose agent stores the idempotency key. */
  private chooseOwner(
    request: DispatchRequest,
    ruleSet: RuleSet,
  ): Result<EndpointView, ServiceError> {
    const names = ruleSet.findPool(request.service)?.endpoints ?? [];
    const key = `${request.customer}/${request.idempotencyKey}`;
    const owner = findOwner(key, names) ?? '';
    const nowMs = this.options.clock.readMonotonicMs();
    const endpoint = this.options.fleet.findEndpoint(owner, nowMs);
    if (endpoint !== undefined) return ok(endpoint);
    const detail = `the owner ${owner} of the idempotency key is not reachable`;
    return err(createError('key-forgotten', detail));
  }

  private async runAttempt(
    state: RequestState,
    target: EndpointView,
    number: number,
  ): Promise<AttemptEnd> {
    const agent = this.options.directory.findAgent(target.agent);
    if (agent === undefined) {
      const error = createError(
        'no-endpoint',
        `agent ${target.agent} is no longer connected`,
      );
      return {type: 'failed', error, outcome: 'not-run'};
    }
    const {requestId} = state.request;
    const attempt = RunAttempt.create({
      agent,
      request: this.createRunRequest(state, target, number),
      retainsAnswer: state.request.handleRetainedAnswer !== undefined,
      sink: {
        backpressure: state.sink.backpressure,
        setHead: head => {
          state.progress.recordSentBytes();
          state.sink.setHead(head);
        },
        appendChunk: chunk => {
          state.progress.recordSentBytes();
          state.sink.appendChunk(chunk);
        },
      },
      scheduler: SYSTEM_SCHEDULER,
      onResume: reason =>
        this.options.log.writeEvent('answer-resumed', {requestId, reason}),
    });
    state.attempt = attempt;
    const endpoint = target.name;
    this.options.log.writeEvent('request-dispatched', {requestId, endpoint});
    const startedMs = this.options.clock.readMonotonicMs();
    this.options.fleet.addOutstanding(endpoint);
    const attemptEnd = await attempt.run();
    this.options.fleet.removeOutstanding(endpoint);
    this.recordEnd(state.request, target, attemptEnd, startedMs);
    return attemptEnd;
  }

  /** Records the result and the latency per token of an attempt. */
  private recordEnd(
    request: DispatchRequest,
    target: EndpointView,
    attemptEnd: AttemptEnd,
    startedMs: number,
  ): void {
    const nowMs = this.options.clock.readMonotonicMs();
    const latencyMs = (nowMs - startedMs) / Math.max(1, request.expectedTokens);
    const result = classifyAttempt(attemptEnd);
    this.tracker.recordEnd(target.name, result, latencyMs, nowMs);
  }

  private createRunRequest(
    state: RequestState,
    target: EndpointView,
    number: number,
  ): RunRequest {
    const {request} = state;
    const nowMs = this.options.clock.readMonotonicMs();
    return {
      requestId: request.requestId,
      attempt: number,
      endpoint: target.name,
      incarnation: target.incarnation,
      rulesRevision: this.options.rules.getRevisionNumber(),
      budgetMs: Math.max(1, state.deadlineMs - nowMs),
      seenTick: target.tick,
      customer: request.customer,
      priority: request.priority,
      idempotent: request.isIdempotent,
      idempotencyKey: request.idempotencyKey,
      fingerprint: request.fingerprint,
      expectedTokens: request.expectedTokens,
      minVersion: request.minVersion ?? 0,
      entry: this.options.entry,
      prefixKey: request.prefixKey,
      crashId: this.options.quarantine.findCrashId(request.fingerprint),
      work: encodeWork(request.work),
    };
  }

  /**
   * Returns whether the request may be attempted again, and if so updates the
   * endpoints and the failure domain that the next attempt avoids.
   */
  private prepareRetry(
    state: RequestState,
    target: EndpointView,
    attemptEnd: Extract<AttemptEnd, {type: 'failed'}>,
  ): boolean {
    const nowMs = this.options.clock.readMonotonicMs();
    const isAllowed = state.progress.recordFailure({
      error: attemptEnd.error,
      outcome: attemptEnd.outcome,
      budgetLeftMs: state.deadlineMs - nowMs,
      resetAnswer: () => state.sink.reset(),
    });
    if (!isAllowed || state.isCancelled) return false;
    if (!this.retryBudget.takeRetry(nowMs)) return false;
    if (!isUndelivered(attemptEnd)) state.excluded.push(target.name);
    if (
      ENDPOINT_FAILURE_KINDS.has(attemptEnd.error.kind) &&
      !isUndelivered(attemptEnd)
    ) {
      state.avoidDomain = target.failureDomain;
    }
    return true;
  }
}

function classifyAttempt(attemptEnd: AttemptEnd): AttemptResult {
  if (attemptEnd.type === 'whole') return 'whole';
  return ENDPOINT_FAILURE_KINDS.has(attemptEnd.error.kind)
    ? 'failed'
    : 'neutral';
}

/**
 * Returns whether the request never reached the agent. The endpoint itself may
 * be healthy then, so the next attempt may use it again.
 */
function isUndelivered(
  attemptEnd: Extract<AttemptEnd, {type: 'failed'}>,
): boolean {
  return (
    attemptEnd.error.kind === 'agent-lost' && attemptEnd.outcome === 'not-run'
  );
}
