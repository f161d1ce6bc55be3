/**
 * The home of batch jobs without its I/O: jobs, endpoints and runs. Everything
 * that arrives is applied to it, and `plan` returns the orders that follow.
 */
import type {BatchJob, JobResult, RunEnd, TextEvent} from './batch_types';
import type {LingeringRun} from './carry_over';
import {
  DEFAULT_POLICY,
  HomePlanner,
  RunnerOrders,
  SchedulingPolicy,
} from './home_planner';
import {BoundsFinder, JobBook} from './job_book';
import type {JobState} from './job_state';
import type {EngineState, RunUpdate} from './run_messages';
import {RunnerPool} from './runner_pool';
import type {RunnerRegistration, RunnerState} from './runner_state';

/** Time for agents to say what they have of the items of a new home, in ms:
 * they answer within 20 ms, and those that are gone never do. */
const HEAR_AGENTS_MS = 300;

/** What a scheduler is built from. */
export interface HomeSchedulerOptions {
  readonly findBounds: BoundsFinder;
  /** Epoch of the home, its fencing number at engines. */
  readonly epoch: number;
  /** Returns a name that no other run has. */
  readonly createRunId: () => string;
  readonly policy?: SchedulingPolicy;
}

/** Schedules the items of batch jobs. */
export class HomeScheduler {
  private readonly book: JobBook;
  private readonly pool = RunnerPool.create();
  private readonly planner: HomePlanner;
  /** Up to when a new home waits for what agents have. */
  private hearUntilMs = -Infinity;

  private constructor(options: HomeSchedulerOptions) {
    this.book = JobBook.create(options.findBounds);
    const {epoch, createRunId, policy = DEFAULT_POLICY} = options;
    const {book, pool} = this;
    this.planner = HomePlanner.create({
      book,
      pool,
      epoch,
      createRunId,
      policy,
    });
  }

  /** Builds a scheduler without jobs or endpoints. */
  static create(options: HomeSchedulerOptions): HomeScheduler {
    return new HomeScheduler(options);
  }

  /** Begins as a new home: items start once every agent has said what it has
   * of them, or after a while. */
  startTakeover(nowMs: number): void {
    this.hearUntilMs = nowMs + HEAR_AGENTS_MS;
  }

  /** Lists the jobs that have not ended. */
  listOpenJobs(): JobState[] {
    return this.book.list();
  }

  /** Takes up an accepted job with the records that its log has. */
  openJob(
    job: BatchJob,
    acceptedAtMs: number,
    records: ReadonlyArray<readonly JobResult[]> = [],
  ): JobState {
    const opened = this.book.open(job, acceptedAtMs, records);
    for (const run of opened.attached) this.attachRun(opened.state, run);
    for (const {runId, endpointId} of opened.useless) {
      this.pool.stopRun(runId, endpointId);
    }
    return opened.state;
  }

  /** Goes on with a run of an earlier job. */
  private attachRun(state: JobState, run: LingeringRun): void {
    const {runId, endpointId, itemId} = run;
    const followed = this.pool.find(endpointId)?.runs.get(runId);
    const startedAtMs = followed?.startedAtMs ?? 0;
    const itemRun = {runId, endpointId, startedAtMs, firstEvent: 0};
    state.startRun(itemId, itemRun, startedAtMs);
    if (followed !== undefined) followed.jobId = state.job.id;
  }

  /** Takes up a job that has ended, for its readers and for later jobs. */
  restoreEnded(
    job: BatchJob,
    acceptedAtMs: number,
    records: ReadonlyArray<readonly JobResult[]>,
  ): JobState {
    return this.book.restoreEnded(job, acceptedAtMs, records);
  }

  /** Notes the newest version that a trainer has named. */
  setNewest(model: string, version: number, nowMs: number): void {
    this.book.setNewest(model, version, nowMs);
  }

  /** Ends a job: nothing of it starts from now on. */
  endJob(id: string, nowMs: number): void {
    this.book.end(id, nowMs);
  }

