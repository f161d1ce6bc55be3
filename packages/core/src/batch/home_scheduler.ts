/**
 * The home of batch jobs without its I/O: jobs, endpoints and runs, and what
 * the agents should do next. Everything that arrives is applied to it, and
 * `plan` returns the orders that follow.
 */
import {BatchJob, JobItem, JobResult, RunEnd, TextEvent} from './batch_types';
import {CarryStore} from './carry_store';
import {ItemState, JobState} from './job_state';
import {predictRemainingTokens} from './length_forecast';
import {ModelDemand, assignModels, planLoads} from './load_plan';
import type {EngineState, LoadOrder, RunOrder, RunUpdate} from './run_messages';
import {RunnerRegistration, RunnerState} from './runner_state';
import {JobView, planStarts} from './start_plan';

/** Silence of a run after which it is tried elsewhere, in ms. */
const STALL_MS = 2_500;
/** Time for which runs of an ended job go on, so that a later job that has the
 * same items finds their text, in ms. */
const LINGER_MS = 1_500;
/** Attempts that an endpoint may fail where the route states none. */
const DEFAULT_MAX_FAILURES = 3;

/** What the route of a job says of it. */
export interface JobBounds {
  readonly service: string;
  readonly maxAttempts: number;
  readonly retentionMs: number;
}

/** Finds the bounds of a job; undefined when its route is gone. */
export type BoundsFinder = (job: BatchJob) => JobBounds | undefined;

/** Orders for one agent. */
export interface RunnerOrders {
  readonly endpointId: string;
  readonly starts: RunOrder[];
  readonly stops: string[];
  readonly loads: LoadOrder[];
}

/** A run of a job that has ended. */
interface LingeringRun {
  readonly endpointId: string;
  readonly itemId: string;
  readonly events: TextEvent[];
  readonly endsAtMs: number;
}

/** What a scheduler is built from. */
export interface HomeSchedulerOptions {
  readonly findBounds: BoundsFinder;
  /** Returns a name that no other run has. */
  readonly createRunId: () => string;
}

/** Schedules the items of batch jobs. */
export class HomeScheduler {
  private readonly jobs = new Map<string, JobState>();
  private readonly runners = new Map<string, RunnerState>();
  private readonly newest = new Map<string, number>();
  private readonly carried = CarryStore.create();
  private readonly lingering = new Map<string, LingeringRun>();
  private readonly stops = new Map<string, string>();
  private readonly work = new Map<string, number>();

  private constructor(private readonly options: HomeSchedulerOptions) {}

  /** Builds a scheduler without jobs or endpoints. */
  static create(options: HomeSchedulerOptions): HomeScheduler {
    return new HomeScheduler(options);
  }

  /** Finds a job. */
  findJob(id: string): JobState | undefined {
    return this.jobs.get(id);
  }

  /** Lists the jobs that have not ended. */
  listOpenJobs(): JobState[] {
    return [...this.jobs.values()].filter(job => !job.isEnded);
  }

  /** Lists every job. */
  listJobs(): JobState[] {
    return [...this.jobs.values()];
  }

  /** Finds the endpoint of an agent's orders. */
  findRunner(endpointId: string): RunnerState | undefined {
    return this.runners.get(endpointId);
  }

  /** Takes up an accepted job with the records that its log has. */
  openJob(
    job: BatchJob,
    acceptedAtMs: number,
    records: ReadonlyArray<readonly JobResult[]> = [],
  ): JobState {
    const known = this.jobs.get(job.id);
    if (known !== undefined) return known;
    const state = JobState.create(job, acceptedAtMs, this.findCarried(job));
    for (const results of records) state.applyResults(results);
    this.jobs.set(job.id, state);
    this.work.set(job.model, job.items.length);
    this.setNewest(job.model, job.minVersion);
    for (const item of job.items) this.adoptCarried(state, item);
    return state;
  }

  private findCarried(job: BatchJob): Set<string> {
    const isKnown = (item: JobItem) =>
      this.carried.has(item.id) ||
      [...this.lingering.values()].some(run => run.itemId === item.id);
    return new Set(job.items.filter(isKnown).map(item => item.group));
  }

