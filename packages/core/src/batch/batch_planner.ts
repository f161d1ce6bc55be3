/**
 * Plans the coordinator's orders to agents: runs to stop, items to start, weight
 * versions to load. Items that trainers wait for start before runs are moved, and
 * runs are moved before surplus items start, so that free slots are used where
 * they save most time.
 */
import {ItemState, clearText} from './item_state';
import {AVOID_FAILED_MS, JobState} from './job_state';
import type {JobRegistry} from './job_registry';
import {predictRemainingTokens} from './length_forecast';
import {planModelLoads} from './model_loads';
import {MovableRun, planMoves} from './move_plan';
import {EndpointOrders, OrderCollector} from './endpoint_orders';
import {RunStarter} from './run_starter';
import type {BatchEndpoints} from './batch_endpoints';
import {
  PlannedScoring,
  ScoringPolicy,
  ScoringTargetFinder,
  planScoring,
} from './scoring_plan';
import {Leftover, LeftoverView, planLeftovers} from './leftover_plan';
import {planRestarts} from './restart_plan';
import {ScarcityPolicy, planScarcity} from './scarcity_plan';
import {ScarcityTracker} from './scarcity_tracker';
import {isOrphaned} from './orphaned_texts';
import {ItemRank, JobView, canRunItem, planStarts} from './start_plan';

/** Time without an event after which a run is stopped, to be retried at another
 * endpoint, in ms. */
const STALL_MS = 2_500;
/** Time for which a slot is reserved for an item that moves, in ms: the agent of
 * the previous endpoint confirms the stop within a few round trips. */
const RESERVATION_MS = 400;
/** Time from acceptance to the deadline of the last result when the route sets
 * none, in ms. */
const DEFAULT_RUN_DEADLINE_MS = 60_000;

/** Replaceable decisions of a planner: tests compare them with simpler ones. */
export interface SchedulingPolicy {
  readonly planStarts: typeof planStarts;
  readonly planMoves: typeof planMoves;
  readonly planRestarts: typeof planRestarts;
  readonly planLeftovers: typeof planLeftovers;
  readonly planScoring: ScoringPolicy;
  /** Without it, capacity is never taken as short. */
  readonly planScarcity?: ScarcityPolicy;
}

/** The policy used in production. */
export const DEFAULT_POLICY: SchedulingPolicy = {
  planStarts,
  planMoves,
  planRestarts,
  planLeftovers,
  planScoring,
  planScarcity,
};

/** The policy of deployments that do not plan for a shortage of capacity. */
export const POLICY_WITHOUT_SCARCITY: SchedulingPolicy = {
  ...DEFAULT_POLICY,
  planScarcity: undefined,
};

export interface BatchPlannerOptions {
  readonly jobs: JobRegistry;
  readonly endpoints: BatchEndpoints;
  /** Epoch of the coordinator; its fencing number at engines. */
  readonly epoch: number;
  /** Returns a unique run ID. */
  readonly createRunId: () => string;
  readonly policy: SchedulingPolicy;
}

/** Plans the orders of a coordinator. */
export class BatchPlanner {
  readonly scarcity: ScarcityTracker;
  private readonly starter: RunStarter;

  private constructor(private readonly options: BatchPlannerOptions) {
    this.scarcity = ScarcityTracker.create(options.policy.planScarcity);
    this.starter = RunStarter.create(options);
  }

  static create(options: BatchPlannerOptions): BatchPlanner {
    return new BatchPlanner(options);
  }

  /** Returns the orders to send now and records them in the state. No items start
   * while `mayStart` is false. */
  plan(nowMs: number, mayStart: boolean): EndpointOrders[] {
    const {jobs, endpoints} = this.options;
    this.expireJobs(nowMs);
    for (const {runId, endpointId} of jobs.carryOver.expireRuns(nowMs)) {
      endpoints.stopRun(runId, endpointId);
    }
    this.stopStalledRuns(nowMs);
    endpoints.expireReservations(nowMs);
    const orders = OrderCollector.create();
    for (const state of jobs.list()) state.expireAvoidedEndpoints(nowMs);
    const views = jobs.list().map(state => this.describeJob(state));
    if (mayStart) abandonOrphanedTexts(views, nowMs);
    this.scarcity.update(views, () => this.describeEndpoints(nowMs), nowMs);
    if (mayStart) this.startItems(views, ['carried', 'wanted'], orders, nowMs);
    this.moveRuns(views, orders, nowMs);
    this.restartRuns(views, orders, nowMs);
    if (mayStart) {
      this.startItems(views, ['spare'], orders, nowMs);
      this.startLeftovers(orders, nowMs);
    }
    for (const [runId, endpointId] of endpoints.takeStops()) {
      orders.get(endpointId).stops.push(runId);
    }
    this.loadVersions(orders, nowMs);
    return orders.list();
  }

