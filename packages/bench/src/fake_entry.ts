/**
 * Fake entry: routes by the policy under test, with the real fleet view, retry
 * decision and retry budget of the core.
 */
import {
  AttemptResult,
  DomainPlacement,
  EndpointView,
  ErrorKind,
  FleetView,
  RandomSource,
  RetryBudget,
  canRetry,
} from '@sassafrasspan/core';
import type {AgentReply, FakeAgent} from './fake_agent';
import type {FakeRun} from './fake_endpoint';
import type {BenchNetwork} from './network';
import type {Policy, RoutingSession} from './policies';
import type {RunStats} from './run_stats';
import type {VirtualClock} from './virtual_clock';

const LOSS_CHECK_INTERVAL_MS = 2_000;
const NON_RETRYABLE_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'deadline-unmeetable',
]);

/**
 * Result that is recorded for an endpoint after each type of reply. A refusal
 * counts neither for nor against the endpoint.
 */
const ATTEMPT_RESULTS: Record<AgentReply['type'], AttemptResult> = {
  ended: 'whole',
  failed: 'failed',
  refused: 'neutral',
};

/** A request from a caller or from a rollout step. */
export interface BenchRequest {
  readonly requestId: string;
  readonly service: string;
  readonly customer: string;
  readonly run: FakeRun;
  readonly expectedTokens: number;
  /** 0 is served first. */
  readonly priority: number;
  /** Time from submission to the deadline. */
  readonly budgetMs: number;
}

/** The final answer of a request. */
export interface BenchAnswer {
  /** Weight version that answered; undefined if the request failed. */
  readonly version: number | undefined;
  /** Kind of the error; undefined if the request succeeded. */
  readonly kind: ErrorKind | undefined;
}

export interface FakeEntryOptions {
  readonly failureDomain: string;
  readonly placement: DomainPlacement;
  readonly policy: Policy;
  readonly agents: ReadonlyMap<string, FakeAgent>;
  readonly network: BenchNetwork;
  readonly clock: VirtualClock;
  readonly random: RandomSource;
  readonly stats: RunStats;
}

/** A request without a final answer, shared by all its attempts. */
interface OpenRequest {
  readonly request: BenchRequest;
  readonly deadlineMs: number;
  readonly excluded: string[];
  readonly onAnswer: (answer: BenchAnswer) => void;
  avoidDomain: string | undefined;
  attempt: number;
  attemptStartedAtMs: number;
  isFinished: boolean;
  endpointName: string;
}

/** Sends requests to agents and retries failed attempts. */
export class FakeEntry {
  readonly fleet = FleetView.create();
  private readonly retryBudget = RetryBudget.create();
  private readonly routing: RoutingSession;

  private constructor(private readonly options: FakeEntryOptions) {
    this.routing = options.policy.createRouting();
  }

  static create(options: FakeEntryOptions): FakeEntry {
    return new FakeEntry(options);
  }

  getFailureDomain(): string {
    return this.options.failureDomain;
  }

  /**
   * Sends a request. `onAnswer` is called once with the final answer, unless
   * the returned function cancels the request first.
   */
  submit(
    request: BenchRequest,
    onAnswer: (answer: BenchAnswer) => void,
  ): () => void {
    const nowMs = this.options.clock.readMonotonicMs();
    const openRequest: OpenRequest = {
      request,
      deadlineMs: nowMs + request.budgetMs,
      excluded: [],
      onAnswer,
      avoidDomain: undefined,
      attempt: 1,
      attemptStartedAtMs: nowMs,
      isFinished: false,
      endpointName: '',
    };
    this.startAttempt(openRequest);
    return () => this.cancel(openRequest);
  }

  private cancel(openRequest: OpenRequest): void {
    if (openRequest.isFinished) return;
    openRequest.isFinished = true;
    const agent = this.options.agents.get(openRequest.endpointName);
    if (agent === undefined) return;
    const {failureDomain, network} = this.options;
    network.send(failureDomain, agent.description.failureDomain, () =>
      agent.cancelRun(openRequest.request.requestId),
    );
    this.endAttempt(openRequest.endpointName, undefined, openRequest);
  }

  private startAttempt(openRequest: OpenRequest): void {
    const {request} = openRequest;
    const nowMs = this.options.clock.readMonotonicMs();
    const choice = this.routing.chooseTarget(
      {
        service: request.service,
        prefixKey: request.run.prefixKey,
        ownDomain: this.options.failureDomain,
        placement: this.options.placement,
        excluded: openRequest.excluded,
        avoidDomain: openRequest.avoidDomain,
      },
      this.fleet.listServing(request.service, nowMs),
      this.options.random,
      {nowMs, expectedTokens: request.expectedTokens},
    );
    if (choice.isErr()) {
      return this.finish(openRequest, undefined, choice.error.kind);
    }
    this.sendRun(openRequest, choice.value);
  }

