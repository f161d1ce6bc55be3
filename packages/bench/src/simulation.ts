/**
 * Simulates a deployment in a scenario with a policy. Equal plans, seed
 * included, give equal results.
 */
import {
  HEARTBEAT_INTERVAL_MS,
  RandomSource,
  createRandomSource,
  hashText,
} from '@sassafrasspan/core';
import {StepPool} from '@sassafrasspan/server/step_pool';
import type {Deployment, PoolPlan} from './deployments';
import {
  PLAIN_MEAN_MS,
  SERVING_MEAN_TOKENS,
  drawPlainMs,
  drawServingTokens,
} from './draws';
import {FakeAgent} from './fake_agent';
import {
  ENGINE_BATCH_SIZE,
  FakeEndpoint,
  PLAIN_CONCURRENCY,
  TOKENS_PER_SECOND,
} from './fake_endpoint';
import {BenchRequest, FakeEntry} from './fake_entry';
import {FakeTrainer, FakeTrainerOptions} from './fake_trainer';
import {BenchNetwork} from './network';
import type {Policy} from './policies';
import {RunStats} from './run_stats';
import type {Scenario, Span} from './scenarios';
import {VirtualClock} from './virtual_clock';

/** Time in which the first steps fill the pipeline; left out of all counts. */
const WARM_UP_MS = 60_000;
const ENTRY_COUNT = 2;
const MAX_QUEUED = 64;
/** Factor by which runs take longer on the slow endpoints of a scenario. */
const STRAGGLER_SLOWNESS = 4;
/** Delay of load reports while the object API is down. */
const STALE_REPORT_DELAY_MS = 2_000;
/** Each engine activates a published version after a delay up to this. */
const MAX_SWAP_DELAY_MS = 2_000;
/** Number of different prompt prefixes among the serving calls of a pool. */
const SERVING_PREFIXES = 20;

/** Input of a run. */
export interface RunPlan {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly policy: Policy;
  readonly seed: number;
  /** Length of the run after its warm-up. */
  readonly durationMs: number;
}

type TrainerEntryOptions = Pick<
  FakeTrainerOptions,
  'entry' | 'pool' | 'policy'
>;

/** A run in progress. */
export class Simulation {
  private readonly clock = VirtualClock.create();
  private readonly stats = RunStats.create();
  private readonly agents = new Map<string, FakeAgent>();
  private readonly network: BenchNetwork;
  private readonly entries: FakeEntry[];
  private trainers: FakeTrainer[] = [];
  private servingCallCount = 0;

  private constructor(private readonly plan: RunPlan) {
    const {deployment} = plan;
    this.network = BenchNetwork.create(
      this.clock,
      this.createRandom('network'),
      deployment.domainLatencyMs,
    );
    this.createAgents(deployment.enginePool);
    this.createAgents(deployment.plainPool);
    this.entries = deployment.domains
      .slice(0, ENTRY_COUNT)
      .map(domain => this.createEntry(domain));
  }

  /** Runs a plan to its end and returns its counters. */
  static run(plan: RunPlan): RunStats {
    const simulation = new Simulation(plan);
    simulation.start();
    const endMs = WARM_UP_MS + plan.durationMs;
    simulation.clock.runUntil(endMs);
    for (const trainer of simulation.trainers) trainer.recordFinalIdle(endMs);
    return simulation.stats;
  }

  private createRandom(purpose: string): RandomSource {
    return createRandomSource(hashText(`${this.plan.seed}/${purpose}`));
  }

  private createAgents(pool: PoolPlan): void {
    const {scenario, policy} = this.plan;
    const slots =
      pool.kind === 'engine' ? ENGINE_BATCH_SIZE : PLAIN_CONCURRENCY;
    pool.domains.forEach((failureDomain, index) => {
      const slowness = scenario.slowEndpoints.includes(index)
        ? STRAGGLER_SLOWNESS
        : 1;
      const name = `${pool.service}-${index + 1}`;
      const agent = FakeAgent.create(
        {name, failureDomain, service: pool.service, slots},
        FakeEndpoint.create(this.clock, slots, slowness),
        this.clock,
        policy.createAdmission({slots, maxQueued: MAX_QUEUED}, this.clock),
      );
      this.agents.set(name, agent);
    });
  }

  private createEntry(failureDomain: string): FakeEntry {
    const {deployment, policy} = this.plan;
    return FakeEntry.create({
      failureDomain,
      placement: {
        allowed: [...deployment.domains],
        spill: [deployment.costlyDomain],
      },
      policy,
      agents: this.agents,
      network: this.network,
      clock: this.clock,
      random: this.createRandom(`entry/${failureDomain}`),
      stats: this.stats,
    });
  }

  private start(): void {
    const {deployment, scenario} = this.plan;
    for (const agent of this.agents.values()) this.sendReport(agent);
    this.clock.repeat(HEARTBEAT_INTERVAL_MS, () => {
      for (const agent of this.agents.values()) this.sendReport(agent);
    });
    this.scheduleDomainLoss();
    this.clock.schedule(HEARTBEAT_INTERVAL_MS, () => {
      if (scenario.hasRollouts) this.startTrainers();
      this.startServing(deployment.enginePool, this.computeEngineRate());
      this.startServing(deployment.plainPool, this.computePlainRate());
    });
  }

