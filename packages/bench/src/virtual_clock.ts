/** Virtual clock that runs scheduled actions in the order of their times. */
import type {Clock} from '@sassafrasspan/core';

/** An action that does not run if `isCancelled` is set before its time. */
export interface ScheduledAction {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
  isCancelled: boolean;
}

/**
 * Clock of a simulation, starting at 0. Actions due at the same time run in the
 * order in which they were scheduled.
 */
export class VirtualClock implements Clock {
  private readonly heap: ScheduledAction[] = [];
  private nowMs = 0;
  private sequence = 0;

  private constructor() {}

  static create(): VirtualClock {
    return new VirtualClock();
  }

  readMonotonicMs(): number {
    return this.nowMs;
  }

  readWallMs(): number {
    return this.nowMs;
  }

  /** Schedules an action; a negative delay counts as 0. */
  schedule(delayMs: number, run: () => void): ScheduledAction {
    const atMs = this.nowMs + Math.max(0, delayMs);
    this.sequence += 1;
    const action = {atMs, sequence: this.sequence, run, isCancelled: false};
    this.addAction(action);
    return action;
  }

  /** Schedules an action at each interval until the simulation ends. */
  repeat(intervalMs: number, run: () => void): void {
    this.schedule(intervalMs, () => {
      run();
      this.repeat(intervalMs, run);
    });
  }

  /** Runs all actions due until `endMs`, and sets the clock to that time. */
  runUntil(endMs: number): void {
    while (this.heap.length > 0 && this.heap[0].atMs <= endMs) {
      const action = this.takeFirst();
      this.nowMs = action.atMs;
      if (!action.isCancelled) action.run();
    }
    this.nowMs = endMs;
  }

  private addAction(action: ScheduledAction): void {
    const {heap} = this;
    let index = heap.length;
    heap.push(action);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (compareActions(heap[parent], action) <= 0) break;
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = action;
  }

  private takeFirst(): ScheduledAction {
    const {heap} = this;
    const first = heap[0];
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      const hasRight = right < heap.length;
      if (hasRight && compareActions(heap[right], heap[child]) < 0) {
        child = right;
      }
      if (compareActions(last, heap[child]) <= 0) break;
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = last;
    return first;
  }
}

function compareActions(a: ScheduledAction, b: ScheduledAction): number {
  return a.atMs - b.atMs || a.sequence - b.sequence;
}
