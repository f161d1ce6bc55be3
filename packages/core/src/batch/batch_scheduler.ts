/**
 * State and decisions of the coordinator of batch jobs (`home` on the wire and in
 * settings), without I/O. Callers apply everything that arrives, and `plan`
 * returns the orders to send.
 */
import type {BatchJob, JobResult, RunEnd, TextEvent} from './batch_types';
import type {DetachedRun} from './carry_over';
import {DEFAULT_POLICY, BatchPlanner, SchedulingPolicy} from './batch_planner';
import type {EndpointOrders} from './endpoint_orders';
import {BoundsFinder, JobRegistry, RunEndListener} from './job_registry';
import {ScoringOutcome, applyScoringOutcome} from './item_scoring';
import type {ItemState} from './item_state';
import type {JobState} from './job_state';
import {EngineState, RunUpdate, decodeEvents} from './run_messages';
import {BatchEndpoints} from './batch_endpoints';
import type {ScarcityChange} from './scarcity_tracker';
import {
  PlannedScoring,
  ScoringTargetFinder,
  takeUnroutable,
} from './scoring_plan';
import type {BatchEndpointRegistration, BatchEndpoint} from './batch_endpoint';

/** Time for which a new coordinator waits for the agents' reports on their runs,
 * in ms: running agents answer within 20 ms, and others never do. */
const AGENT_REPORT_TIMEOUT_MS = 300;

export interface BatchSchedulerOptions {
  readonly findBounds: BoundsFinder;
  /** Epoch of the coordinator; its fencing number at engines. */
  readonly epoch: number;
  /** Returns a unique run ID. */
  readonly createRunId: () => string;
  readonly policy?: SchedulingPolicy;
  readonly onRunEnded?: RunEndListener;
}

/** Schedules the items of batch jobs. */
export class BatchScheduler {
  private readonly jobs: JobRegistry;
  private readonly endpoints = BatchEndpoints.create();
  private readonly planner: BatchPlanner;
  /** Time until which a new coordinator waits for reports of agents. */
  private awaitReportsUntilMs = -Infinity;

