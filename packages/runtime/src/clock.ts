/** The clocks of the running process. */
import type {Clock, Scheduler} from '@sassafrasspan/core';

/** Clock of this process. */
export const SYSTEM_CLOCK: Clock = {
  readMonotonicMs: () => Math.floor(performance.now()),
  readWallMs: () => Date.now(),
};

/** Timers of this process. */
export const SYSTEM_SCHEDULER: Scheduler = {
  schedule: (delayMs, task) => {
    const timer = setTimeout(task, delayMs);
    return () => clearTimeout(timer);
  },
};

/** Waits for a time in ms. */
export function waitMs(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
