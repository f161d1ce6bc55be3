/**
 * Fake endpoint with a prefix cache and a weight version for each trainer. It
 * slows down when more requests run at once than its batch size.
 */
import type {RunProgress} from './run_progress';
import type {ScheduledAction, VirtualClock} from './virtual_clock';

/** Tokens per second that an engine generates for each run at full speed. */
export const TOKENS_PER_SECOND = 40;
const PREFILL_MISS_MS = 400;
const PREFILL_HIT_MS = 20;
const MAX_CACHED_PREFIXES = 12;

/** Number of requests that an engine runs at once at full speed. */
export const ENGINE_BATCH_SIZE = 8;
/** Number of calls that a plain service runs at once at full speed. */
export const PLAIN_CONCURRENCY = 4;

/** Work for a fake endpoint. */
export interface FakeRun {
  /** Tokens to generate; 0 for a plain call. */
  readonly tokens: number;
  /** Service time of a plain call in ms. */
  readonly plainMs: number;
  readonly prefixKey: string;
  /** Trainer whose weights are used; empty for serving calls. */
  readonly trainer: string;
  /** Updated when the run starts, if given. */
  readonly progress?: RunProgress;
}

/** How a run ended. */
export interface FakeRunEnd {
  /** False if the endpoint crashed during the run. */
  readonly isComplete: boolean;
  /** Weight version at the start of the run. */
  readonly version: number;
  readonly isPrefixHit: boolean;
}

/** A run in progress. */
export interface FakeRunHandle {
  readonly action: ScheduledAction;
  readonly fail: () => void;
}

/** Runs requests on the virtual clock. */
export class FakeEndpoint {
  private readonly prefixes = new Set<string>();
  private readonly versions = new Map<string, number>();
  private readonly handles = new Set<FakeRunHandle>();
  private isDown = false;

  private constructor(
    private readonly clock: VirtualClock,
    private readonly batchSize: number,
    /** Factor by which every run takes longer than usual. */
    private readonly slowness: number,
  ) {}

  static create(
    clock: VirtualClock,
    batch: number,
    slowness: number,
  ): FakeEndpoint {
    return new FakeEndpoint(clock, batch, slowness);
  }

  /** Starts a run; `onEnd` is called once, unless the run is cancelled. */
  startRun(run: FakeRun, onEnd: (end: FakeRunEnd) => void): FakeRunHandle {
    const version = this.versions.get(run.trainer) ?? 0;
    const isPrefixHit = this.touchPrefix(run.prefixKey);
    const durationMs = this.computeDurationMs(run, isPrefixHit);
    run.progress?.start(this.clock.readMonotonicMs(), durationMs);
    const finish = (isWhole: boolean) => {
      handle.action.isCancelled = true;
      if (this.handles.delete(handle)) {
        onEnd({isComplete: isWhole, version, isPrefixHit});
      }
    };
    const action = this.clock.schedule(durationMs, () => finish(true));
    const handle: FakeRunHandle = {action, fail: () => finish(false)};
    this.handles.add(handle);
    return handle;
  }

  /** Stops a run without calling its `onEnd`. */
  cancelRun(handle: FakeRunHandle): void {
    handle.action.isCancelled = true;
    this.handles.delete(handle);
  }

  private computeDurationMs(run: FakeRun, isPrefixHit: boolean): number {
    const overloadFactor = this.computeOverloadFactor(1);
    const prefillMs = isPrefixHit ? PREFILL_HIT_MS : PREFILL_MISS_MS;
    const decodeMs = (run.tokens / TOKENS_PER_SECOND) * 1_000;
    const engineMs = run.tokens > 0 ? prefillMs + decodeMs : 0;
    return (run.plainMs + engineMs) * this.slowness * overloadFactor;
  }

  /**
   * Returns the factor by which runs slow down with `added` more runs; 1 up to
   * the batch size.
   */
  private computeOverloadFactor(added: number): number {
    return Math.max(1, (this.handles.size + added) / this.batchSize);
  }

  /** Returns the tokens per second of each running request; 0 when idle. */
  measureSpeed(): number {
    if (this.handles.size === 0) return 0;
    return TOKENS_PER_SECOND / this.slowness / this.computeOverloadFactor(0);
  }

  /** Returns the active version of a trainer's weights; 0 before the first. */
  getVersion(trainer: string): number {
    return this.versions.get(trainer) ?? 0;
  }

  private touchPrefix(prefixKey: string): boolean {
    if (prefixKey === '') return false;
    const isHit = this.prefixes.delete(prefixKey);
    this.prefixes.add(prefixKey);
    if (this.prefixes.size > MAX_CACHED_PREFIXES) {
      const [oldest] = this.prefixes;
      this.prefixes.delete(oldest);
    }
    return isHit;
  }

  /** Activates a version of a trainer's weights. */
  setVersion(trainer: string, version: number): void {
    this.versions.set(trainer, version);
  }

  /** Fails all runs and clears the prefix cache. */
  crash(): void {
    this.isDown = true;
    this.prefixes.clear();
    for (const handle of [...this.handles]) handle.fail();
  }

  /** Marks the endpoint as up again, after a crash. */
  recover(): void {
    this.isDown = false;
  }

  /** Returns whether the endpoint has crashed and not recovered. */
  isLost(): boolean {
    return this.isDown;
  }
}
