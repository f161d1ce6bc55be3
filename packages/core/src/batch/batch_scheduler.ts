/**
 * The home of batch jobs without its I/O: jobs, endpoints and runs. Everything
 * that arrives is applied to it, and `plan` returns the orders that follow.
 */
import type {BatchJob, JobResult, RunEnd, TextEvent} from './batch_types';
import type {DetachedRun} from './carry_over';
import {
  DEFAULT_POLICY,
  BatchPlanner,
  EndpointOrders,
  SchedulingPolicy,
} from './batch_planner';
import {BoundsFinder, JobRegistry} from './job_registry';
import type {JobState} from './job_state';
import type {EngineState, RunUpdate} from './run_messages';
import {BatchEndpoints} from './batch_endpoints';
import type {BatchEndpointRegistration, BatchEndpoint} from './batch_endpoint';

/** Time for agents to say what they have of the items of a new home, in ms:
 * they answer within 20 ms, and those that are gone never do. */
const AGENT_REPORT_TIMEOUT_MS = 300;

/** What a scheduler is built from. */
export interface BatchSchedulerOptions {
  readonly findBounds: BoundsFinder;
  /** Epoch of the home, its fencing number at engines. */
  readonly epoch: number;
  /** Returns a name that no other run has. */
  readonly createRunId: () => string;
  readonly policy?: SchedulingPolicy;
}

/** Schedules the items of batch jobs. */
export class BatchScheduler {
  private readonly jobs: JobRegistry;
  private readonly endpoints = BatchEndpoints.create();
  private readonly planner: BatchPlanner;
  /** Up to when a new home waits for what agents have. */
  private awaitReportsUntilMs = -Infinity;

  private constructor(options: BatchSchedulerOptions) {
    this.jobs = JobRegistry.create(options.findBounds);
    const {epoch, createRunId, policy = DEFAULT_POLICY} = options;
    const {jobs, endpoints} = this;
    this.planner = BatchPlanner.create({
      jobs,
      endpoints,
      epoch,
      createRunId,
      policy,
    });
  }

  /** Builds a scheduler without jobs or endpoints. */
  static create(options: BatchSchedulerOptions): BatchScheduler {
    return new BatchScheduler(options);
  }

  /** Begins as a new home: items start once every agent has said what it has
   * of them, or after a while. */
  startTakeover(nowMs: number): void {
    this.awaitReportsUntilMs = nowMs + AGENT_REPORT_TIMEOUT_MS;
  }

  /** Lists the jobs that have not ended. */
  listOpenJobs(): JobState[] {
    return this.jobs.list();
  }

  /** Takes up an accepted job with the records that its log has. */
  openJob(
    job: BatchJob,
    acceptedAtMs: number,
    records: ReadonlyArray<readonly JobResult[]> = [],
  ): JobState {
    const opened = this.jobs.open(job, acceptedAtMs, records);
    for (const run of opened.reusable) this.reuseRun(opened.state, run);
    for (const {runId, endpointId} of opened.obsolete) {
      this.endpoints.stopRun(runId, endpointId);
    }
    return opened.state;
  }

  /** Goes on with a run of an earlier job. */
  private reuseRun(state: JobState, run: DetachedRun): void {
    const {runId, endpointId, itemId} = run;
    const tracked = this.endpoints.find(endpointId)?.runs.get(runId);
    const startedAtMs = tracked?.startedAtMs ?? 0;
    const itemRun = {runId, endpointId, startedAtMs, firstEvent: 0};
    state.startRun(itemId, itemRun, startedAtMs);
    if (tracked !== undefined) tracked.jobId = state.job.id;
  }

  /** Takes up a job that has ended, for its readers and for later jobs. */
  restoreEnded(
    job: BatchJob,
    acceptedAtMs: number,
    records: ReadonlyArray<readonly JobResult[]>,
  ): JobState {
    return this.jobs.restoreEnded(job, acceptedAtMs, records);
  }

  /** Notes the newest version that a trainer has named. */
  setNewestVersion(model: string, version: number, nowMs: number): void {
    this.jobs.setNewestVersion(model, version, nowMs);
  }

  /** Ends a job: nothing of it starts from now on. */
  endJob(id: string, nowMs: number): void {
    this.jobs.end(id, nowMs);
  }

  /** Sets the endpoints that are registered. */
  setEndpoints(
    registrations: readonly BatchEndpointRegistration[],
    nowMs: number,
  ): void {
    const ids = new Set(registrations.map(item => item.endpointId));
    for (const {registration} of this.endpoints.list()) {
      const {endpointId} = registration;
      if (ids.has(endpointId)) continue;
      this.loseEndpoint(endpointId, nowMs);
      this.endpoints.remove(endpointId);
    }
    for (const registration of registrations) {
      this.endpoints.register(registration);
    }
  }

