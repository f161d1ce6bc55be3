/**
 * A small fake of an entry: the real fleet view, retry decision and retry
 * budget around the policy under test.
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

/** What the end of an attempt tells of its endpoint. */
const ATTEMPT_RESULTS: Record<AgentReply['type'], AttemptResult> = {
  ended: 'whole',
  failed: 'failed',
  refused: 'neutral',
};

/** A request of a caller or of a rollout step. */
export interface BenchRequest {
  readonly requestId: string;
  readonly service: string;
  readonly customer: string;
  readonly run: FakeRun;
  readonly expectedTokens: number;
  readonly priority: number;
  readonly budgetMs: number;
}

/** The final answer of a request. */
export interface BenchAnswer {
  /** Oldest version that took part; undefined without a whole answer. */
  readonly version: number | undefined;
  readonly kind: ErrorKind | undefined;
}

/** What an entry is built from. */
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

/** What the attempts of a request have in common. */
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

/** One entry. */
export class FakeEntry {
  readonly fleet = FleetView.create();
  private readonly retryBudget = RetryBudget.create();
  private readonly routing: RoutingSession;

  private constructor(private readonly options: FakeEntryOptions) {
    this.routing = options.policy.createRouting();
  }

  /** Builds an entry. */
  static create(options: FakeEntryOptions): FakeEntry {
    return new FakeEntry(options);
  }

  /** Returns where the entry stands. */
  getFailureDomain(): string {
    return this.options.failureDomain;
  }

  /** Sends a request; the listener hears its one final answer. */
  submit(
    request: BenchRequest,
    onAnswer: (answer: BenchAnswer) => void,
  ): () => void {
    const nowMs = this.options.clock.readMonotonicMs();
    const open: OpenRequest = {
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
    this.startAttempt(open);
    return () => this.cancel(open);
  }

  private cancel(open: OpenRequest): void {
    if (open.isFinished) return;
    open.isFinished = true;
    const agent = this.options.agents.get(open.endpointName);
    if (agent === undefined) return;
    const {failureDomain, network} = this.options;
    network.send(failureDomain, agent.description.failureDomain, () =>
      agent.cancelRun(open.request.requestId),
    );
    this.endAttempt(open.endpointName, undefined, open);
  }

  private startAttempt(open: OpenRequest): void {
    const {request} = open;
    const nowMs = this.options.clock.readMonotonicMs();
    const chosen = this.routing.chooseTarget(
      {
        service: request.service,
        prefixKey: request.run.prefixKey,
        ownDomain: this.options.failureDomain,
        placement: this.options.placement,
        excluded: open.excluded,
        avoidDomain: open.avoidDomain,
      },
      this.fleet.listServing(request.service, nowMs),
      this.options.random,
      {nowMs, expectedTokens: request.expectedTokens},
    );
    if (chosen.isErr()) return this.finish(open, undefined, chosen.error.kind);
    this.sendRun(open, chosen.value);
  }

  private sendRun(open: OpenRequest, target: EndpointView): void {
    const agent = this.options.agents.get(target.agent);
    if (agent === undefined) return;
    open.endpointName = target.name;
    const {attempt} = open;
    this.fleet.addOutstanding(target.name);
    open.attemptStartedAtMs = this.options.clock.readMonotonicMs();
    const {failureDomain, network} = this.options;
    const notify = (result: AgentReply) => {
      if (open.isFinished || open.attempt !== attempt) return;
      this.handleReply(open, target, result);
    };
    const timer = this.watchAgent(agent, open, attempt, () =>
      notify({type: 'failed', kind: 'agent-lost'}),
    );
    network.send(failureDomain, target.failureDomain, () => {
      const work = {
        requestId: open.request.requestId,
        customer: open.request.customer,
        priority: open.request.priority,
        expectedTokens: open.request.expectedTokens,
        deadlineAtMs: open.deadlineMs,
      };
      agent.offerRun(work, open.request.run, result => {
        network.send(target.failureDomain, failureDomain, () => {
          timer.isCancelled = true;
          notify(result);
        });
      });
    });
  }

  /** Gives up on an agent whose failure domain is cut off. */
  private watchAgent(
    agent: FakeAgent,
    open: OpenRequest,
    attempt: number,
    onLost: () => void,
  ): {isCancelled: boolean} {
    const {clock, network} = this.options;
    const watch = {isCancelled: false};
    const check = () => {
      if (watch.isCancelled || open.isFinished || open.attempt !== attempt) {
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
    open: OpenRequest,
    target: EndpointView,
    reply: AgentReply,
  ): void {
    this.endAttempt(target.name, reply, open);
    if (reply.type === 'ended') {
      this.retryBudget.recordSuccess();
      this.recordTraffic(open.request, target, reply.end.isPrefixHit);
      return this.finish(open, reply.end.version, undefined);
    }
    if (!this.prepareRetry(open, target, reply)) {
      return this.finish(open, undefined, reply.kind);
    }
    this.options.stats.retries += 1;
    open.attempt += 1;
    this.startAttempt(open);
  }

  private endAttempt(
    endpoint: string,
    reply: AgentReply | undefined,
    open: OpenRequest,
  ): void {
    const nowMs = this.options.clock.readMonotonicMs();
    this.fleet.removeOutstanding(endpoint);
    this.routing.recordEnd(endpoint, {
      nowMs,
      result: ATTEMPT_RESULTS[reply?.type ?? 'refused'],
      latencyMs: nowMs - open.attemptStartedAtMs,
      expectedTokens: open.request.expectedTokens,
    });
  }

  private prepareRetry(
    open: OpenRequest,
    target: EndpointView,
    reply: Exclude<AgentReply, {type: 'ended'}>,
  ): boolean {
    const nowMs = this.options.clock.readMonotonicMs();
    const isAllowed = canRetry({
      attempt: open.attempt,
      outcome: reply.type === 'refused' ? 'not-run' : 'unknown',
      isIdempotent: true,
      hasSentBytes: false,
      isRetryable: !NON_RETRYABLE_KINDS.has(reply.kind),
      budgetLeftMs: open.deadlineMs - nowMs,
    });
    if (!isAllowed || !this.retryBudget.takeRetry(nowMs)) return false;
    open.excluded.push(target.name);
    if (reply.type === 'failed') open.avoidDomain = target.failureDomain;
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
    open: OpenRequest,
    version: number | undefined,
    kind: ErrorKind | undefined,
  ): void {
    open.isFinished = true;
    open.onAnswer({version, kind});
  }
}
