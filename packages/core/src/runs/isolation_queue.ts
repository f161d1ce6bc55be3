/**
 * Queue of suspects: requests that an endpoint runs alone, because they were in
 * flight when an endpoint crashed. While a suspect waits or runs, the endpoint
 * starts no other work.
 */

/** A suspect that waits to run alone. */
export interface WaitingSuspect {
  readonly key: string;
  /** Agent time in ms by which the work must have finished. */
  readonly deadlineAtMs: number;
}

/** The suspects of one endpoint, in order of arrival. */
export class IsolationQueue {
  private waiting: WaitingSuspect[] = [];
  private running: string | undefined;

  private constructor() {}

  static create(): IsolationQueue {
    return new IsolationQueue();
  }

  addSuspect(suspect: WaitingSuspect): void {
    this.waiting.push(suspect);
  }

  /** Returns whether a suspect waits or runs. */
  isOccupied(): boolean {
    return this.running !== undefined || this.waiting.length > 0;
  }

  /**
   * Removes the next suspect and records it as running. Call this only while the
   * endpoint runs nothing.
   */
  takeNext(): WaitingSuspect | undefined {
    const next = this.waiting.shift();
    this.running = next?.key;
    return next;
  }

  /** Records that a suspect has ended; ignored for any other key. */
  releaseSuspect(key: string): void {
    if (this.running === key) this.running = undefined;
  }

  /** Removes a suspect that waits. */
  removeSuspect(key: string): void {
    this.waiting = this.waiting.filter(suspect => suspect.key !== key);
  }

  /** Removes and returns the waiting suspects whose deadlines have passed. */
  takeExpired(nowMs: number): WaitingSuspect[] {
    const expired = this.waiting.filter(
      suspect => suspect.deadlineAtMs <= nowMs,
    );
    this.waiting = this.waiting.filter(suspect => suspect.deadlineAtMs > nowMs);
    return expired;
  }
}
