/**
 * The admission queue of one endpoint at its agent. It limits how many requests
 * run at once, orders waiting requests fairly between customers, and refuses
 * requests that are not expected to finish by their deadlines.
 */
import type {ErrorKind} from '../errors/error_kinds';
import type {Clock} from '../shared/clock';
import {FairQueue, QueuedWork, computeCost} from './fair_queue';

const TOKEN_TIME_SMOOTHING = 0.1;
/** Completed runs needed before the token time is used for estimates. */
const MIN_OBSERVED_RUNS = 8;

/** Limits of one endpoint's queue. */
export interface QueueBounds {
  /** Maximum number of requests that the endpoint runs at once. */
  readonly slots: number;
  readonly maxQueued: number;
}

/** Work that occupies a slot of the endpoint. */
interface RunningWork {
  readonly work: QueuedWork;
  readonly startedAtMs: number;
}

/** Tracks the waiting and running work of one endpoint. */
export class AdmissionQueue {
  private readonly waiting = FairQueue.create();
  private readonly running = new Map<string, RunningWork>();
  /** Smoothed token time of completed runs, in ms per expected token. */
  private tokenMs = 0;
  private observedRuns = 0;

  private constructor(
    private readonly bounds: QueueBounds,
    private readonly clock: Clock,
  ) {}

  static create(bounds: QueueBounds, clock: Clock): AdmissionQueue {
    return new AdmissionQueue(bounds, clock);
  }

  /** Sets each customer's share of the endpoint, from 0 to 1. */
  setShares(shares: ReadonlyMap<string, number>): void {
    this.waiting.setShares(shares);
  }

  /** Adds work to the queue, or returns the reason for refusing it. */
  offerWork(work: QueuedWork): ErrorKind | undefined {
    if (this.waiting.count() >= this.bounds.maxQueued) return 'overloaded';
    if (!this.canFinish(work)) return 'deadline-unmeetable';
    this.waiting.addWork(work);
    return undefined;
  }

  /** Estimates whether new work would finish by its deadline. */
  private canFinish(work: QueuedWork): boolean {
    const {slots} = this.bounds;
    const canStartNow = this.running.size < slots && this.waiting.count() === 0;
    const tokensAhead = canStartNow ? 0 : this.waiting.sumTokensAhead(work);
    const waitMs = (tokensAhead * this.getTokenMs()) / slots;
    return this.canFinishFrom(work, this.clock.readMonotonicMs() + waitMs);
  }

  /** Estimates whether work that starts at `startAtMs` meets its deadline. */
  private canFinishFrom(work: QueuedWork, startAtMs: number): boolean {
    const runMs = computeCost(work) * this.getTokenMs();
    return startAtMs + runMs <= work.deadlineAtMs;
  }

  /** Returns 0 until enough runs have completed for an estimate. */
  private getTokenMs(): number {
    return this.observedRuns < MIN_OBSERVED_RUNS ? 0 : this.tokenMs;
  }

  /**
   * Moves the next work that is expected to meet its deadline into a slot.
   * Returns undefined when all slots are occupied or no work qualifies.
   */
  takeNext(): QueuedWork | undefined {
    if (this.running.size >= this.bounds.slots) return undefined;
    const nowMs = this.clock.readMonotonicMs();
    const next = this.waiting.takeNext(work => this.canFinishFrom(work, nowMs));
    if (next !== undefined) {
      this.running.set(next.requestId, {work: next, startedAtMs: nowMs});
    }
    return next;
  }

  /** Removes and returns waiting work that can no longer meet its deadline. */
  takeExpired(nowMs: number): QueuedWork[] {
    return this.waiting.removeMatching(
      work => work.deadlineAtMs <= nowMs || !this.canFinishFrom(work, nowMs),
    );
  }

  /** Removes a waiting request; returns whether it was waiting. */
  removeWaiting(requestId: string): boolean {
    const removed = this.waiting.removeMatching(
      work => work.requestId === requestId,
    );
    return removed.length > 0;
  }

  /**
   * Frees the slot of a request that has ended and updates the token time.
   * Does nothing for a request that holds no slot.
   */
  releaseSlot(requestId: string): void {
    const endedRun = this.running.get(requestId);
    if (endedRun === undefined) return;
    this.running.delete(requestId);
    const runMs = this.clock.readMonotonicMs() - endedRun.startedAtMs;
    this.observeRun(runMs / computeCost(endedRun.work));
  }

  private observeRun(tokenMs: number): void {
    this.observedRuns += 1;
    const weight = Math.max(TOKEN_TIME_SMOOTHING, 1 / this.observedRuns);
    this.tokenMs += weight * (tokenMs - this.tokenMs);
  }

  countWaiting(): number {
    return this.waiting.count();
  }

  countRunning(): number {
    return this.running.size;
  }

  /** Returns the expected tokens of all waiting requests. */
  sumWaitingTokens(): number {
    return this.waiting.sumTokens();
  }
}
