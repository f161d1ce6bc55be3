/**
 * Plans what the agents of a home do next: runs to break off, items to start,
 * versions to load. Starts of items that trainers wait for come before moves,
 * and moves before starts of spare items, so that a free place goes to what
 * gains most by it.
 */
import {AVOID_MS, ItemState, JobState} from './job_state';
import type {JobBook} from './job_book';
import {predictRemainingTokens} from './length_forecast';
import {planModelLoads} from './model_loads';
import {MovableRun, planMoves} from './move_plan';
import type {LoadOrder, RunOrder} from './run_messages';
import type {RunnerPool} from './runner_pool';
import {
  ItemRank,
  JobView,
  PlannedStart,
  canRunItem,
  planStarts,
} from './start_plan';

/** Silence of a run after which it is tried elsewhere, in ms. */
const STALL_MS = 2_500;
/** Time for which a place is kept for an item that moves, in ms: the agent of
 * the endpoint before confirms within a few round trips. */
const RESERVATION_MS = 400;
/** Time to the last result where no route states it, in ms. */
const DEFAULT_RUN_DEADLINE_MS = 60_000;
/** Rank of items at an endpoint, in the middle of its scale. */
const ITEM_PRIORITY = 5;

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

/** The decisions of a planner; benchmarks put simpler ones in their place. */
export interface SchedulingPolicy {
  readonly planStarts: typeof planStarts;
  readonly planMoves: typeof planMoves;
}

/** The policy of the product. */
export const DEFAULT_POLICY: SchedulingPolicy = {planStarts, planMoves};

/** What a planner is built from. */
export interface HomePlannerOptions {
  readonly book: JobBook;
  readonly pool: RunnerPool;
  /** Epoch of the home, its fencing number at engines. */
  readonly epoch: number;
  /** Returns a name that no other run has. */
  readonly createRunId: () => string;
  readonly policy: SchedulingPolicy;
}

/** Plans the orders of a home. */
export class HomePlanner {
  private constructor(private readonly options: HomePlannerOptions) {}

  /** Builds a planner. */
  static create(options: HomePlannerOptions): HomePlanner {
    return new HomePlanner(options);
  }

  /** Returns the orders that follow from the state; no items start while
   * `mayStart` is false. */
  plan(nowMs: number, mayStart: boolean): RunnerOrders[] {
    const {book, pool} = this.options;
    this.expireJobs(nowMs);
    for (const {runId, endpointId} of book.carryOver.expireRuns(nowMs)) {
      pool.stopRun(runId, endpointId);
    }
    this.stopStalled(nowMs);
    pool.expireReservations(nowMs);
    const orders = OrderSheet.create();
    for (const state of book.list()) state.expireAvoided(nowMs);
    const jobs = book.list().map(state => this.describeJob(state));
    if (mayStart) this.startItems(jobs, ['carried', 'wanted'], orders, nowMs);
    this.moveRuns(jobs, orders, nowMs);
    if (mayStart) this.startItems(jobs, ['spare'], orders, nowMs);
    for (const [runId, endpointId] of pool.takeStops()) {
      orders.open(endpointId).stops.push(runId);
    }
    this.loadVersions(orders, nowMs);
    return orders.list();
  }

  /** Gives up what is left of jobs whose time is over. */
  private expireJobs(nowMs: number): void {
    const {book, pool} = this.options;
    for (const state of book.list()) {
      const bounds = book.findBounds(state.job);
      const endsAtMs = state.acceptedAtMs + (bounds?.retentionMs ?? Infinity);
      if (nowMs < endsAtMs) continue;
      for (const {run} of state.items.values()) {
        if (run !== undefined) pool.stopRun(run.runId, run.endpointId);
      }
      state.abandonRest();
    }
  }

  private stopStalled(nowMs: number): void {
    const {book, pool} = this.options;
    for (const runner of pool.list()) {
      for (const run of runner.runs.values()) {
        const sinceMs = run.progressAtMs ?? run.startedAtMs;
        if (nowMs - sinceMs < STALL_MS) continue;
        const {endpointId} = runner.registration;
        const {runId, jobId, itemId} = run;
        const item = book.find(jobId)?.items.get(itemId);
        item?.avoided.set(endpointId, nowMs + AVOID_MS);
        pool.stopRun(runId, endpointId);
        book.finishRun(runId, jobId, itemId, 'stopped', nowMs);
      }
    }
  }

