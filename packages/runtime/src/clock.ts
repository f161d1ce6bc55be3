/** Clock and timers of the running process. */
import type {Clock, Scheduler} from '@sassafrasspan/core';

/** Monotonic clock in whole ms since process start, and wall clock. */
export const SYSTEM_CLOCK: Clock = {
  readMonotonicMs: () => Math.floor(performance.now()),
  readWallMs: () => Date.now(),
};

/** Scheduler on Node's timers; the returned function cancels the task. */
export const SYSTEM_SCHEDULER: Scheduler = {
  schedule: (delayMs, task) => {
    const timer = setTimeout(task, delayMs);
    return () => clearTimeout(timer);
  },
};

/** Resolves after a delay. */
export function waitMs(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
