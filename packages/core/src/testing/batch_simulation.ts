/**
 * Simulates batch jobs in virtual time: engines that generate events, agents
 * that register them, and a coordinator that schedules. Tests inject the
 * faults; scheduling uses the production code.
 */
import {
  BatchJob,
  BatchScheduler,
  JobItem,
  JobResult,
  JobState,
  LoadOrder,
  RunRegistry,
  RunEnd,
  RunOrder,
  EndpointOrders,
  SchedulingPolicy,
  computeFlushDelay,
} from '../index';
import {ScoringSimulation, createScoringCall} from './scoring_simulation';

/** Duration of one step of the simulation, in ms. */
const STEP_MS = 10;
/** Time between syncs of an agent with the coordinator, in ms. */
const SYNC_MS = 100;
const TOKENS_PER_EVENT = 57;
const MS_PER_TOKEN = 0.647;
/** Relative increase of the time per token for each further run. */
const SLOWDOWN_PER_RUN = 0.007;
const LOAD_MS = 900;
/** Software version of all engines at first; events of others are marked. */
const FIRST_SOFTWARE = 's1';
const RUN_DEADLINE_MS = 7_500;

/** A run at an engine. */
interface EngineRun {
  readonly order: RunOrder;
  /** Time spent on the next event so far, in ms. */
  progressMs: number;
}

/** An engine with its agent. */
export interface SimulatedEngine {
  id: string;
  readonly slots: number;
  /** Factor by which tokens take longer than usual. */
  slowdown: number;
  isDown: boolean;
  /** Limit that it states, in requests per second; undefined for none. */
  limit: number | undefined;
  /** Whether the coordinator cannot reach the agent. */
  isPartitioned: boolean;
  version: number;
  /** Version of its software. */
  software: string;
  load: {version: number; untilMs: number} | undefined;
  readonly registry: RunRegistry;
  readonly runs: Map<string, EngineRun>;
  /** Sequence number of the last updates that the coordinator received. */
  receivedSequence: number;
}

export interface BatchSimulationOptions {
  readonly engines: number;
  readonly slots?: number;
  /** Memory of each engine, in tokens. */
  readonly memoryTokens?: number;
  /** Events of each item. */
  readonly countEvents: (itemId: string) => number;
  readonly policy?: SchedulingPolicy;
  /** Returns how an engine ends a run at its start; undefined if it runs. */
  readonly getImmediateEnd?: (
    engineId: string,
    itemId: string,
  ) => RunEnd | undefined;
  /** The service that scores texts; undefined if the jobs need no scores. */
  readonly scoring?: ScoringSimulation;
}

/** Batch jobs, engines and a coordinator. */
export class BatchSimulation {
  nowMs = 0;
  scheduler: BatchScheduler;
  readonly engines: SimulatedEngine[];
  /** Every start order that an agent has accepted, even if the run was rejected. */
  readonly starts: RunOrder[] = [];
  /** Records of each job's log, as stored. */
  readonly logs = new Map<string, JobResult[][]>();
  /** Time at which the text of each item was first complete at an engine. */
  readonly textMadeAtMs = new Map<string, number>();
  private readonly jobs = new Map<string, JobState>();
  private readonly openJobs = new Map<string, BatchJob>();
  private readonly flushedAtMs = new Map<string, number>();
  private epoch = 1;
  private runCount = 0;

  private constructor(private readonly options: BatchSimulationOptions) {
    this.engines = Array.from({length: options.engines}, (_, index) => ({
      id: `engine-${index}`,
      slots: options.slots ?? 12,
      slowdown: 1,
      isDown: false,
      limit: undefined,
      isPartitioned: false,
      version: 1,
      software: FIRST_SOFTWARE,
      load: undefined,
      registry: RunRegistry.create(),
      runs: new Map(),
      receivedSequence: 0,
    }));
    this.scheduler = this.createScheduler();
    this.registerEngines();
  }

  static create(options: BatchSimulationOptions): BatchSimulation {
    return new BatchSimulation(options);
  }

  submitJob(job: BatchJob): JobState {
    this.logs.set(job.id, []);
    this.openJobs.set(job.id, job);
    const state = this.scheduler.openJob(job, this.nowMs);
    this.jobs.set(job.id, state);
    this.applyPlan();
    return state;
  }

  /** Finds the state of a job at the current coordinator. */
  findJob(id: string): JobState | undefined {
    return this.jobs.get(id);
  }

  endJob(id: string): void {
    this.scheduler.endJob(id, this.nowMs);
    this.openJobs.delete(id);
    this.applyPlan();
  }

