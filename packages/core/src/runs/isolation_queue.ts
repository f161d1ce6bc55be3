/**
 * Work that an endpoint runs alone, because it was in flight at a crash. Once
 * a suspect waits, nothing else starts until it has had its turn.
 */

/** A suspect that waits. */
export interface WaitingSuspect {
  readonly key: string;
  /** Tick in ms by which the work must have ended. */
  readonly deadlineAtMs: number;
}

/** The suspects of one endpoint. */
export class IsolationQueue {
  private waiting: WaitingSuspect[] = [];
  private running: string | undefined;

  private constructor() {}

  /** Builds an empty lane. */
  static create(): IsolationQueue {
    return new IsolationQueue();
  }

  /** Adds a suspect at the end. */
  addSuspect(suspect: WaitingSuspect): void {
    this.waiting.push(suspect);
  }

  /** Tells whether a suspect waits or runs. */
  isOccupied(): boolean {
    return this.running !== undefined || this.waiting.length > 0;
  }

  /** Takes the next suspect, of an endpoint that runs nothing. */
  takeNext(): WaitingSuspect | undefined {
    const next = this.waiting.shift();
    this.running = next?.key;
    return next;
  }

  /** Notes that a suspect runs no longer. */
  releaseSuspect(key: string): void {
    if (this.running === key) this.running = undefined;
  }

  /** Takes a waiting suspect out. */
  removeSuspect(key: string): void {
    this.waiting = this.waiting.filter(suspect => suspect.key !== key);
  }

  /** Takes the suspects whose time has passed. */
  takeExpired(nowMs: number): WaitingSuspect[] {
    const expired = this.waiting.filter(item => item.deadlineAtMs <= nowMs);
    this.waiting = this.waiting.filter(item => item.deadlineAtMs > nowMs);
    return expired;
  }
}
