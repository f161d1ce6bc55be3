/**
 * The queue of one endpoint at its agent: bounded running work, ordered
 * waiting work, and refusal of what cannot be started in time.
 */

/** Work that waits for a slot. */
export interface QueuedWork {
  readonly requestId: string;
  readonly customer: string;
  /** 0 is served first. */
  readonly priority: number;
  readonly expectedTokens: number;
  /** Tick in ms by which the work must have ended. */
  readonly deadlineTick: number;
}

/** Bounds of one endpoint's queue. */
export interface QueueBounds {
  /** Requests that the endpoint runs at once. */
  readonly slots: number;
  readonly maxQueued: number;
}

/** Waiting and running work of one endpoint. */
export class AdmissionQueue {
  private readonly waiting: QueuedWork[] = [];
  private readonly running = new Map<string, QueuedWork>();

  private constructor(private readonly bounds: QueueBounds) {}

  /** Builds an empty queue. */
  static create(bounds: QueueBounds): AdmissionQueue {
    return new AdmissionQueue(bounds);
  }

  /** Adds work unless the queue is full; tells whether it was added. */
  offerWork(work: QueuedWork): boolean {
    if (this.waiting.length >= this.bounds.maxQueued) return false;
    const index = this.waiting.findIndex(
      other => other.priority > work.priority,
    );
    if (index < 0) this.waiting.push(work);
    else this.waiting.splice(index, 0, work);
    return true;
  }

  /** Takes the next work that may start now. */
  takeNext(): QueuedWork | undefined {
    if (this.running.size >= this.bounds.slots) return undefined;
    const next = this.waiting.shift();
    if (next !== undefined) this.running.set(next.requestId, next);
    return next;
  }

  /** Removes work that waits past its deadline. */
  takeExpired(tick: number): QueuedWork[] {
    const expired = this.waiting.filter(work => work.deadlineTick <= tick);
    for (const work of expired) this.removeWaiting(work.requestId);
    return expired;
  }

  /** Removes waiting work; tells whether it was waiting. */
  removeWaiting(requestId: string): boolean {
    const index = this.waiting.findIndex(work => work.requestId === requestId);
    if (index < 0) return false;
    this.waiting.splice(index, 1);
    return true;
  }

  /** Notes that running work has ended. */
  releaseSlot(requestId: string): void {
    this.running.delete(requestId);
  }

  /** Returns the number of waiting requests. */
  countWaiting(): number {
    return this.waiting.length;
  }

  /** Returns the number of running requests. */
  countRunning(): number {
    return this.running.size;
  }

  /** Returns the expected tokens of waiting requests. */
  sumWaitingTokens(): number {
    return this.waiting.reduce((sum, work) => sum + work.expectedTokens, 0);
  }
}
