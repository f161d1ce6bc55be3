/**
 * What a home knows of one endpoint that runs items: its agent, its engine, the
 * runs there, and how fast it generates.
 */
import type {ItemState} from './job_state';
import {predictRemainingTokens} from './length_forecast';
import {TokenTimeEstimator} from './token_time_estimator';
import type {EngineState} from './run_messages';
import type {BatchEndpointView} from './start_plan';

/** Time for an order to load to show in the engine's state, in ms. */
const LOAD_TIMEOUT_MS = 6_000;

/** Time without starts after an endpoint turned one away, in ms; doubles with
 * each in a row up to the bound. */
const MIN_BLOCK_MS = 60;
const MAX_BLOCK_MS = 800;

/** A run as the home follows it. */
export interface TrackedRun {
  readonly runId: string;
  /** Job that gets the text; another one when it has the same item. */
  jobId: string;
  readonly itemId: string;
  /** Tokens in memory when it has ended, as expected at its start. */
  expectedMemory: number;
  /** When its last event arrived; undefined before the first. */
  lastEventAtMs: number | undefined;
  /** Up to when its time is counted; undefined before its first event. */
  measuredUntilMs: number | undefined;
  readonly startedAtMs: number;
  /** Whether it is being broken off, to go on elsewhere. */
  isStopping: boolean;
}

/** An order to load that was given. */
export interface PendingLoad {
  readonly model: string;
  readonly version: number;
  readonly orderedAtMs: number;
}

/** What is registered of an endpoint. */
export interface BatchEndpointRegistration {
  readonly endpointId: string;
  readonly service: string;
  readonly slots: number;
  readonly memoryTokens: number;
  readonly tokensPerEvent: number;
  readonly versions: ReadonlyMap<string, number>;
  readonly isDraining: boolean;
}

/** An endpoint with its agent. */
export class BatchEndpoint {
  registration: BatchEndpointRegistration;
  /** Whether the agent answers. */
  isAgentResponding = false;
  engine: EngineState | undefined;
  pendingLoad: PendingLoad | undefined;
  readonly runs = new Map<string, TrackedRun>();
  private readonly tokenTime = TokenTimeEstimator.create();
  private rejections = 0;
  private blockedUntilMs = -Infinity;

  private constructor(registration: BatchEndpointRegistration) {
    this.registration = registration;
  }

  /** Builds the state of a registered endpoint. */
  static create(registration: BatchEndpointRegistration): BatchEndpoint {
    return new BatchEndpoint(registration);
  }

  /** Takes the engine's state; an order that shows there has been met. */
  applyEngine(engine: EngineState, nowMs: number): void {
    this.engine = engine;
    const {pendingLoad} = this;
    if (pendingLoad === undefined) return;
    const version = engine.versions[pendingLoad.model] ?? 0;
    const isOld = nowMs - pendingLoad.orderedAtMs > LOAD_TIMEOUT_MS;
    if (version >= pendingLoad.version || isOld) this.pendingLoad = undefined;
  }

  /** Notes that the endpoint turned a start away or broke it off at once. */
  recordRejection(nowMs: number): void {
    if (nowMs < this.blockedUntilMs) return;
    const blockMs = MIN_BLOCK_MS * 2 ** this.rejections;
    this.rejections += 1;
    this.blockedUntilMs = nowMs + Math.min(MAX_BLOCK_MS, blockMs);
  }

  /** Returns the version of a model. */
  getVersion(model: string): number {
    const reported = this.engine?.versions[model];
    return reported ?? this.registration.versions.get(model) ?? 0;
  }

  /** Follows a run from its start or its adoption on. */
  trackRun(jobId: string, item: ItemState, runId: string, nowMs: number): void {
    const {tokensPerEvent} = this.registration;
    const made = item.events.length * tokensPerEvent;
    const remaining = predictRemainingTokens(item, tokensPerEvent);
    this.runs.set(runId, {
      runId,
      jobId,
      itemId: item.item.id,
      expectedMemory: item.item.promptTokens + made + remaining,
      lastEventAtMs: undefined,
      measuredUntilMs: undefined,
      startedAtMs: nowMs,
      isStopping: false,
    });
  }

  /** Tells whether a load is under way. */
  isLoading(): boolean {
    return this.pendingLoad !== undefined || this.engine?.isBusy === true;
  }

  /** Learns how fast the runs go on from the events of an answer. */
  measureTokenTime(events: ReadonlyMap<string, number>, nowMs: number): void {
    for (const run of this.runs.values()) {
      const count = events.get(run.runId) ?? 0;
      const sinceMs = run.measuredUntilMs;
      if (count > 0) {
        run.lastEventAtMs = nowMs;
        this.rejections = 0;
      }
      if (count > 0 || sinceMs !== undefined) run.measuredUntilMs = nowMs;
      if (sinceMs === undefined) continue;
      const tokens = count * this.registration.tokensPerEvent;
      this.tokenTime.addRunTime(nowMs - sinceMs, tokens, this.runs.size - 1);
    }
  }

  /** Describes the endpoint for plans, with places that are kept there. */
  describe(
    models: readonly string[],
    reserved: number,
    nowMs: number,
  ): BatchEndpointView {
    const {endpointId, slots, memoryTokens, isDraining} = this.registration;
    let expectedMemory = 0;
    for (const run of this.runs.values()) expectedMemory += run.expectedMemory;
    const isReachable = this.engine?.isReachable === true;
    const isTaking =
      !isDraining && !this.isLoading() && nowMs >= this.blockedUntilMs;
    return {
      id: endpointId,
      slots,
      memoryTokens,
      versions: new Map(models.map(model => [model, this.getVersion(model)])),
      isOpen: this.isAgentResponding && isReachable && isTaking,
      runs: this.runs.size + reserved,
      expectedMemory,
      msPerToken: this.tokenTime.getMsPerToken(),
    };
  }
}