  /** Notes that an agent does not answer: its runs are tried elsewhere. */
  loseEndpoint(endpointId: string, nowMs: number): void {
    const endpoint = this.endpoints.find(endpointId);
    if (endpoint === undefined) return;
    endpoint.isAgentResponding = false;
    endpoint.pendingLoad = undefined;
    for (const run of endpoint.runs.values()) {
      this.jobs.finishRun(run.runId, run.jobId, run.itemId, 'stopped', nowMs);
    }
    endpoint.runs.clear();
  }

  /** Notes that an order to start a run may not have reached its agent. */
  abandonRun(runId: string, nowMs: number): void {
    const tracked = this.endpoints.findRun(runId);
    if (tracked === undefined) return;
    const {jobId, itemId} = tracked.run;
    this.endpoints.stopRun(runId, tracked.endpointId);
    this.jobs.finishRun(runId, jobId, itemId, 'not-run', nowMs);
  }

  /** Takes what an agent has said. */
  applySync(
    endpointId: string,
    updates: readonly RunUpdate[],
    engine: EngineState,
    nowMs: number,
  ): void {
    const endpoint = this.endpoints.find(endpointId);
    if (endpoint === undefined) return;
    endpoint.isAgentResponding = true;
    endpoint.applyEngine(engine, nowMs);
    const counts = new Map<string, number>();
    for (const {runId, events} of updates) counts.set(runId, events.length);
    endpoint.measureTokenTime(counts, nowMs);
    for (const update of updates) this.applyUpdate(endpoint, update, nowMs);
  }

  private applyUpdate(
    endpoint: BatchEndpoint,
    update: RunUpdate,
    nowMs: number,
  ): void {
    const {runId, jobId, itemId, end} = update;
    const isTracked = endpoint.runs.has(runId);
    if (end !== undefined) endpoint.runs.delete(runId);
    if (isRejection(update)) endpoint.recordRejection(nowMs);
    if (this.jobs.carryOver.applyUpdate(update)) return;
    const events = update.events.map(([data, version]) => ({data, version}));
    this.replaceRun(update, events);
    const state = this.jobs.findJobOfRun(runId, jobId, itemId);
    if (state === undefined) return this.stopActiveRun(endpoint, runId, end);
    if (!isTracked) adoptRun(endpoint, state, update, nowMs);
    const isAccepted = state.addEvents(
      itemId,
      runId,
      update.from,
      events,
      nowMs,
    );
    if (!isAccepted) this.stopActiveRun(endpoint, runId, end);
    if (!isAccepted || end !== undefined) {
      const outcome = isAccepted && end !== undefined ? end : 'stopped';
      this.jobs.finishRun(runId, state.job.id, itemId, outcome, nowMs);
    }
  }

  /** Lets a run that an agent tells of anew have its item, where another run
   * was started meanwhile and is behind. */
  private replaceRun(update: RunUpdate, events: readonly TextEvent[]): void {
    const {runId, jobId, itemId, from, end} = update;
    if (from !== 0 || (end !== undefined && end !== 'completed')) return;
    const state = this.jobs.find(jobId);
    if (state?.items.get(itemId)?.run?.runId === runId) return;
    const run = state?.releaseRun(itemId, events, end === 'completed');
    if (run !== undefined) this.endpoints.stopRun(run.runId, run.endpointId);
  }

  private stopActiveRun(
    endpoint: BatchEndpoint,
    runId: string,
    end: RunEnd | undefined,
  ): void {
    const {endpointId} = endpoint.registration;
    if (end === undefined) this.endpoints.stopRun(runId, endpointId);
  }

  /** Returns the orders that follow from the state. */
  plan(nowMs: number): EndpointOrders[] {
    const mayStart =
      nowMs >= this.awaitReportsUntilMs || this.endpoints.hasAllReports();
    return this.planner.plan(nowMs, mayStart);
  }
}

/** Goes on with a run that an earlier home has started. */
function adoptRun(
  endpoint: BatchEndpoint,
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
  if (end === undefined) endpoint.trackRun(state.job.id, item, runId, nowMs);
}

/** Tells whether an endpoint made nothing of a run. */
function isRejection(update: RunUpdate): boolean {
  const {end, events, from, firstEvent} = update;
  if (end === 'not-run') return true;
  return end === 'broken' && from + events.length === firstEvent;
}