  /** Returns the scoring calls to start now and records them in the state. */
  planScoring(
    findTarget: ScoringTargetFinder,
    inProgress: ReadonlyMap<string, number>,
    nowMs: number,
  ): PlannedScoring[] {
    const {jobs, policy} = this.options;
    const views = jobs
      .list()
      .filter(({items}) => [...items.values()].some(({scoring}) => scoring))
      .map(state => this.describeJob(state));
    if (views.length === 0) return [];
    const view = {jobs: views, findTarget, inProgress, nowMs};
    const planned = policy.planScoring(view);
    for (const {job, item} of planned) {
      const scoring = job.items.get(item.id)?.scoring;
      if (scoring !== undefined) scoring.isCalled = true;
    }
    return planned;
  }

  /** Abandons the unfinished items of jobs whose retention time is over. */
  private expireJobs(nowMs: number): void {
    const {jobs, endpoints} = this.options;
    for (const state of jobs.list()) {
      const bounds = jobs.findBounds(state.job);
      const endsAtMs = state.acceptedAtMs + (bounds?.retentionMs ?? Infinity);
      if (nowMs < endsAtMs) continue;
      for (const {run} of state.items.values()) {
        if (run !== undefined) endpoints.stopRun(run.runId, run.endpointId);
      }
      state.abandonUnfinished(nowMs);
    }
  }

  private stopStalledRuns(nowMs: number): void {
    const {jobs, endpoints} = this.options;
    for (const endpoint of endpoints.list()) {
      for (const run of endpoint.runs.values()) {
        const sinceMs = run.lastEventAtMs ?? run.startedAtMs;
        if (nowMs - sinceMs < STALL_MS) continue;
        const {endpointId} = endpoint.registration;
        const {runId, jobId, itemId} = run;
        const item = jobs.find(jobId)?.items.get(itemId);
        item?.avoidedEndpoints.set(endpointId, nowMs + AVOID_FAILED_MS);
        endpoints.stopRun(runId, endpointId);
        jobs.finishRun(runId, jobId, itemId, 'stopped', nowMs);
      }
    }
  }

  /** Orders the stops of runs to move. Their items become waiting once the agent
   * confirms the stop. */
  private moveRuns(
    jobs: readonly JobView[],
    orders: OrderCollector,
    nowMs: number,
  ): void {
    const views = this.describeEndpoints(nowMs);
    const runs = jobs.flatMap(listMovableRuns);
    for (const {run, targetId} of this.options.policy.planMoves(runs, views)) {
      this.stopToMove(run, targetId, orders, nowMs);
    }
  }

  /** Orders the stops of runs whose items begin again with newer weights. */
  private restartRuns(
    jobs: readonly JobView[],
    orders: OrderCollector,
    nowMs: number,
  ): void {
    const views = this.describeEndpoints(nowMs);
    const restarts = this.options.policy.planRestarts(jobs, views);
    for (const {item, targetId} of restarts) {
      if (item.run === undefined) continue;
      this.stopToMove(item.run, targetId, orders, nowMs);
    }
  }

  /** Orders the stop of a run and reserves a slot for its item. */
  private stopToMove(
    {runId, endpointId}: {runId: string; endpointId: string},
    targetId: string,
    orders: OrderCollector,
    nowMs: number,
  ): void {
    const {endpoints} = this.options;
    const tracked = endpoints.find(endpointId)?.runs.get(runId);
    if (tracked === undefined) return;
    tracked.isStopping = true;
    const expiresAtMs = nowMs + RESERVATION_MS;
    const reservation = {endpointId: targetId, expiresAtMs};
    endpoints.reserveSlot(tracked.itemId, reservation);
    orders.get(endpointId).stops.push(runId);
  }

  private startItems(
    jobs: readonly JobView[],
    ranks: readonly ItemRank[],
    orders: OrderCollector,
    nowMs: number,
  ): void {
    const endpoints = this.describeEndpoints(nowMs);
    const reservations = this.options.endpoints.getReservations();
    const {policy} = this.options;
    const {order} = this.scarcity;
    const view = {jobs, endpoints, nowMs, ranks, reservations, order};
    const starts = policy.planStarts(view);
    for (const start of starts) {
      const {rank, remainingTokens, msPerToken, endpointId, item} = start;
      const endpointOrders = orders.get(endpointId);
      const textSoftware = item.events[0]?.software;
      const order = this.starter.startItem(start, nowMs);
      const {software} = order;
      const {group} = item.item;
      const reason = {group, rank, remainingTokens, msPerToken, software};
      endpointOrders.starts.push(order);
      endpointOrders.reasons.push({...reason, textSoftware});
    }
  }