  /** Gives a new job what an earlier one has left of its item. */
  private adoptCarried(state: JobState, item: JobItem): void {
    const text = this.carried.take(item.id);
    if (text !== undefined) {
      state.adoptText(item.id, text.events, text.isWhole);
    }
    for (const [runId, run] of this.lingering) {
      if (run.itemId !== item.id) continue;
      this.lingering.delete(runId);
      if (!state.adoptText(item.id, run.events, false)) {
        this.stops.set(runId, run.endpointId);
        continue;
      }
      state.startRun(
        item.id,
        {runId, endpointId: run.endpointId, startedAtMs: 0, firstEvent: 0},
        0,
      );
      const followed = this.runners.get(run.endpointId)?.runs.get(runId);
      if (followed !== undefined) followed.jobId = state.job.id;
    }
  }

  /** Notes the newest version that a trainer has named. */
  setNewest(model: string, version: number): void {
    const known = this.newest.get(model) ?? 0;
    if (version > known) this.newest.set(model, version);
  }

  /** Ends a job: nothing of it starts from now on. */
  endJob(id: string, nowMs: number): void {
    const state = this.jobs.get(id);
    if (state === undefined || state.isEnded) return;
    state.isEnded = true;
    for (const item of state.items.values()) this.leaveItem(item, nowMs);
  }

  /** Keeps what an ended job has of an item for a later one. */
  private leaveItem(item: ItemState, nowMs: number): void {
    const {id} = item.item;
    if (item.phase === 'listed') return;
    if (item.phase === 'running' && item.run !== undefined) {
      const {runId, endpointId} = item.run;
      const endsAtMs = nowMs + LINGER_MS;
      const events = item.events;
      this.lingering.set(runId, {endpointId, itemId: id, events, endsAtMs});
      return;
    }
    const isWhole =
      item.phase === 'finished' && item.result?.state === 'completed';
    this.carried.put(id, {events: item.events, isWhole});
  }

  /** Sets the endpoints that are registered. */
  setRunners(registrations: readonly RunnerRegistration[]): void {
    const ids = new Set(registrations.map(item => item.endpointId));
    for (const [id, runner] of this.runners) {
      if (ids.has(id)) continue;
      this.loseRunner(id, 0);
      if (runner.runs.size === 0) this.runners.delete(id);
    }
    for (const registration of registrations) {
      const known = this.runners.get(registration.endpointId);
      if (known !== undefined) known.registration = registration;
      else {
        const runner = RunnerState.create(registration);
        this.runners.set(registration.endpointId, runner);
      }
    }
  }

  /** Notes that an agent does not answer: its runs are tried elsewhere. */
  loseRunner(endpointId: string, nowMs: number): void {
    const runner = this.runners.get(endpointId);
    if (runner === undefined) return;
    runner.isLinked = false;
    runner.pendingLoad = undefined;
    for (const run of runner.runs.values()) {
      this.finishRun(run.runId, run.jobId, run.itemId, 'broken', nowMs);
    }
    runner.runs.clear();
  }

  /** Notes that an order to start a run may not have reached its agent. */
  abandonStart(runId: string, itemId: string, nowMs: number): void {
    for (const [endpointId, runner] of this.runners) {
      const run = runner.runs.get(runId);
      if (run === undefined) continue;
      runner.runs.delete(runId);
      this.stops.set(runId, endpointId);
      this.finishRun(runId, run.jobId, itemId, 'not-run', nowMs);
    }
  }

  /** Takes what an agent has said. */
  applySync(
    endpointId: string,
    updates: readonly RunUpdate[],
    engine: EngineState,
    nowMs: number,
  ): void {
    const runner = this.runners.get(endpointId);
    if (runner === undefined) return;
    runner.isLinked = true;
    runner.applyEngine(engine, nowMs);
    for (const update of updates) this.applyUpdate(runner, update, nowMs);
  }

  private applyUpdate(
    runner: RunnerState,
    update: RunUpdate,
    nowMs: number,
  ): void {
    const {runId, jobId, itemId, end} = update;
    const events = update.events.map(([data, version]) => ({data, version}));
    const run = runner.runs.get(runId);
    if (run !== undefined) runner.measureSpeed(run, events.length, nowMs);
    const lingering = this.lingering.get(runId);
    if (lingering !== undefined) {
      this.applyLingering(runId, lingering, update, events);
      if (end !== undefined) runner.runs.delete(runId);
      return;
    }
    const state = this.findJobOfRun(runId, jobId, itemId);
    if (state === undefined) return this.dropRun(runner, runId, end);
    if (run === undefined && end === undefined) {
      this.adoptRun(runner, state, update, nowMs);
    }
    const isFine = state.addEvents(itemId, runId, update.from, events, nowMs);
    if (!isFine) return this.dropRun(runner, runId, end);
    if (end === undefined) return;
    runner.runs.delete(runId);
    this.finishRun(runId, state.job.id, itemId, end, nowMs);
  }