  private sendRun(openRequest: OpenRequest, target: EndpointView): void {
    const agent = this.options.agents.get(target.agent);
    if (agent === undefined) return;
    openRequest.endpointName = target.name;
    const {attempt} = openRequest;
    this.fleet.addOutstanding(target.name);
    openRequest.attemptStartedAtMs = this.options.clock.readMonotonicMs();
    const {failureDomain, network} = this.options;
    const notify = (reply: AgentReply) => {
      if (openRequest.isFinished || openRequest.attempt !== attempt) return;
      this.handleReply(openRequest, target, reply);
    };
    const lossWatch = this.watchAgent(agent, openRequest, attempt, () =>
      notify({type: 'failed', kind: 'agent-lost'}),
    );
    network.send(failureDomain, target.failureDomain, () => {
      const work = {
        requestId: openRequest.request.requestId,
        customer: openRequest.request.customer,
        priority: openRequest.request.priority,
        expectedTokens: openRequest.request.expectedTokens,
        deadlineAtMs: openRequest.deadlineMs,
      };
      agent.offerRun(work, openRequest.request.run, reply => {
        network.send(target.failureDomain, failureDomain, () => {
          lossWatch.isCancelled = true;
          notify(reply);
        });
      });
    });
  }

  /**
   * Calls `onLost` if the agent's failure domain is lost while the attempt is
   * open. Checks at intervals, until the returned object is cancelled.
   */
  private watchAgent(
    agent: FakeAgent,
    openRequest: OpenRequest,
    attempt: number,
    onLost: () => void,
  ): {isCancelled: boolean} {
    const {clock, network} = this.options;
    const watch = {isCancelled: false};
    const check = () => {
      if (
        watch.isCancelled ||
        openRequest.isFinished ||
        openRequest.attempt !== attempt
      ) {
        return;
      }
      if (network.isDomainLost(agent.description.failureDomain)) {
        return onLost();
      }
      clock.schedule(LOSS_CHECK_INTERVAL_MS, check);
    };
    clock.schedule(LOSS_CHECK_INTERVAL_MS, check);
    return watch;
  }

  private handleReply(
    openRequest: OpenRequest,
    target: EndpointView,
    reply: AgentReply,
  ): void {
    this.endAttempt(target.name, reply, openRequest);
    if (reply.type === 'ended') {
      this.retryBudget.recordSuccess();
      this.recordTraffic(openRequest.request, target, reply.end.isPrefixHit);
      return this.finish(openRequest, reply.end.version, undefined);
    }
    if (!this.prepareRetry(openRequest, target, reply)) {
      return this.finish(openRequest, undefined, reply.kind);
    }
    this.options.stats.retries += 1;
    openRequest.attempt += 1;
    this.startAttempt(openRequest);
  }

  private endAttempt(
    endpoint: string,
    reply: AgentReply | undefined,
    openRequest: OpenRequest,
  ): void {
    const nowMs = this.options.clock.readMonotonicMs();
    this.fleet.removeOutstanding(endpoint);
    this.routing.recordEnd(endpoint, {
      nowMs,
      result: ATTEMPT_RESULTS[reply?.type ?? 'refused'],
      latencyMs: nowMs - openRequest.attemptStartedAtMs,
      expectedTokens: openRequest.request.expectedTokens,
    });
  }

  private prepareRetry(
    openRequest: OpenRequest,
    target: EndpointView,
    reply: Exclude<AgentReply, {type: 'ended'}>,
  ): boolean {
    const nowMs = this.options.clock.readMonotonicMs();
    const isAllowed = canRetry({
      attempt: openRequest.attempt,
      outcome: reply.type === 'refused' ? 'not-run' : 'unknown',
      isIdempotent: true,
      hasSentBytes: false,
      isRetryable: !NON_RETRYABLE_KINDS.has(reply.kind),
      budgetLeftMs: openRequest.deadlineMs - nowMs,
    });
    if (!isAllowed || !this.retryBudget.takeRetry(nowMs)) return false;
    openRequest.excluded.push(target.name);
    if (reply.type === 'failed') openRequest.avoidDomain = target.failureDomain;
    return true;
  }

  private recordTraffic(
    request: BenchRequest,
    target: EndpointView,
    isPrefixHit: boolean,
  ): void {
    const {stats, failureDomain, placement} = this.options;
    if (request.run.prefixKey !== '') {
      stats.prefixUses += 1;
      if (isPrefixHit) stats.prefixHits += 1;
    }
    const isCostly =
      placement.spill.includes(target.failureDomain) &&
      target.failureDomain !== failureDomain;
    if (isCostly) stats.addCostlyBytes(request.run.tokens);
  }

  private finish(
    openRequest: OpenRequest,
    version: number | undefined,
    kind: ErrorKind | undefined,
  ): void {
    openRequest.isFinished = true;
    openRequest.onAnswer({version, kind});
  }
}
