/**
 * A coordinator's state of one batch endpoint: its agent, its engine, its active
 * runs, and its token time.
 */
import {RateBucket} from '../limits/rate_bucket';
import type {ItemState} from './item_state';
import {predictMemory} from './length_forecast';
import {TokenTimeEstimator} from './token_time_estimator';
import type {EngineState} from './run_messages';
import type {BatchEndpointView} from './start_plan';

/** Time after which a load that the engine's state does not confirm is
 * considered lost, in ms. */
const LOAD_TIMEOUT_MS = 6_000;

/** Time without new starts after an endpoint rejected one, in ms. It doubles with
 * each further rejection, up to the maximum. */
const MIN_BLOCK_MS = 60;
const MAX_BLOCK_MS = 800;
/** Number of starts that may follow each other at once under a limit. */
const LIMITED_START_BURST = 2;

/** A run that the coordinator tracks. */
export interface TrackedRun {
  readonly runId: string;
  /** Job that receives the text; a later job with the same item may replace it. */
  jobId: string;
  readonly itemId: string;
  /** State of the item in that job. */
  item: ItemState;
  /** Time at which its last event arrived; undefined before the first event. */
  lastEventAtMs: number | undefined;
  /** Time until which its token time was measured; undefined before the first
   * event. */
  measuredUntilMs: number | undefined;
  readonly startedAtMs: number;
  /** Whether it is being stopped, to continue at another endpoint. */
  isStopping: boolean;
}

/** A load that was ordered and is not confirmed yet. */
export interface PendingLoad {
  readonly model: string;
  readonly version: number;
  readonly orderedAtMs: number;
}

/** Registered properties of a batch endpoint. */
export interface BatchEndpointRegistration {
  readonly endpointId: string;
  readonly service: string;
  /** Version of the endpoint's software. */
  readonly software: string;
  readonly slots: number;
  readonly memoryTokens: number;
  readonly tokensPerEvent: number;
  readonly versions: ReadonlyMap<string, number>;
  readonly isDraining: boolean;
}

/** State of a batch endpoint and its agent. */
export class BatchEndpoint {
  registration: BatchEndpointRegistration;
  /** Whether the agent answers calls. */
  isAgentResponding = false;
  engine: EngineState | undefined;
  pendingLoad: PendingLoad | undefined;
  readonly runs = new Map<string, TrackedRun>();
  private readonly tokenTime = TokenTimeEstimator.create();
  private rejections = 0;
  private blockedUntilMs = -Infinity;
  /** Paces starts while the engine states a limit. */
  private starts: RateBucket | undefined;

  private constructor(registration: BatchEndpointRegistration) {
    this.registration = registration;
  }

  static create(registration: BatchEndpointRegistration): BatchEndpoint {
    return new BatchEndpoint(registration);
  }

  /** Stores the engine's state. A pending load is done once the engine reports its
   * version. */
  applyEngine(engine: EngineState, nowMs: number): void {
    this.engine = engine;
    if (engine.limit === undefined) this.starts = undefined;
    else this.starts ??= RateBucket.create(LIMITED_START_BURST, nowMs);
    const {pendingLoad} = this;
    if (pendingLoad === undefined) return;
    const version = engine.versions[pendingLoad.model] ?? 0;
    const isLost = nowMs - pendingLoad.orderedAtMs > LOAD_TIMEOUT_MS;
    if (version >= pendingLoad.version || isLost) this.pendingLoad = undefined;
  }

  /** Records that the endpoint rejected a run or interrupted it before its first
   * new event. */
  recordRejection(nowMs: number): void {
    if (nowMs < this.blockedUntilMs) return;
    const blockMs = MIN_BLOCK_MS * 2 ** this.rejections;
    this.rejections += 1;
    this.blockedUntilMs = nowMs + Math.min(MAX_BLOCK_MS, blockMs);
  }

  /** Returns the weight version of a model: as reported by the engine, else as
   * registered, else 0. */
  getVersion(model: string): number {
    const reported = this.engine?.versions[model];
    return reported ?? this.registration.versions.get(model) ?? 0;
  }

  /** Begins to track a run that was started or adopted. */
  trackRun(jobId: string, item: ItemState, runId: string, nowMs: number): void {
    this.starts?.take(1, this.engine?.limit ?? 0, nowMs);
    this.runs.set(runId, {
      runId,
      jobId,
      itemId: item.item.id,
      item,
      lastEventAtMs: undefined,
      measuredUntilMs: undefined,
      startedAtMs: nowMs,
      isStopping: false,
    });
  }

  /** Returns whether a load is ordered or in progress. */
  isLoading(): boolean {
    return this.pendingLoad !== undefined || this.engine?.isBusy === true;
  }

  /** Updates the token time from the number of events of each run in an answer. */
  measureTokenTime(events: ReadonlyMap<string, number>, nowMs: number): void {
    for (const run of this.runs.values()) {
      const count = events.get(run.runId) ?? 0;
      const {measuredUntilMs} = run;
      if (count > 0) {
        run.lastEventAtMs = nowMs;
        this.rejections = 0;
      }
      if (count > 0 || measuredUntilMs !== undefined) {
        run.measuredUntilMs = nowMs;
      }
      if (measuredUntilMs === undefined) continue;
      const tokens = count * this.registration.tokensPerEvent;
      this.tokenTime.addRunTime(
        nowMs - measuredUntilMs,
        tokens,
        this.runs.size - 1,
      );
    }
  }

  /** Returns whether the endpoint leaves, by its registration or its own answers,
   * which may come first. */
  isLeaving(): boolean {
    return this.registration.isDraining || this.engine?.isLeaving === true;
  }

  /** Returns whether the endpoint can run items, perhaps after a short pause. */
  isAvailable(): boolean {
    const isReachable = this.engine?.isReachable === true;
    return this.isAgentResponding && isReachable && !this.isLeaving();
  }

  /** Returns the state of the endpoint for planning; reserved slots count as
   * runs. */
  describe(
    models: readonly string[],
    reservedSlots: number,
    nowMs: number,
  ): BatchEndpointView {
    const {endpointId, slots, memoryTokens} = this.registration;
    const {tokensPerEvent} = this.registration;
    const memory = [...this.runs.values()].map(({item}) =>
      predictMemory(item, tokensPerEvent),
    );
    // A load that an earlier coordinator ordered may be of any model.
    const isLoadUnknown = this.isLoading() && this.pendingLoad === undefined;
    return {
      id: endpointId,
      software: this.registration.software,
      slots,
      memoryTokens,
      versions: new Map(models.map(model => [model, this.getVersion(model)])),
      isOpen:
        this.isAvailable() && nowMs >= this.blockedUntilMs && !isLoadUnknown,
      loadingModel: this.pendingLoad?.model,
      runs: this.runs.size + reservedSlots,
      memory,
      startsLeft:
        this.starts?.count(this.engine?.limit ?? 0, nowMs) ?? Infinity,
      startsPerSecond: this.engine?.limit ?? Infinity,
      msPerToken: this.tokenTime.getMsPerToken(),
    };
  }
}
