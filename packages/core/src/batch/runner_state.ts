/**
 * What a home knows of one endpoint that runs items: its agent, its engine, the
 * runs there, and how fast it generates.
 */
import type {EngineState} from './run_messages';
import type {RunnerView} from './start_plan';

/** Time for a token of one run alone before any was measured, in ms. */
const INITIAL_MS_PER_TOKEN = 0.7;
/** Weight of the newest measurement. */
const SPEED_WEIGHT = 0.2;
/** Cost of each run beside, as a share of a run alone. */
const CROWDING_COST = 0.007;
/** Bounds of a plausible measurement, in ms a token. */
const MIN_MS_PER_TOKEN = 0.05;
const MAX_MS_PER_TOKEN = 50;
/** Time for an order to load to show in the engine's state, in ms. */
const LOAD_TIMEOUT_MS = 6_000;

/** A run as the home follows it. */
export interface FollowedRun {
  readonly runId: string;
  /** Job that gets the text; another one when it has the same item. */
  jobId: string;
  readonly itemId: string;
  /** Tokens in memory when it has ended, as expected at its start. */
  expectedMemory: number;
  /** When its last event arrived; undefined before the first. */
  progressAtMs: number | undefined;
  readonly startedAtMs: number;
}

/** An order to load that was given. */
export interface PendingLoad {
  readonly model: string;
  readonly version: number;
  readonly orderedAtMs: number;
}

/** What is registered of an endpoint. */
export interface RunnerRegistration {
  readonly endpointId: string;
  readonly service: string;
  readonly slots: number;
  readonly memoryTokens: number;
  readonly tokensPerEvent: number;
  readonly versions: ReadonlyMap<string, number>;
  readonly isDraining: boolean;
}

/** An endpoint with its agent. */
export class RunnerState {
  registration: RunnerRegistration;
  /** Whether the agent answers. */
  isLinked = false;
  engine: EngineState | undefined;
  pendingLoad: PendingLoad | undefined;
  readonly runs = new Map<string, FollowedRun>();
  msPerToken = INITIAL_MS_PER_TOKEN;

  private constructor(registration: RunnerRegistration) {
    this.registration = registration;
  }

  /** Builds the state of a registered endpoint. */
  static create(registration: RunnerRegistration): RunnerState {
    return new RunnerState(registration);
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

  /** Returns the version of a model. */
  getVersion(model: string): number {
    const reported = this.engine?.versions[model];
    return reported ?? this.registration.versions.get(model) ?? 0;
  }

  /** Tells whether a load is under way. */
  isLoading(): boolean {
    return this.pendingLoad !== undefined || this.engine?.isBusy === true;
  }

  /** Learns from events of a run that came in some time. */
  measureSpeed(run: FollowedRun, events: number, nowMs: number): void {
    const sinceMs = run.progressAtMs;
    run.progressAtMs = nowMs;
    if (sinceMs === undefined || events === 0) return;
    const tokens = events * this.registration.tokensPerEvent;
    const crowding = 1 + CROWDING_COST * (this.runs.size - 1);
    const measured = (nowMs - sinceMs) / tokens / crowding;
    if (measured < MIN_MS_PER_TOKEN || measured > MAX_MS_PER_TOKEN) return;
    this.msPerToken += SPEED_WEIGHT * (measured - this.msPerToken);
  }

  /** Describes the endpoint for a plan of starts. */
  describe(models: readonly string[]): RunnerView {
    const {endpointId, slots, memoryTokens, isDraining} = this.registration;
    let expectedMemory = 0;
    for (const run of this.runs.values()) expectedMemory += run.expectedMemory;
    const isReachable = this.engine?.isReachable === true;
    return {
      id: endpointId,
      slots,
      memoryTokens,
      versions: new Map(models.map(model => [model, this.getVersion(model)])),
      isOpen: this.isLinked && isReachable && !isDraining && !this.isLoading(),
      runs: this.runs.size,
      expectedMemory,
      msPerToken: this.msPerToken,
    };
  }
}