  /** Finds the job whose item a run works on, or could work on. */
  private findJobOfRun(
    runId: string,
    jobId: string,
    itemId: string,
  ): JobState | undefined {
    for (const state of this.jobs.values()) {
      if (state.isEnded) continue;
      if (state.items.get(itemId)?.run?.runId === runId) return state;
    }
    const named = this.jobs.get(jobId);
    const item = named?.items.get(itemId);
    return named?.isEnded === false && item?.phase === 'waiting'
      ? named
      : undefined;
  }

  /** Goes on with a run that an earlier home has started. */
  private adoptRun(
    runner: RunnerState,
    state: JobState,
    update: RunUpdate,
    nowMs: number,
  ): void {
    const {runId, itemId, endpointId, firstEvent, from} = update;
    const item = state.items.get(itemId);
    if (item?.phase !== 'waiting' || from !== 0) return;
    item.events = [];
    const run = {runId, endpointId, startedAtMs: nowMs, firstEvent};
    state.startRun(itemId, run, nowMs);
    this.followRun(runner, state, item, runId, nowMs);
  }

  private applyLingering(
    runId: string,
    run: LingeringRun,
    update: RunUpdate,
    events: readonly TextEvent[],
  ): void {
    run.events.push(...events.slice(run.events.length - update.from));
    if (update.end === undefined) return;
    this.lingering.delete(runId);
    const isWhole = update.end === 'completed';
    this.carried.put(run.itemId, {events: run.events, isWhole});
  }

  private dropRun(
    runner: RunnerState,
    runId: string,
    end: RunEnd | undefined,
  ): void {
    runner.runs.delete(runId);
    if (end === undefined) {
      this.stops.set(runId, runner.registration.endpointId);
    }
  }

  private finishRun(
    runId: string,
    jobId: string,
    itemId: string,
    end: RunEnd,
    nowMs: number,
  ): void {
    const lingering = this.lingering.get(runId);
    if (lingering !== undefined) {
      this.lingering.delete(runId);
      this.carried.put(itemId, {events: lingering.events, isWhole: false});
      return;
    }
    const state = this.jobs.get(jobId);
    if (state === undefined) return;
    const bounds = this.options.findBounds(state.job);
    const maxFailures = bounds?.maxAttempts ?? DEFAULT_MAX_FAILURES;
    state.endRun(itemId, runId, end, nowMs, maxFailures);
  }

  /** Returns the orders that follow from the state. */
  plan(nowMs: number): RunnerOrders[] {
    this.giveUpOld(nowMs);
    this.expireLingering(nowMs);
    this.stopStalled(nowMs);
    const orders = new Map<string, RunnerOrders>();
    const open = (endpointId: string) => {
      const known = orders.get(endpointId);
      if (known !== undefined) return known;
      const created = {endpointId, starts: [], stops: [], loads: []};
      orders.set(endpointId, created);
      return created;
    };
    for (const [runId, endpointId] of this.stops) {
      open(endpointId).stops.push(runId);
    }
    this.stops.clear();
    for (const start of this.planStartOrders(nowMs)) {
      open(start.endpointId).starts.push(start);
    }
    for (const load of this.planLoadOrders(nowMs)) {
      open(load.endpointId).loads.push(load);
    }
    return [...orders.values()];
  }

  private giveUpOld(nowMs: number): void {
    for (const state of this.listOpenJobs()) {
      const bounds = this.options.findBounds(state.job);
      const endsAtMs = state.acceptedAtMs + (bounds?.retentionMs ?? Infinity);
      if (nowMs < endsAtMs) continue;
      for (const item of state.items.values()) {
        if (item.run !== undefined) {
          this.stops.set(item.run.runId, item.run.endpointId);
          this.runners.get(item.run.endpointId)?.runs.delete(item.run.runId);
        }
      }
      state.giveUpRest();
    }
  }

  private expireLingering(nowMs: number): void {
    for (const [runId, run] of this.lingering) {
      if (nowMs < run.endsAtMs) continue;
      this.lingering.delete(runId);
      this.carried.put(run.itemId, {events: run.events, isWhole: false});
      this.stops.set(runId, run.endpointId);
      this.runners.get(run.endpointId)?.runs.delete(runId);
    }
  }

