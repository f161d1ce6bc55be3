/**
 * Answers of endpoints whose heads have arrived and whose bodies are not read
 * before there is room for them, the oldest first. What the kernel takes of them
 * meanwhile is bounded by its buffers.
 */

/** An answer that waits. */
export interface WaitingArrival {
  /** Number of its exchange. */
  readonly id: number;
  /** Stated size in bytes; 0 if unknown. */
  readonly bytes: number;
  readonly canStart: () => boolean;
  readonly start: () => void;
}

/** Answers in the order of their heads. */
export class ArrivalQueue {
  private readonly waiting: WaitingArrival[] = [];

  private constructor(private readonly maxBytes: number) {}

  /** The answers that wait have at most `maxBytes`, one of them excepted. */
  static create(maxBytes: number): ArrivalQueue {
    return new ArrivalQueue(maxBytes);
  }

  /** Starts an answer or lets it wait; returns false if it may not wait. */
  add(arrival: WaitingArrival): boolean {
    const waitingBytes = this.waiting.reduce((sum, {bytes}) => sum + bytes, 0);
    const hasRoom = waitingBytes + arrival.bytes <= this.maxBytes;
    if (this.waiting.length === 0 && arrival.canStart()) arrival.start();
    else if (hasRoom || this.waiting.length === 0) this.waiting.push(arrival);
    else return false;
    return true;
  }

  /** Removes the answers of an exchange that has ended. */
  remove(id: number): void {
    for (let i = this.waiting.length - 1; i >= 0; i--) {
      if (this.waiting[i].id === id) this.waiting.splice(i, 1);
    }
  }

  /** Starts those for which there is room now. */
  advance(): void {
    while (this.waiting.length > 0 && this.waiting[0].canStart()) {
      this.waiting.shift()?.start();
    }
  }
}