  /** Sets the endpoints that are registered. */
  setRunners(
    registrations: readonly RunnerRegistration[],
    nowMs: number,
  ): void {
    const ids = new Set(registrations.map(item => item.endpointId));
    for (const {registration} of this.pool.list()) {
      const {endpointId} = registration;
      if (ids.has(endpointId)) continue;
      this.loseRunner(endpointId, nowMs);
      this.pool.remove(endpointId);
    }
    for (const registration of registrations) this.pool.put(registration);
  }

  /** Notes that an agent does not answer: its runs are tried elsewhere. */
  loseRunner(endpointId: string, nowMs: number): void {
    const runner = this.pool.find(endpointId);
    if (runner === undefined) return;
    runner.isLinked = false;
    runner.pendingLoad = undefined;
    for (const run of runner.runs.values()) {
      this.book.finishRun(run.runId, run.jobId, run.itemId, 'stopped', nowMs);
    }
    runner.runs.clear();
  }

  /** Notes that an order to start a run may not have reached its agent. */
  abandonRun(runId: string, nowMs: number): void {
    const found = this.pool.findRun(runId);
    if (found === undefined) return;
    const {jobId, itemId} = found.run;
    this.pool.stopRun(runId, found.endpointId);
    this.book.finishRun(runId, jobId, itemId, 'not-run', nowMs);
  }

  /** Takes what an agent has said. */
  applySync(
    endpointId: string,
    updates: readonly RunUpdate[],
    engine: EngineState,
    nowMs: number,
  ): void {
    const runner = this.pool.find(endpointId);
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
    const isFollowed = runner.runs.has(runId);
    if (end !== undefined) runner.runs.delete(runId);
    if (isRejection(update)) runner.recordRejection(nowMs);
    if (this.book.carryOver.applyUpdate(update)) return;
    const events = update.events.map(([data, version]) => ({data, version}));
    this.replaceRun(update, events);
    const state = this.book.findJobOfRun(runId, jobId, itemId);
    if (state === undefined) return this.dropRun(runner, runId, end);
    if (!isFollowed) adoptRun(runner, state, update, nowMs);
    const isFine = state.addEvents(itemId, runId, update.from, events, nowMs);
    if (!isFine) this.dropRun(runner, runId, end);
    if (!isFine || end !== undefined) {
      const outcome = isFine && end !== undefined ? end : 'stopped';
      this.book.finishRun(runId, state.job.id, itemId, outcome, nowMs);
    }
  }

  /** Lets a run that an agent tells of anew have its item, where another run
   * was started meanwhile and is behind. */
  private replaceRun(update: RunUpdate, events: readonly TextEvent[]): void {
    const {runId, jobId, itemId, from, end} = update;
    if (from !== 0 || (end !== undefined && end !== 'completed')) return;
    const state = this.book.find(jobId);
    if (state?.items.get(itemId)?.run?.runId === runId) return;
    const run = state?.releaseRun(itemId, events, end === 'completed');
    if (run !== undefined) this.pool.stopRun(run.runId, run.endpointId);
  }

  private dropRun(
    runner: RunnerState,
    runId: string,
    end: RunEnd | undefined,
  ): void {
    const {endpointId} = runner.registration;
    if (end === undefined) this.pool.stopRun(runId, endpointId);
  }

  /** Returns the orders that follow from the state. */
  plan(nowMs: number): RunnerOrders[] {
    const mayStart = nowMs >= this.hearUntilMs || this.pool.isHeard();
    return this.planner.plan(nowMs, mayStart);
  }
}

/** Goes on with a run that an earlier home has started. */
function adoptRun(
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
  if (end === undefined) runner.follow(state.job.id, item, runId, nowMs);
}

/** Tells whether an endpoint made nothing of a run. */
function isRejection(update: RunUpdate): boolean {
  const {end, events, from, firstEvent} = update;
  if (end === 'not-run') return true;
  return end === 'broken' && from + events.length === firstEvent;
}