  /** Replaces the coordinator with a new one, which has only the stored state. */
  replaceCoordinator(): void {
    this.epoch += 1;
    this.scheduler = this.createScheduler();
    for (const engine of this.engines) {
      engine.registry.resetAcknowledgements();
      engine.receivedSequence = 0;
    }
    for (const job of this.openJobs.values()) {
      const records = this.logs.get(job.id) ?? [];
      this.jobs.set(job.id, this.scheduler.openJob(job, 0, records));
    }
    this.scheduler.startTakeover(this.nowMs);
    this.registerEngines();
  }

  /** Crashes an engine, which aborts its runs. */
  crashEngine(engine: SimulatedEngine): void {
    for (const runId of [...engine.runs.keys()]) {
      this.endRun(engine, runId, 'broken');
    }
  }

  /** Replaces an engine by one with other software, under another id. */
  replaceEngine(engine: SimulatedEngine, software: string): void {
    this.crashEngine(engine);
    this.sync(engine);
    engine.id += "'";
    engine.software = software;
    this.registerEngines();
  }

  /** Passes the state of all engines on to the coordinator. */
  syncEngines(): void {
    for (const engine of this.engines) this.sync(engine);
  }

  /** Advances the simulation by a time in ms. */
  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) this.step();
  }

  /**
   * Advances the simulation until a condition is met or the limit in ms has
   * passed; returns whether it was met.
   */
  advanceUntil(condition: () => boolean, limitMs: number): boolean {
    const endMs = this.nowMs + limitMs;
    while (!condition() && this.nowMs < endMs) this.step();
    return condition();
  }

  private createScheduler(): BatchScheduler {
    const {epoch} = this;
    return BatchScheduler.create({
      findBounds: () => ({
        service: 'lm',
        maxAttempts: 3,
        retentionMs: 40_000,
        runDeadlineMs: RUN_DEADLINE_MS,
        tokensPerEvent: TOKENS_PER_EVENT,
      }),
      epoch,
      createRunId: () => `${epoch}.${(this.runCount += 1)}`,
      policy: this.options.policy,
    });
  }

  private registerEngines(): void {
    this.scheduler.setEndpoints(
      this.engines.map(engine => ({
        endpointId: engine.id,
        service: 'lm',
        software: engine.software,
        slots: engine.slots,
        memoryTokens: this.options.memoryTokens ?? 100_000,
        tokensPerEvent: TOKENS_PER_EVENT,
        versions: new Map([['m', engine.version]]),
        isDraining: false,
      })),
      this.nowMs,
    );
    for (const engine of this.engines) this.sync(engine);
  }

  private step(): void {
    this.nowMs += STEP_MS;
    for (const engine of this.engines) {
      this.generateEvents(engine);
      if (this.nowMs % SYNC_MS === 0) this.sync(engine);
    }
    this.options.scoring?.advance(this.scheduler, this.nowMs, STEP_MS);
    for (const [id, state] of this.jobs) this.flush(id, state);
    this.applyPlan();
  }

  private generateEvents(engine: SimulatedEngine): void {
    if (engine.load !== undefined && engine.load.untilMs <= this.nowMs) {
      engine.version = engine.load.version;
      engine.load = undefined;
    }
    if (engine.isDown) return;
    const batchSlowdown =
      1 + SLOWDOWN_PER_RUN * Math.max(0, engine.runs.size - 1);
    const perEventMs =
      TOKENS_PER_EVENT * MS_PER_TOKEN * batchSlowdown * engine.slowdown;
    for (const [runId, run] of engine.runs) {
      run.progressMs += STEP_MS;
      while (run.progressMs >= perEventMs && engine.runs.has(runId)) {
        run.progressMs -= perEventMs;
        this.generateEvent(engine, runId, run.order.itemId);
      }
    }
  }

  private generateEvent(
    engine: SimulatedEngine,
    runId: string,
    itemId: string,
  ): void {
    const eventCount = engine.registry.find(runId)?.events.length ?? 0;
    const {version, software} = engine;
    const mark = software === FIRST_SOFTWARE ? '' : `@${software}`;
    const data = `${itemId}:${eventCount}${mark}`;
    const event = {data, version, software};
    engine.registry.addEvent(runId, event, this.nowMs);
    if (eventCount + 1 >= this.options.countEvents(itemId)) {
      const madeAtMs = this.textMadeAtMs.get(itemId) ?? this.nowMs;
      this.textMadeAtMs.set(itemId, madeAtMs);
      this.endRun(engine, runId, 'completed');
    }
  }

  private endRun(engine: SimulatedEngine, runId: string, end: RunEnd): void {
    engine.runs.delete(runId);
    engine.registry.end(runId, end, this.nowMs);
  }

  private sync(engine: SimulatedEngine): void {
    if (engine.isPartitioned) {
      this.scheduler.loseEndpoint(engine.id, this.nowMs);
      return;
    }
    engine.registry.acknowledge(engine.receivedSequence);
    const {sequence, updates} = engine.registry.takeUpdates();
    engine.receivedSequence = sequence;
    const state = {
      isReachable: !engine.isDown,
      versions: {m: engine.version},
      isBusy: engine.load !== undefined,
      running: engine.runs.size,
      waiting: 0,
      memoryUsed: 0,
      limit: engine.limit,
    };
    this.scheduler.applySync(engine.id, updates, state, this.nowMs);
  }

  private flush(id: string, state: JobState): void {
    if (state.isEnded) return;
    const lastMs = this.flushedAtMs.get(id) ?? -Infinity;
    const delayMs = computeFlushDelay(state, lastMs, this.nowMs, {
      runDeadlineMs: RUN_DEADLINE_MS,
      tokensPerEvent: TOKENS_PER_EVENT,
    });
    if (delayMs === undefined || delayMs > 0) return;
    const results = state.listUnlistedResults();
    this.logs.get(id)?.push(results);
    state.applyResults(results);
    this.flushedAtMs.set(id, this.nowMs);
  }

  private applyPlan(): void {
    for (const orders of this.scheduler.plan(this.nowMs)) {
      const engine = this.engines.find(item => item.id === orders.endpointId);
      if (engine !== undefined) this.applyOrders(engine, orders);
    }
  }

  private applyOrders(engine: SimulatedEngine, orders: EndpointOrders): void {
    if (engine.isPartitioned) {
      for (const {runId} of orders.starts) {
        this.scheduler.abandonRun(runId, this.nowMs);
      }
      return;
    }
    for (const runId of orders.stops) this.endRun(engine, runId, 'stopped');
    for (const order of orders.starts) this.startRun(engine, order);
    for (const load of orders.loads) this.startLoad(engine, load);
  }

  private startRun(engine: SimulatedEngine, order: RunOrder): void {
    if (!engine.registry.add(order, this.nowMs)) return;
    this.starts.push(order);
    const isRejected = engine.isDown || engine.runs.size >= engine.slots;
    const end = isRejected
      ? 'not-run'
      : this.options.getImmediateEnd?.(engine.id, order.itemId);
    if (end !== undefined) {
      engine.registry.end(order.runId, end, this.nowMs);
      return;
    }
    engine.runs.set(order.runId, {order, progressMs: 0});
  }

  private startLoad(engine: SimulatedEngine, load: LoadOrder): void {
    engine.load ??= {version: load.version, untilMs: this.nowMs + LOAD_MS};
  }
}