  private stopStalled(nowMs: number): void {
    for (const runner of this.runners.values()) {
      for (const run of runner.runs.values()) {
        const sinceMs = run.progressAtMs ?? run.startedAtMs;
        if (nowMs - sinceMs < STALL_MS) continue;
        runner.runs.delete(run.runId);
        this.stops.set(run.runId, runner.registration.endpointId);
        this.finishRun(run.runId, run.jobId, run.itemId, 'stopped', nowMs);
      }
    }
  }

  private planStartOrders(nowMs: number): RunOrder[] {
    const jobs = this.listOpenJobs().map(state => this.viewJob(state));
    const models = [...this.newest.keys()];
    const views = [...this.runners.values()].map(item => item.describe(models));
    return planStarts(jobs, views, nowMs).map(({job, item, endpointId}) =>
      this.startItem(job, item, endpointId, nowMs),
    );
  }

  private viewJob(state: JobState): JobView {
    const service = this.options.findBounds(state.job)?.service;
    const runners = [...this.runners.values()].filter(
      runner => runner.registration.service === service,
    );
    return {
      state,
      endpointIds: new Set(runners.map(item => item.registration.endpointId)),
      tokensPerEvent: runners[0]?.registration.tokensPerEvent ?? 1,
    };
  }

  private startItem(
    state: JobState,
    item: ItemState,
    endpointId: string,
    nowMs: number,
  ): RunOrder {
    const {job} = state;
    const runId = this.options.createRunId();
    const firstEvent = item.events.length;
    const run = {runId, endpointId, startedAtMs: nowMs, firstEvent};
    state.startRun(item.item.id, run, nowMs);
    const runner = this.runners.get(endpointId);
    if (runner !== undefined) {
      this.followRun(runner, state, item, runId, nowMs);
    }
    const retentionMs = this.options.findBounds(job)?.retentionMs ?? Infinity;
    return {
      runId,
      jobId: job.id,
      itemId: item.item.id,
      endpointId,
      host: job.host,
      path: item.item.path,
      headers: item.item.headers,
      body: item.item.body,
      prior: item.events.map(event => [event.data, event.version]),
      leftMs: Math.max(1, state.acceptedAtMs + retentionMs - nowMs),
      priority: 5,
    };
  }

  private followRun(
    runner: RunnerState,
    state: JobState,
    item: ItemState,
    runId: string,
    nowMs: number,
  ): void {
    const {tokensPerEvent} = runner.registration;
    const made = item.events.length * tokensPerEvent;
    const remaining = predictRemainingTokens(item, tokensPerEvent);
    runner.runs.set(runId, {
      runId,
      jobId: state.job.id,
      itemId: item.item.id,
      expectedMemory: item.item.promptTokens + made + remaining,
      progressAtMs: undefined,
      startedAtMs: nowMs,
    });
  }

  private planLoadOrders(nowMs: number): LoadOrder[] {
    const demands = this.describeDemands();
    const usable = [...this.runners.values()].filter(
      runner => runner.isLinked && !runner.registration.isDraining,
    );
    const ids = usable.map(runner => runner.registration.endpointId).sort();
    const shares = demands.map(({model}) => ({
      model,
      work: this.work.get(model) ?? 1,
    }));
    const assigned = assignModels(shares, ids);
    const loads = planLoads(
      demands,
      usable.map(runner => ({
        id: runner.registration.endpointId,
        versions: new Map(
          demands.map(({model}) => [model, runner.getVersion(model)]),
        ),
        isBusy: runner.isLoading(),
        runs: runner.runs.size,
        models: assigned.get(runner.registration.endpointId) ?? new Set(),
      })),
    );
    for (const {endpointId, model, version} of loads) {
      const runner = this.runners.get(endpointId);
      if (runner === undefined) continue;
      runner.pendingLoad = {model, version, orderedAtMs: nowMs};
    }
    return loads;
  }

  private describeDemands(): ModelDemand[] {
    const open = this.listOpenJobs();
    return [...this.newest]
      .map(([model, newest]) => ({
        model,
        newest,
        minVersion: Math.max(
          0,
          ...open
            .filter(state => state.job.model === model)
            .map(state => state.job.minVersion),
        ),
      }))
      .sort((a, b) => (a.model < b.model ? -1 : 1));
  }
}