  /** Breaks runs off; their items wait once the agent confirms it. */
  private moveRuns(
    jobs: readonly JobView[],
    orders: OrderSheet,
    nowMs: number,
  ): void {
    const {pool} = this.options;
    const views = this.describeRunners(nowMs);
    const runs = jobs.flatMap(listMovableRuns);
    for (const {run, targetId} of this.options.policy.planMoves(runs, views)) {
      const followed = pool.find(run.endpointId)?.runs.get(run.runId);
      if (followed === undefined) continue;
      followed.isStopping = true;
      const expiresAtMs = nowMs + RESERVATION_MS;
      pool.reserve(followed.itemId, {endpointId: targetId, expiresAtMs});
      orders.open(run.endpointId).stops.push(run.runId);
    }
  }

  private startItems(
    jobs: readonly JobView[],
    ranks: readonly ItemRank[],
    orders: OrderSheet,
    nowMs: number,
  ): void {
    const runners = this.describeRunners(nowMs);
    const reserved = this.options.pool.getReserved();
    const {policy} = this.options;
    const view = {jobs, runners, nowMs, ranks, reserved};
    const starts = policy.planStarts(view);
    for (const start of starts) {
      const {rank, remainingTokens, msPerToken, endpointId} = start;
      const sheet = orders.open(endpointId);
      sheet.starts.push(this.startItem(start, nowMs));
      sheet.reasons.push({rank, remainingTokens, msPerToken});
    }
  }

  private describeRunners(nowMs: number) {
    const models = [...this.options.book.getNewest().keys()];
    return this.options.pool.describe(models, nowMs);
  }

  private describeJob(state: JobState): JobView {
    const {book, pool} = this.options;
    const bounds = book.findBounds(state.job);
    const runners = pool
      .list()
      .filter(runner => runner.registration.service === bounds?.service);
    return {
      state,
      endpointIds: new Set(runners.map(item => item.registration.endpointId)),
      tokensPerEvent: runners[0]?.registration.tokensPerEvent ?? 1,
      runDeadlineMs: bounds?.runDeadlineMs ?? DEFAULT_RUN_DEADLINE_MS,
      spareVersion: book.computeSpareVersion(state.job),
      isStopping: (runId, endpointId) =>
        pool.find(endpointId)?.runs.get(runId)?.isStopping ?? true,
    };
  }

  private startItem(start: PlannedStart, nowMs: number): RunOrder {
    const {job: state, item, endpointId} = start;
    const {book, pool, createRunId} = this.options;
    const {job} = state;
    const {id, path, headers, body} = item.item;
    const runId = createRunId();
    const version = pool.find(endpointId)?.getVersion(job.model) ?? 0;
    state.clearMixedText(id, version);
    const firstEvent = item.events.length;
    pool.release(id);
    const run = {runId, endpointId, startedAtMs: nowMs, firstEvent};
    state.startRun(id, run, nowMs);
    pool.find(endpointId)?.follow(state.job.id, item, runId, nowMs);
    const retentionMs = book.findBounds(job)?.retentionMs ?? Infinity;
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

  private loadVersions(orders: OrderSheet, nowMs: number): void {
    const {book, pool, epoch} = this.options;
    const loads = planModelLoads({
      newest: book.getNewest(),
      work: book.getWork(),
      jobs: book.list(),
      runners: pool.list(),
      nowMs,
    });
    const single = book.list().filter(state => state.job.isSingleVersion);
    const models = new Set(single.map(state => state.job.model));
    for (const load of loads) {
      const finishesRuns = models.has(load.model);
      const order = {...load, fencingNumber: epoch, finishesRuns};
      orders.open(load.endpointId).loads.push(order);
    }
  }
}

/** Orders by endpoint while they are collected. */
class OrderSheet {
  private readonly byEndpoint = new Map<string, RunnerOrders>();

  private constructor() {}

  static create(): OrderSheet {
    return new OrderSheet();
  }

  open(endpointId: string): RunnerOrders {
    const known = this.byEndpoint.get(endpointId);
    if (known !== undefined) return known;
    const created: RunnerOrders = {
      endpointId,
      starts: [],
      reasons: [],
      stops: [],
      loads: [],
    };
    this.byEndpoint.set(endpointId, created);
    return created;
  }

  list(): RunnerOrders[] {
    return [...this.byEndpoint.values()];
  }
}

/** Lists the runs of a job that could go on elsewhere. */
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
    canRunAt: runner => canRunItem(job, item, runner),
  };
}