  private sendReport(agent: FakeAgent): void {
    const report = agent.createReport();
    const delayMs = this.isWithinSpan(this.plan.scenario.platformDown)
      ? STALE_REPORT_DELAY_MS
      : 0;
    for (const entry of this.entries) {
      this.clock.schedule(delayMs, () =>
        this.network.send(
          agent.description.failureDomain,
          entry.getFailureDomain(),
          () => entry.fleet.applyReport(report, this.clock.readMonotonicMs()),
        ),
      );
    }
  }

  private isWithinSpan(span: Span | undefined): boolean {
    if (span === undefined) return false;
    const nowMs = this.clock.readMonotonicMs();
    const share = (nowMs - WARM_UP_MS) / this.plan.durationMs;
    return share >= span.from && share < span.to;
  }

  private scheduleDomainLoss(): void {
    const {scenario, deployment, durationMs} = this.plan;
    const span = scenario.lostDomain;
    const domain = deployment.domains.at(-1);
    if (span === undefined || domain === undefined) return;
    const agents = [...this.agents.values()].filter(
      agent => agent.description.failureDomain === domain,
    );
    this.clock.schedule(WARM_UP_MS + span.from * durationMs, () => {
      this.network.setDomainLost(domain, true);
      for (const agent of agents) agent.endpoint.crash();
    });
    this.clock.schedule(WARM_UP_MS + span.to * durationMs, () => {
      this.network.setDomainLost(domain, false);
      for (const agent of agents) agent.restart();
    });
  }

  private startTrainers(): void {
    const {deployment, seed} = this.plan;
    this.trainers = deployment.trainers.map((plan, index) =>
      FakeTrainer.create({
        plan,
        service: deployment.enginePool.service,
        ...this.createTrainerEntryOptions(index),
        clock: this.clock,
        stats: this.stats,
        seed,
        warmUpMs: WARM_UP_MS,
        publishVersion: (trainer, version) =>
          this.publishVersion(trainer, version),
        readServedVersion: trainer => this.readServedVersion(trainer),
      }),
    );
  }

  private createTrainerEntryOptions(index: number): TrainerEntryOptions {
    const entry = this.entries[index % this.entries.length];
    const {fleet} = entry;
    return {
      entry,
      pool: StepPool.create({fleet, clock: this.clock}),
      policy: this.plan.policy.rollout,
    };
  }

  private readServedVersion(trainer: string): number {
    const versions = [...this.agents.values()].map(agent =>
      agent.endpoint.getVersion(trainer),
    );
    return Math.max(...versions);
  }

  private publishVersion(trainer: string, version: number): boolean {
    if (this.isWithinSpan(this.plan.scenario.platformDown)) return false;
    const {service} = this.plan.deployment.enginePool;
    const random = this.createRandom(`swap/${trainer}/${version}`);
    for (const agent of this.agents.values()) {
      if (agent.description.service !== service) continue;
      this.clock.schedule(random() * MAX_SWAP_DELAY_MS, () =>
        agent.endpoint.setVersion(trainer, version),
      );
    }
    return true;
  }

  private computeEngineRate(): number {
    const {enginePool} = this.plan.deployment;
    const tokens =
      enginePool.domains.length * ENGINE_BATCH_SIZE * TOKENS_PER_SECOND;
    return (this.plan.scenario.engineLoad * tokens) / SERVING_MEAN_TOKENS;
  }

  private computePlainRate(): number {
    const {plainPool} = this.plan.deployment;
    const slots = plainPool.domains.length * PLAIN_CONCURRENCY;
    return (this.plan.scenario.plainLoad * slots * 1_000) / PLAIN_MEAN_MS;
  }

  private startServing(pool: PoolPlan, ratePerSecond: number): void {
    const random = this.createRandom(`arrivals/${pool.service}`);
    const receiveCall = () => {
      this.serveCall(pool, random);
      const gapMs = (-Math.log(1 - random()) * 1_000) / ratePerSecond;
      this.clock.schedule(gapMs, receiveCall);
    };
    this.clock.schedule(0, receiveCall);
  }

  private serveCall(pool: PoolPlan, random: RandomSource): void {
    this.servingCallCount += 1;
    const requestId = `serving/${this.plan.seed}/${this.servingCallCount}`;
    const entry = this.entries[Math.floor(random() * this.entries.length)];
    const prefix = Math.floor(random() * SERVING_PREFIXES);
    const stats = this.stats.getServing(pool.service);
    const startMs = this.clock.readMonotonicMs();
    const {clientLatencyMs} = this.plan.deployment;
    const isCounted = startMs >= WARM_UP_MS;
    if (isCounted) stats.offered += 1;
    entry.submit(createServingRequest(requestId, pool, prefix), answer => {
      if (!isCounted) return;
      if (answer.kind !== undefined) {
        stats.refused += 1;
        return;
      }
      const waitedMs = this.clock.readMonotonicMs() - startMs;
      const latencyMs = waitedMs + 2 * clientLatencyMs;
      stats.latenciesMs.push(latencyMs);
      if (latencyMs <= pool.budgetMs) stats.inTime += 1;
    });
  }
}

function createServingRequest(
  requestId: string,
  pool: PoolPlan,
  prefix: number,
): BenchRequest {
  const isEngine = pool.kind === 'engine';
  const tokens = isEngine ? drawServingTokens(requestId) : 0;
  return {
    requestId,
    service: pool.service,
    customer: pool.customer,
    run: {
      tokens,
      plainMs: isEngine ? 0 : drawPlainMs(requestId),
      prefixKey: isEngine ? `${pool.service}/${prefix}` : '',
      trainer: '',
    },
    expectedTokens: isEngine ? SERVING_MEAN_TOKENS : 1,
    priority: 0,
    budgetMs: pool.budgetMs,
  };
}
