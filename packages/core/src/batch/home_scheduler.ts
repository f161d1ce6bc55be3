/**
 * The home of batch jobs without its I/O: jobs, endpoints and runs, and what
 * the agents should do next. Everything that arrives is applied to it, and
 * `plan` returns the orders that follow.
 */
import {BatchJob, JobResult, RunEnd} from './batch_types';
import {CarryOver, LingeringRun} from './carry_over';
import {ItemState, JobState} from './job_state';
import {predictRemainingTokens} from './length_forecast';
import {planModelLoads} from './model_loads';
import {MovableRun, PlannedMove, planMoves} from './move_plan';
import type {EngineState, LoadOrder, RunOrder, RunUpdate} from './run_messages';
import {RunnerRegistration, RunnerState} from './runner_state';
import {
  ItemRank,
  JobView,
  PlannedStart,
  Reservation,
  canRunItem,
  planStarts,
} from './start_plan';

/** Silence of a run after which it is tried elsewhere, in ms. */
const STALL_MS = 2_500;
/** Time for which a place is kept for an item that moves, in ms: the agent of
 * the endpoint before confirms within a few round trips. */
const RESERVATION_MS = 400;
/** Attempts that an endpoint may fail where the route states none. */
const DEFAULT_MAX_FAILURES = 3;
/** Time to the last result where no route states it, in ms. */
const DEFAULT_RUN_DEADLINE_MS = 60_000;
/** Rank of items at an endpoint, in the middle of its scale. */
const ITEM_PRIORITY = 5;

/** What the route of a job says of it. */
export interface JobBounds {
  readonly service: string;
  readonly maxAttempts: number;
  readonly retentionMs: number;
  /** Time from acceptance to the last result, in ms. */
  readonly runDeadlineMs: number;
}

/** Finds the bounds of a job; undefined when its route is gone. */
export type BoundsFinder = (job: BatchJob) => JobBounds | undefined;

/** What decided a start. */
export interface ItemStartReason {
  readonly rank: ItemRank;
  readonly remainingTokens: number;
  /** Time for a token at the endpoint, in ms. */
  readonly msPerToken: number;
}

/** Orders for one agent. */
export interface RunnerOrders {
  readonly endpointId: string;
  readonly starts: RunOrder[];
  /** Why each start was chosen, in the order of the starts. */
  readonly reasons: ItemStartReason[];
  readonly stops: string[];
  readonly loads: LoadOrder[];
}

/** What a scheduler is built from. */
export interface HomeSchedulerOptions {
  readonly findBounds: BoundsFinder;
  /** Epoch of the home, its fencing number at engines. */
  readonly epoch: number;
  /** Returns a name that no other run has. */
  readonly createRunId: () => string;
}

/** Schedules the items of batch jobs. */
export class HomeScheduler {
  private readonly jobs = new Map<string, JobState>();
  private readonly runners = new Map<string, RunnerState>();
  private readonly newest = new Map<string, number>();
  private readonly work = new Map<string, number>();
  private readonly carryOver = CarryOver.create();
  /** Versions from a job to the one that has its left items, by model. */
  private readonly versionLeads = new Map<string, number>();
  /** Places that are kept for items on their way to a faster endpoint. */
  private readonly reserved = new Map<string, Reservation>();
  /** Endpoint of each run that is to be broken off. */
  private readonly stops = new Map<string, string>();

  private constructor(private readonly options: HomeSchedulerOptions) {}

  /** Builds a scheduler without jobs or endpoints. */
  static create(options: HomeSchedulerOptions): HomeScheduler {
    return new HomeScheduler(options);
  }

  /** Lists the jobs that have not ended. */
  listOpenJobs(): JobState[] {
    return [...this.jobs.values()].filter(job => !job.isEnded);
  }

