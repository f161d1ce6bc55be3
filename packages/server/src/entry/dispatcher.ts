/**
 * Sends requests to agents: chooses an endpoint, follows the attempt, and
 * retries what may be repeated.
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

/** Failures after which the next attempt avoids the failure domain. */
const ENDPOINT_FAILURE_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'endpoint-failed',
  'answer-incomplete',
  'agent-lost',
]);

/** A request that can be dispatched. */
export interface DispatchRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly service: string;
  readonly work: Work;
  readonly isIdempotent: boolean;
  /** Idempotency key; empty without one. */
  readonly idempotencyKey: string;
  /** Equal for equal requests of one customer. */
  readonly fingerprint: string;
  /** Equal for requests that share a prompt prefix; empty for none. */
  readonly prefixKey: string;
  readonly expectedTokens: number;
  readonly budgetMs: number;
  /** 0 is served first. */
  readonly priority: number;
  /** Oldest weight version that may run the work; without it any. */
  readonly minVersion?: number;
  /**
   * Takes the name of the agent that keeps the whole answer until it is
   * acknowledged; without it the answer is acknowledged at its end.
   */
  readonly handleRetainedAnswer?: (agent: string) => void;
}

/** Attempts that may end because agent and entry held other rules. */
const MAX_RULES_RETRIES = 3;

/** What a dispatcher is built from. */
export interface DispatcherOptions {
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

/** What the attempts of one request have in common. */
interface RequestState {
  readonly request: DispatchRequest;
  readonly sink: AnswerSink;
  readonly deadlineMs: number;
  readonly excluded: string[];
  avoidDomain: string | undefined;
  readonly progress: RequestProgress;
  isCancelled: boolean;
  attempt: RunAttempt | undefined;
}

/** Dispatches the requests of an entry. */
export class Dispatcher {
  private readonly retryBudget = RetryBudget.create();
  private readonly tracker = EndpointTracker.create();
  private openRequests = 0;

  private constructor(private readonly options: DispatcherOptions) {}

  /** Builds a dispatcher. */
  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** Dispatches a request; the sink gets its whole answer or an error. */
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

  /** Returns the number of requests under way. */
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

  /** Runs attempts until one is whole; returns the final error otherwise. */
  private async runAttempts(
    state: RequestState,
  ): Promise<ServiceError | undefined> {
    const {progress} = state;
    for (;;) {
      const chosen = this.chooseTarget(state);
      if (chosen.isErr()) return progress.withOutcome(chosen.error);
      const number = progress.startAttempt();
      const ended = await this.runAttempt(state, chosen.value, number);
      if (ended.type === 'whole') {
        state.request.handleRetainedAnswer?.(chosen.value.agent);
        this.options.quarantine.clear(state.request.fingerprint);
        this.retryBudget.recordSuccess();
        state.sink.finish(ended.end);
        return undefined;
      }
      if (ended.error.kind === 'stale-rules' && number <= MAX_RULES_RETRIES) {
        await this.options.directory.reconcileRules(chosen.value.agent);
        continue;
      }
      const {crashId} = ended.error;
      if (crashId !== undefined) {
        this.options.quarantine.implicate([state.request.fingerprint], crashId);
      }
      const canRepeat = this.prepareRetry(state, chosen.value, ended);
      const error = progress.withOutcome(ended.error);
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
    const book = this.options.rules.getRuleSet();
    if (book === undefined) {
      return err(createError('not-ready', 'the entry has no rules yet'));
    }
    if (this.options.quarantine.isQuarantined(request.fingerprint)) {
      const detail = 'this request crashes the endpoints that run it';
      return err(createError('quarantined', detail));
    }
    if (request.idempotencyKey !== '') return this.chooseOwner(request, book);
    const nowMs = this.options.clock.readMonotonicMs();
    const route: RouteRequest = {
      service: request.service,
      prefixKey: request.prefixKey,
      ownDomain: this.options.failureDomain,
      placement: book.getPlacement(request.customer, request.service),
      excluded: state.excluded,
      avoidDomain: state.avoidDomain,
    };
    const serving = this.options.fleet
      .listServing(request.service, nowMs)
      .filter(item => item.weightVersion >= (request.minVersion ?? 0));
    const candidates = this.tracker.createCandidates(serving, nowMs);
    const {random} = this.options;
    const chosen = chooseEndpoint(route, candidates, random);
    if (chosen.isOk() || state.avoidDomain === undefined) return chosen;
    const anywhere = {...route, avoidDomain: undefined};
    return chooseEndpoint(anywhere, candidates, random);
  }

  /** Finds the endpoint that remembers an idempotency key. */
  private chooseOwner(
    request: DispatchRequest,
    book: RuleSet,
  ): Result<EndpointView, ServiceError> {
    const names = book.findPool(request.service)?.endpoints ?? [];
    const key = `${request.customer}/${request.idempotencyKey}`;
    const home = findOwner(key, names) ?? '';
    const nowMs = this.options.clock.readMonotonicMs();
    const endpoint = this.options.fleet.findEndpoint(home, nowMs);
    if (endpoint !== undefined) return ok(endpoint);
    const detail = `the home ${home} of the idempotency key is not reachable`;
    return err(createError('key-forgotten', detail));
  }

  private async runAttempt(
    state: RequestState,
    target: EndpointView,
    number: number,
  ): Promise<AttemptEnd> {
    const agent = this.options.directory.findAgent(target.agent);
    if (agent === undefined) {
      const error = createError('no-endpoint', `${target.agent} is gone`);
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
    const ended = await attempt.run();
    this.options.fleet.removeOutstanding(endpoint);
    this.recordEnd(state.request, target, ended, startedMs);
    return ended;
  }

  /** Tells the tracker what the attempt says of its endpoint. */
  private recordEnd(
    request: DispatchRequest,
    target: EndpointView,
    ended: AttemptEnd,
    startedMs: number,
  ): void {
    const nowMs = this.options.clock.readMonotonicMs();
    const latencyMs = (nowMs - startedMs) / Math.max(1, request.expectedTokens);
    const verdict = classifyAttempt(ended);
    this.tracker.recordEnd(target.name, verdict, latencyMs, nowMs);
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

  /** Decides on another attempt and makes ready for it. */
  private prepareRetry(
    state: RequestState,
    target: EndpointView,
    ended: Extract<AttemptEnd, {type: 'failed'}>,
  ): boolean {
    const nowMs = this.options.clock.readMonotonicMs();
    const isAllowed = state.progress.recordFailure({
      error: ended.error,
      outcome: ended.outcome,
      budgetLeftMs: state.deadlineMs - nowMs,
      resetAnswer: () => state.sink.reset(),
    });
    if (!isAllowed || state.isCancelled) return false;
    if (!this.retryBudget.takeRetry(nowMs)) return false;
    if (!isUndelivered(ended)) state.excluded.push(target.name);
    if (ENDPOINT_FAILURE_KINDS.has(ended.error.kind) && !isUndelivered(ended)) {
      state.avoidDomain = target.failureDomain;
    }
    return true;
  }
}

function classifyAttempt(ended: AttemptEnd): AttemptResult {
  if (ended.type === 'whole') return 'whole';
  return ENDPOINT_FAILURE_KINDS.has(ended.error.kind) ? 'failed' : 'neutral';
}

/** Tells whether only the connection failed, so that a new one may work. */
function isUndelivered(ended: Extract<AttemptEnd, {type: 'failed'}>): boolean {
  return ended.error.kind === 'agent-lost' && ended.outcome === 'not-run';
}