  private constructor(options: BatchSchedulerOptions) {
    this.jobs = JobRegistry.create(options.findBounds, options.onRunEnded);
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

  static create(options: BatchSchedulerOptions): BatchScheduler {
    return new BatchScheduler(options);
  }

  /** Begins the takeover by a new coordinator: items start only once every agent
   * has reported its runs, or after a timeout. */
  startTakeover(nowMs: number): void {
    this.awaitReportsUntilMs = nowMs + AGENT_REPORT_TIMEOUT_MS;
  }

  /** Lists the jobs that have not ended. */
  listOpenJobs(): JobState[] {
    return this.jobs.list();
  }

  /** Opens an accepted job, given the records of its results log, and reuses saved
   * state and detached runs of earlier jobs. Returns the existing state when the
   * job is open already. */
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

  /** Assigns a detached run of an earlier job to an item of a new one. */
  private reuseRun(state: JobState, run: DetachedRun): void {
    const {runId, endpointId, itemId} = run;
    const tracked = this.endpoints.find(endpointId)?.runs.get(runId);
    const startedAtMs = tracked?.startedAtMs ?? 0;
    const itemRun = {runId, endpointId, startedAtMs, firstEvent: 0};
    state.startRun(itemId, itemRun, startedAtMs);
    const item = state.items.get(itemId);
    if (tracked === undefined || item === undefined) return;
    tracked.jobId = state.job.id;
    tracked.item = item;
  }

  /** Restores an ended job from its records, for readers of its log and for later
   * jobs. */
  restoreEnded(
    job: BatchJob,
    acceptedAtMs: number,
    records: ReadonlyArray<readonly JobResult[]>,
  ): JobState {
    return this.jobs.restoreEnded(job, acceptedAtMs, records);
  }

  /** Records a version that a trainer has announced; older ones are ignored. */
  setNewestVersion(model: string, version: number, nowMs: number): void {
    this.jobs.setNewestVersion(model, version, nowMs);
  }

  /** Ends a job: its waiting items never start, and its runs become detached. */
  endJob(id: string, nowMs: number): void {
    this.jobs.end(id, nowMs);
  }

  /** Replaces the set of registered endpoints. */
  setEndpoints(
    registrations: readonly BatchEndpointRegistration[],
    nowMs: number,
  ): void {
    const ids = new Set(registrations.map(({endpointId}) => endpointId));
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

  /** Records that the agent of an endpoint does not answer: the items of its runs
   * are retried at other endpoints. */
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

  /** Records that an order to start a run may not have reached its agent: the run
   * is stopped and its item retried. */
  abandonRun(runId: string, nowMs: number): void {
    const tracked = this.endpoints.findRun(runId);
    if (tracked === undefined) return;
    const {jobId, itemId} = tracked.run;
    this.endpoints.stopRun(runId, tracked.endpointId);
    this.jobs.finishRun(runId, jobId, itemId, 'not-run', nowMs);
  }

  /** Stops a run of which an update can't be read, and lets its item be retried. */
  rejectRun(endpointId: string, runId: string, nowMs: number): void {
    const run = this.endpoints.find(endpointId)?.runs.get(runId);
    const {jobId = '', itemId = ''} = run ?? {};
    this.endpoints.stopRun(runId, endpointId);
    this.jobs.finishRun(runId, jobId, itemId, 'broken', nowMs);
  }

  /** Applies the answer of an agent: updates of its runs and the state of its
   * engine. */
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
    const events = decodeEvents(update.events, update.software);
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

  /** Gives the item to a run that an agent reports from its first event on, if a
   * later run of the item is behind it; that run is stopped. */
  private replaceRun(update: RunUpdate, events: readonly TextEvent[]): void {
    const {runId, jobId, itemId, from, end} = update;
    if (from !== 0 || (end !== undefined && end !== 'completed')) return;
    const state = this.jobs.find(jobId);
    if (state?.items.get(itemId)?.run?.runId === runId) return;
    const run = state?.releaseRun(itemId, events, end === 'completed');
    if (run !== undefined) this.endpoints.stopRun(run.runId, run.endpointId);
  }

  /** Stops a run unless its update reported its end. */
  private stopActiveRun(
    endpoint: BatchEndpoint,
    runId: string,
    end: RunEnd | undefined,
  ): void {
    const {endpointId} = endpoint.registration;
    if (end === undefined) this.endpoints.stopRun(runId, endpointId);
  }

  /** Returns the scoring calls to start now and records them in the state;
   * `inProgress` counts the calls in progress by key of their target. */
  planScoring(
    findTarget: ScoringTargetFinder,
    inProgress: ReadonlyMap<string, number>,
    nowMs: number,
  ): PlannedScoring[] {
    return this.planner.planScoring(findTarget, inProgress, nowMs);
  }

  /** Lists the items whose scoring call cannot be sent, once each. */
  takeUnroutable(findTarget: ScoringTargetFinder) {
    return takeUnroutable(this.jobs.list(), findTarget);
  }

  /**
   * Applies the outcome of a scoring call, after `maxFailures` failures of which
   * the item is dead. Returns the item's state; undefined when the item does not
   * wait for the outcome any more.
   */
  applyScoring(
    jobId: string,
    itemId: string,
    outcome: ScoringOutcome,
    nowMs: number,
    maxFailures: number,
  ): ItemState | undefined {
    const item = this.jobs.find(jobId)?.items.get(itemId);
    if (item === undefined) return undefined;
    const isApplied = applyScoringOutcome(item, outcome, nowMs, maxFailures);
    return isApplied ? item : undefined;
  }

  /** Returns the latest begin or end of scarcity once, to be logged. */
  takeScarcityChange(): ScarcityChange | undefined {
    return this.planner.scarcity.takeChange();
  }

  /** Returns the orders to send now and records them in the state. */
  plan(nowMs: number): EndpointOrders[] {
    const mayStart =
      nowMs >= this.awaitReportsUntilMs || this.endpoints.hasAllReports();
    return this.planner.plan(nowMs, mayStart);
  }
}

/** Tracks a run that an earlier coordinator started, if its item still waits. */
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

/** Returns whether an endpoint did not start a run or generated no event in it. */
function isRejection(update: RunUpdate): boolean {
  const {end, events, from, firstEvent} = update;
  if (end === 'not-run') return true;
  return end === 'broken' && from + events.length === firstEvent;
}