  /** Takes up an accepted job with the records that its log has. */
  openJob(
    job: BatchJob,
    acceptedAtMs: number,
    records: ReadonlyArray<readonly JobResult[]> = [],
  ): JobState {
    const known = this.jobs.get(job.id);
    if (known !== undefined) return known;
    const carried = this.carryOver.findGroups(job);
    const lead = this.carryOver.findVersionLead(job);
    if (lead !== undefined) this.versionLeads.set(job.model, lead);
    const state = JobState.create(job, acceptedAtMs, carried);
    for (const results of records) state.applyResults(results);
    this.jobs.set(job.id, state);
    this.work.set(job.model, job.items.length);
    this.setNewest(job.model, job.minVersion);
    const {attached, useless} = this.carryOver.adoptInto(state);
    for (const run of attached) this.attachRun(state, run);
    for (const run of useless) this.stopRun(run.runId, run.endpointId);
    return state;
  }

  /** Goes on with a run of an earlier job. */
  private attachRun(state: JobState, run: LingeringRun): void {
    const {runId, endpointId, itemId} = run;
    const followed = this.runners.get(endpointId)?.runs.get(runId);
    const startedAtMs = followed?.startedAtMs ?? 0;
    const itemRun = {runId, endpointId, startedAtMs, firstEvent: 0};
    state.startRun(itemId, itemRun, startedAtMs);
    if (followed !== undefined) followed.jobId = state.job.id;
  }

  /** Takes up a job that has ended, for its readers only. */
  restoreEnded(
    job: BatchJob,
    acceptedAtMs: number,
    records: ReadonlyArray<readonly JobResult[]>,
  ): JobState {
    const state = JobState.create(job, acceptedAtMs);
    for (const results of records) state.applyResults(results);
    state.isEnded = true;
    this.carryOver.learnJob(state);
    return state;
  }

  /** Notes the newest version that a trainer has named. */
  setNewest(model: string, version: number): void {
    const known = this.newest.get(model) ?? 0;
    if (version > known) this.newest.set(model, version);
  }

  /** Ends a job: nothing of it starts from now on. */
  endJob(id: string, nowMs: number): void {
    const state = this.jobs.get(id);
    if (state === undefined) return;
    this.jobs.delete(id);
    state.isEnded = true;
    for (const item of state.items.values()) {
      this.carryOver.leaveItem(item, state.job.minVersion, nowMs);
    }
  }