export interface TestJobOptions {
  readonly id: string;
  readonly groups: number;
  readonly size: number;
  readonly desiredGroups: number;
  readonly minVersion?: number;
  readonly isSingleVersion?: boolean;
  /** The trainer's estimate of an item's tokens. */
  readonly estimateTokens?: (itemId: string) => number;
  /** Whether texts need a score. */
  readonly isScored?: boolean;
  /** Items of earlier jobs to submit again, in complete groups. */
  readonly repeatedItems?: readonly JobItem[];
}

/** Creates a job whose items all have the same prompt and limits. */
export function createTestJob(options: TestJobOptions): BatchJob {
  const {id, groups, size, repeatedItems: again = []} = options;
  const items = Array.from({length: groups * size}, (_, index): JobItem => {
    const itemId = `${id}-${index}`;
    return {
      id: itemId,
      group: `${id}-g${Math.floor(index / size)}`,
      path: '/p',
      headers: {},
      body: '',
      promptTokens: 200,
      maxOutputTokens: 10_317,
      expectedTokens: options.estimateTokens?.(itemId),
      scoringCall: options.isScored ? createScoringCall(itemId) : undefined,
    };
  });
  return {
    id,
    host: 'h',
    path: '/p',
    route: 'r',
    model: 'm',
    minVersion: options.minVersion ?? 1,
    isSingleVersion: options.isSingleVersion ?? false,
    desiredGroups: options.desiredGroups,
    step: 0,
    acceptedAtMs: 0,
    items: [...again, ...items],
  };
}
