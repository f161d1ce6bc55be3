/**
 * A small fake of an endpoint: limited slots, a prefix cache, speed that
 * falls when more runs than it batches well, and a version for each trainer.
 */
import type {RunProgress} from './run_progress';
import type {ScheduledAction, VirtualClock} from './virtual_clock';

/** Tokens a second that an engine generates for each run. */
export const TOKENS_PER_SECOND = 40;
const PREFILL_MISS_MS = 400;
const PREFILL_HIT_MS = 20;
const CACHED_PREFIXES = 12;

/** Requests that an engine batches at full speed. */
export const ENGINE_BATCH_SIZE = 8;
/** Calls that a plain service runs at full speed. */
export const PLAIN_CONCURRENCY = 4;

/** Work for a fake endpoint. */
export interface FakeRun {
  /** Tokens to generate; 0 for a plain call. */
  readonly tokens: number;
  /** Service time of a plain call in ms. */
  readonly plainMs: number;
  readonly prefixKey: string;
  /** Trainer whose weights generate; empty for serving calls. */
  readonly trainer: string;
  /** Follows the run's progress, where somebody wants to know. */
  readonly progress?: RunProgress;
}

/** How a run ended. */
export interface FakeRunEnd {
  readonly isComplete: boolean;
  /** Oldest version that took part. */
  readonly version: number;
  readonly isPrefixHit: boolean;
}

/** A run under way. */
export interface FakeRunHandle {
  readonly action: ScheduledAction;
  readonly fail: () => void;
}

/** One endpoint. */
export class FakeEndpoint {
  private readonly prefixes = new Set<string>();
  private readonly versions = new Map<string, number>();
  private readonly handles = new Set<FakeRunHandle>();
  private isDown = false;

  private constructor(
    private readonly clock: VirtualClock,
    private readonly batchSize: number,
    /** Multiple of the ordinary time that everything takes. */
    private readonly slowness: number,
  ) {}

  /** Builds an idle endpoint. */
  static create(
    clock: VirtualClock,
    batch: number,
    slowness: number,
  ): FakeEndpoint {
    return new FakeEndpoint(clock, batch, slowness);
  }

  /** Starts a run; the listener hears once how it ended. */
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

  /** Stops a run without an end. */
  cancelRun(handle: FakeRunHandle): void {
    handle.action.isCancelled = true;
    this.handles.delete(handle);
  }

  private computeDurationMs(run: FakeRun, isPrefixHit: boolean): number {
    const crowding = this.computeOverloadFactor(1);
    const prefillMs = isPrefixHit ? PREFILL_HIT_MS : PREFILL_MISS_MS;
    const decodeMs = (run.tokens / TOKENS_PER_SECOND) * 1_000;
    const engineMs = run.tokens > 0 ? prefillMs + decodeMs : 0;
    return (run.plainMs + engineMs) * this.slowness * crowding;
  }

  /** Returns the multiple of the time that more than a batch takes. */
  private computeOverloadFactor(added: number): number {
    return Math.max(1, (this.handles.size + added) / this.batchSize);
  }

  /** Returns the tokens a second of one running request. */
  measureSpeed(): number {
    if (this.handles.size === 0) return 0;
    return TOKENS_PER_SECOND / this.slowness / this.computeOverloadFactor(0);
  }

  /** Returns the version of a trainer's weights. */
  getVersion(trainer: string): number {
    return this.versions.get(trainer) ?? 0;
  }

  private touchPrefix(prefixKey: string): boolean {
    if (prefixKey === '') return false;
    const isHit = this.prefixes.delete(prefixKey);
    this.prefixes.add(prefixKey);
    if (this.prefixes.size > CACHED_PREFIXES) {
      const [oldest] = this.prefixes;
      this.prefixes.delete(oldest);
    }
    return isHit;
  }

  /** Activates a version of a trainer's weights. */
  setVersion(trainer: string, version: number): void {
    this.versions.set(trainer, version);
  }

  /** Breaks off all runs and forgets the cache. */
  crash(): void {
    this.isDown = true;
    this.prefixes.clear();
    for (const handle of [...this.handles]) handle.fail();
  }

  /** Comes back empty. */
  recover(): void {
    this.isDown = false;
  }

  /** Tells whether the endpoint is lost. */
  isLost(): boolean {
    return this.isDown;
  }
}