  /** Sets the endpoints that are registered. */
  setRunners(
    registrations: readonly RunnerRegistration[],
    nowMs: number,
  ): void {
    const ids = new Set(registrations.map(item => item.endpointId));
    for (const id of [...this.runners.keys()]) {
      if (ids.has(id)) continue;
      this.loseRunner(id, nowMs);
      this.runners.delete(id);
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
      this.stopRun(runId, endpointId);
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
    const counts = new Map<string, number>();
    for (const {runId, events} of updates) counts.set(runId, events.length);
    runner.measurePace(counts, nowMs);
    for (const update of updates) this.applyUpdate(runner, update, nowMs);
  }

  private applyUpdate(
    runner: RunnerState,
    update: RunUpdate,
    nowMs: number,
  ): void {
    const {runId, jobId, itemId, end} = update;
    const run = runner.runs.get(runId);
    if (end !== undefined) runner.runs.delete(runId);
    if (isRejection(update)) runner.recordRejection(nowMs);
    if (this.carryOver.applyUpdate(update)) return;
    const state = this.findJobOfRun(runId, jobId, itemId);
    if (state === undefined) return this.dropRun(runner, runId, end);
    if (run === undefined) this.adoptRun(runner, state, update, nowMs);
    const events = update.events.map(([data, version]) => ({data, version}));
    const isFine = state.addEvents(itemId, runId, update.from, events, nowMs);
    if (!isFine) {
      this.dropRun(runner, runId, end);
      state.endRun(itemId, runId, 'stopped', nowMs, DEFAULT_MAX_FAILURES);
      return;
    }
    if (end === undefined) return;
    this.finishRun(runId, state.job.id, itemId, end, nowMs);
  }

  /** Finds the job whose item a run works on, or could work on. */
  private findJobOfRun(
    runId: string,
    jobId: string,
    itemId: string,
  ): JobState | undefined {
    for (const state of this.jobs.values()) {
      if (state.items.get(itemId)?.run?.runId === runId) return state;
    }
    const named = this.jobs.get(jobId);
    return named?.items.get(itemId)?.phase === 'waiting' ? named : undefined;
  }

  /** Goes on with a run that an earlier home has started. */
  private adoptRun(
    runner: RunnerState,
    state: JobState,
    update: RunUpdate,
    nowMs: number,
  ): void {
    const {runId, itemId, endpointId, firstEvent, from, end} = update;
    const item = state.items.get(itemId);
    if (item?.phase !== 'waiting' || from !== 0) return;
    item.events = [];
    const run = {runId, endpointId, startedAtMs: nowMs, firstEvent};
    state.startRun(itemId, run, nowMs);
    if (end === undefined) this.followRun(runner, state, item, runId, nowMs);
  }

  private dropRun(
    runner: RunnerState,
    runId: string,
    end: RunEnd | undefined,
  ): void {
    runner.runs.delete(runId);
    if (end === undefined) {
      this.stopRun(runId, runner.registration.endpointId);
    }
  }

  private stopRun(runId: string, endpointId: string): void {
    this.stops.set(runId, endpointId);
    this.runners.get(endpointId)?.runs.delete(runId);
  }

  private finishRun(
    runId: string,
    jobId: string,
    itemId: string,
    end: RunEnd,
    nowMs: number,
  ): void {
    if (this.carryOver.finishRun(runId)) return;
    const state = this.jobs.get(jobId);
    if (state === undefined) return;
    const bounds = this.options.findBounds(state.job);
    const maxFailures = bounds?.maxAttempts ?? DEFAULT_MAX_FAILURES;
    state.endRun(itemId, runId, end, nowMs, maxFailures);
  }

  /** Returns the orders that follow from the state. */
  plan(nowMs: number): RunnerOrders[] {
    this.expireJobs(nowMs);
    for (const {runId, endpointId} of this.carryOver.expireRuns(nowMs)) {
      this.stopRun(runId, endpointId);
    }
    this.stopStalled(nowMs);
    this.expireReservations(nowMs);
    const orders = new Map<string, RunnerOrders>();
    const open = (endpointId: string) => {
      const known = orders.get(endpointId);
      if (known !== undefined) return known;
      const created = {
        endpointId,
        starts: [],
        reasons: [],
        stops: [],
        loads: [],
      };
      orders.set(endpointId, created);
      return created;
    };
    const jobs = this.listOpenJobs().map(state => this.describeJob(state));
    const startItems = (ranks: readonly ItemRank[]) => {
      const view = {jobs, runners: this.describeRunners(nowMs), nowMs, ranks};
      for (const start of planStarts({...view, reserved: this.reserved})) {
        const {rank, remainingTokens, msPerToken} = start;
        open(start.endpointId).starts.push(this.startItem(start, nowMs));
        open(start.endpointId).reasons.push({
          rank,
          remainingTokens,
          msPerToken,
        });
      }
    };
    startItems(['carried', 'wanted']);
    for (const {run} of this.planMoveOrders(jobs, nowMs)) {
      open(run.endpointId).stops.push(run.runId);
    }
    startItems(['spare']);
    for (const [runId, endpointId] of this.stops) {
      open(endpointId).stops.push(runId);
    }
    this.stops.clear();
    for (const load of this.planLoadOrders(nowMs)) {
      open(load.endpointId).loads.push(load);
    }
    return [...orders.values()];
  }

  /** Gives up what is left of jobs whose time is over. */
  private expireJobs(nowMs: number): void {
    for (const state of this.listOpenJobs()) {
      const bounds = this.options.findBounds(state.job);
      const endsAtMs = state.acceptedAtMs + (bounds?.retentionMs ?? Infinity);
      if (nowMs < endsAtMs) continue;
      for (const {run} of state.items.values()) {
        if (run !== undefined) this.stopRun(run.runId, run.endpointId);
      }
      state.abandonRest();
    }
  }

  private stopStalled(nowMs: number): void {
    for (const runner of this.runners.values()) {
      for (const run of runner.runs.values()) {
        const sinceMs = run.progressAtMs ?? run.startedAtMs;
        if (nowMs - sinceMs < STALL_MS) continue;
        this.stopRun(run.runId, runner.registration.endpointId);
        this.finishRun(run.runId, run.jobId, run.itemId, 'broken', nowMs);
      }
    }
  }

  /** Runs that are broken off; their items wait once the agent confirms it. */
  private planMoveOrders(
    jobs: readonly JobView[],
    nowMs: number,
  ): PlannedMove[] {
    const views = this.describeRunners(nowMs);
    const moves = planMoves(jobs.flatMap(listMovableRuns), views);
    for (const {run, targetId} of moves) {
      const source = this.runners.get(run.endpointId);
      const followed = source?.runs.get(run.runId);
      if (followed === undefined) continue;
      followed.isStopping = true;
      this.reserved.set(followed.itemId, {
        endpointId: targetId,
        expiresAtMs: nowMs + RESERVATION_MS,
      });
    }
    return moves;
  }

  /** Drops places that were kept for items which did not come. */
  private expireReservations(nowMs: number): void {
    for (const [itemId, {expiresAtMs}] of this.reserved) {
      if (expiresAtMs <= nowMs) this.reserved.delete(itemId);
    }
  }

  private describeRunners(nowMs: number) {
    const models = [...this.newest.keys()];
    const reserved = [...this.reserved.values()];
    return [...this.runners.values()].map(runner =>
      runner.describe(
        models,
        reserved.filter(
          item => item.endpointId === runner.registration.endpointId,
        ).length,
        nowMs,
      ),
    );
  }

  private describeJob(state: JobState): JobView {
    const bounds = this.options.findBounds(state.job);
    const service = bounds?.service;
    const runners = [...this.runners.values()].filter(
      runner => runner.registration.service === service,
    );
    return {
      state,
      endpointIds: new Set(runners.map(item => item.registration.endpointId)),
      tokensPerEvent: runners[0]?.registration.tokensPerEvent ?? 1,
      runDeadlineMs: bounds?.runDeadlineMs ?? DEFAULT_RUN_DEADLINE_MS,
      spareVersion:
        state.job.minVersion + (this.versionLeads.get(state.job.model) ?? 0),
      isStopping: (runId, endpointId) =>
        this.runners.get(endpointId)?.runs.get(runId)?.isStopping ?? true,
    };
  }

  private startItem(start: PlannedStart, nowMs: number): RunOrder {
    const {job: state, item, endpointId} = start;
    const {job} = state;
    const {id, path, headers, body} = item.item;
    const runId = this.options.createRunId();
    const firstEvent = item.events.length;
    const run = {runId, endpointId, startedAtMs: nowMs, firstEvent};
    this.reserved.delete(id);
    state.startRun(id, run, nowMs);
    const runner = this.runners.get(endpointId);
    if (runner !== undefined) {
      this.followRun(runner, state, item, runId, nowMs);
    }
    const retentionMs = this.options.findBounds(job)?.retentionMs ?? Infinity;
    return {
      runId,
      jobId: job.id,
      itemId: id,
      endpointId,
      host: job.host,
      path,
      headers,
      body,
      prior: item.events.map(event => [event.data, event.version]),
      leftMs: Math.max(1, state.acceptedAtMs + retentionMs - nowMs),
      priority: ITEM_PRIORITY,
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
      countedAtMs: undefined,
      startedAtMs: nowMs,
      isStopping: false,
    });
  }

  private planLoadOrders(nowMs: number): LoadOrder[] {
    return planModelLoads({
      newest: this.newest,
      work: this.work,
      jobs: this.listOpenJobs(),
      runners: [...this.runners.values()],
      nowMs,
    }).map(load => ({...load, fencingNumber: this.options.epoch}));
  }
}

/** Tells whether an endpoint made nothing of a run. */
function isRejection(update: RunUpdate): boolean {
  const {end, events, from, firstEvent} = update;
  if (end === 'not-run') return true;
  return end === 'broken' && from + events.length === firstEvent;
}

/** Lists the runs of a job that could go on elsewhere. */
function listMovableRuns(job: JobView): MovableRun[] {
  const runs: MovableRun[] = [];
  for (const item of job.state.items.values()) {
    const {run} = item;
    if (item.phase !== 'running' || run === undefined) continue;
    if (job.isStopping(run.runId, run.endpointId)) continue;
    runs.push({
      runId: run.runId,
      endpointId: run.endpointId,
      remainingTokens: predictRemainingTokens(item, job.tokensPerEvent),
      canRunAt: runner => canRunItem(job, item, runner),
    });
  }
  return runs;
}