  private describeEndpoints(nowMs: number) {
    const models = [...this.options.jobs.getNewestVersions().keys()];
    return this.options.endpoints.describe(models, nowMs);
  }

  private describeJob(state: JobState): JobView {
    const {jobs, endpoints} = this.options;
    const bounds = jobs.findBounds(state.job);
    const serving = endpoints
      .list()
      .filter(({registration}) => registration.service === bounds?.service);
    const available = serving
      .filter(item => item.isAvailable())
      .map(item => ({
        software: item.registration.software,
        weights: item.getVersion(state.job.model),
      }));
    return {
      state,
      endpointIds: new Set(serving.map(item => item.registration.endpointId)),
      available,
      tokensPerEvent: serving[0]?.registration.tokensPerEvent ?? 1,
      runDeadlineMs: bounds?.runDeadlineMs ?? DEFAULT_RUN_DEADLINE_MS,
      minSurplusVersion: jobs.computeMinSurplusVersion(state.job),
      canReuseTexts: jobs.canReuseTexts(state.job),
      isStopping: (runId, endpointId) =>
        endpoints.find(endpointId)?.runs.get(runId)?.isStopping ?? true,
    };
  }

  /** Starts texts that the next job of their model will probably ask for. */
  private startLeftovers(orders: OrderCollector, nowMs: number): void {
    const {jobs, policy} = this.options;
    const leftovers = jobs.listLeftovers(nowMs);
    if (leftovers.length === 0) return;
    const views = leftovers.map(leftover => this.describeLeftover(leftover));
    const endpoints = this.describeEndpoints(nowMs);
    for (const start of policy.planLeftovers(views, endpoints)) {
      const order = this.starter.startLeftover(start, nowMs);
      const {remainingTokens, msPerToken} = start;
      const {software} = order;
      const {group} = start.leftover.item.item;
      const reason = {group, remainingTokens, msPerToken, software};
      const {starts, reasons} = orders.get(start.endpointId);
      starts.push(order);
      reasons.push({...reason, rank: 'leftover', textSoftware: undefined});
    }
  }

  private describeLeftover(leftover: Leftover): LeftoverView {
    const {jobs, endpoints} = this.options;
    const bounds = jobs.findBounds(leftover.job);
    const serving = endpoints
      .list()
      .filter(({registration}) => registration.service === bounds?.service);
    return {
      leftover,
      endpointIds: new Set(serving.map(item => item.registration.endpointId)),
      tokensPerEvent: bounds?.tokensPerEvent ?? 1,
      minVersion: jobs.computeMinSurplusVersion(leftover.job),
    };
  }

  private loadVersions(orders: OrderCollector, nowMs: number): void {
    const {jobs, endpoints, epoch} = this.options;
    const loads = planModelLoads({
      newestVersions: jobs.getNewestVersions(),
      workByModel: jobs.getWorkByModel(),
      jobs: jobs.list(),
      endpoints: endpoints.list(),
      nowMs,
    });
    const singleVersionJobs = jobs
      .list()
      .filter(state => state.job.isSingleVersion);
    const models = new Set(singleVersionJobs.map(state => state.job.model));
    for (const load of loads) {
      const finishesRuns = models.has(load.model);
      const order = {...load, fencingNumber: epoch, finishesRuns};
      orders.get(load.endpointId).loads.push(order);
    }
  }
}

/** Clears the texts that no engine can continue, so that they begin again. */
function abandonOrphanedTexts(jobs: readonly JobView[], nowMs: number): void {
  for (const job of jobs) {
    for (const item of job.state.items.values()) {
      if (isOrphaned(job, item, nowMs)) clearText(item);
    }
  }
}

/** Lists the active runs of a job that are not being stopped. */
function listMovableRuns(job: JobView): MovableRun[] {
  const runs: MovableRun[] = [];
  for (const item of job.state.items.values()) {
    const {run} = item;
    if (item.phase !== 'running' || run === undefined) continue;
    if (job.isStopping(run.runId, run.endpointId)) continue;
    runs.push(createMovableRun(job, item, run.runId, run.endpointId));
  }
  return runs;
}

function createMovableRun(
  job: JobView,
  item: ItemState,
  runId: string,
  endpointId: string,
): MovableRun {
  return {
    runId,
    endpointId,
    remainingTokens: predictRemainingTokens(item, job.tokensPerEvent),
    canRunAt: endpoint => canRunItem(job, item, endpoint),
  };
}
