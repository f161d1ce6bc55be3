/**
 * The queue of one endpoint at its agent: bounded running work, fair waiting
 * work, and refusal of what cannot be finished in time.
 */
import type {ErrorKind} from '../errors/error_kinds';
import type {Clock} from '../shared/clock';
import {FairQueue, QueuedWork, computeCost} from './fair_queue';

const TOKEN_TIME_SMOOTHING = 0.1;
/** Runs whose time must be known before work is refused by estimate. */
const MIN_OBSERVED_RUNS = 8;

/** Bounds of one endpoint's queue. */
export interface QueueBounds {
  /** Most requests that the endpoint runs at once. */
  readonly slots: number;
  readonly maxQueued: number;
}

/** Work that an endpoint runs. */
interface RunningWork {
  readonly work: QueuedWork;
  readonly startedAtMs: number;
}

/** Waiting and running work of one endpoint. */
export class AdmissionQueue {
  private readonly waiting = FairQueue.create();
  private readonly running = new Map<string, RunningWork>();
  /** Smoothed time of a run, in ms for an expected token. */
  private tokenMs = 0;
  private observedRuns = 0;

  private constructor(
    private readonly bounds: QueueBounds,
    private readonly clock: Clock,
  ) {}

  /** Builds an empty queue. */
  static create(bounds: QueueBounds, clock: Clock): AdmissionQueue {
    return new AdmissionQueue(bounds, clock);
  }

  /** Sets the customers' shares of the endpoint, from 0 to 1. */
  setShares(shares: ReadonlyMap<string, number>): void {
    this.waiting.setShares(shares);
  }

  /** Adds work, or returns why it is refused. */
  offerWork(work: QueuedWork): ErrorKind | undefined {
    if (this.waiting.count() >= this.bounds.maxQueued) return 'overloaded';
    if (!this.canFinish(work)) return 'deadline-unmeetable';
    this.waiting.addWork(work);
    return undefined;
  }

  /** Estimates whether new work ends by its deadline. */
  private canFinish(work: QueuedWork): boolean {
    const {slots} = this.bounds;
    const isFree = this.running.size < slots && this.waiting.count() === 0;
    const before = isFree ? 0 : this.waiting.sumTokensAhead(work);
    const waitMs = (before * this.getTokenMs()) / slots;
    return this.canFinishFrom(work, this.clock.readMonotonicMs() + waitMs);
  }

  private canFinishFrom(work: QueuedWork, nowMs: number): boolean {
    const runMs = computeCost(work) * this.getTokenMs();
    return nowMs + runMs <= work.deadlineAtMs;
  }

  private getTokenMs(): number {
    return this.observedRuns < MIN_OBSERVED_RUNS ? 0 : this.tokenMs;
  }

  /** Takes the next work that may start now and can end in time. */
  takeNext(): QueuedWork | undefined {
    if (this.running.size >= this.bounds.slots) return undefined;
    const nowMs = this.clock.readMonotonicMs();
    const next = this.waiting.takeNext(work => this.canFinishFrom(work, nowMs));
    if (next !== undefined) {
      this.running.set(next.requestId, {work: next, startedAtMs: nowMs});
    }
    return next;
  }

  /** Removes waiting work that cannot end by its deadline. */
  takeExpired(nowMs: number): QueuedWork[] {
    return this.waiting.removeMatching(
      work => work.deadlineAtMs <= nowMs || !this.canFinishFrom(work, nowMs),
    );
  }

  /** Removes waiting work; tells whether it was waiting. */
  removeWaiting(requestId: string): boolean {
    const taken = this.waiting.removeMatching(
      work => work.requestId === requestId,
    );
    return taken.length > 0;
  }

  /** Notes that running work has ended. */
  releaseSlot(requestId: string): void {
    const ended = this.running.get(requestId);
    if (ended === undefined) return;
    this.running.delete(requestId);
    const runMs = this.clock.readMonotonicMs() - ended.startedAtMs;
    this.observeRun(runMs / computeCost(ended.work));
  }

  private observeRun(tokenMs: number): void {
    this.observedRuns += 1;
    const weight = Math.max(TOKEN_TIME_SMOOTHING, 1 / this.observedRuns);
    this.tokenMs += weight * (tokenMs - this.tokenMs);
  }

  /** Returns the number of waiting requests. */
  countWaiting(): number {
    return this.waiting.count();
  }

  /** Returns the number of running requests. */
  countRunning(): number {
    return this.running.size;
  }

  /** Returns the expected tokens of waiting requests. */
  sumWaitingTokens(): number {
    return this.waiting.sumTokens();
  }
}
