/** The clocks of the running process. */
import type {Clock} from '@sassafrasspan/core';

/** Clock of this process. */
export const SYSTEM_CLOCK: Clock = {
  readMonotonicMs: () => Math.floor(performance.now()),
  readWallMs: () => Date.now(),
};

/** Waits for a time in ms. */
export function waitMs(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
