/**
 * Sources of time and randomness. They are passed in everywhere, so that tests
 * control both.
 */

/** Reads the current time. */
export interface Clock {
  /** Monotonic time in ms since an arbitrary origin. */
  readMonotonicMs(): number;
  /** Wall-clock time in ms since the Unix epoch. */
  readWallMs(): number;
}

/** Runs tasks after a delay. */
export interface Scheduler {
  /** Schedules a task and returns a function that cancels it. */
  schedule(delayMs: number, task: () => void): () => void;
}

/**
 * Runs a task repeatedly, with an interval in ms before each run. Returns a
 * function that stops it.
 */
export function repeatTask(
  scheduler: Scheduler,
  intervalMs: number,
  task: () => void,
): () => void {
  let isStopped = false;
  let cancelTimer: () => void;
  const runTask = () => {
    task();
    if (!isStopped) cancelTimer = scheduler.schedule(intervalMs, runTask);
  };
  cancelTimer = scheduler.schedule(intervalMs, runTask);
  return () => {
    isStopped = true;
    cancelTimer();
  };
}

/** A source of uniform numbers in [0, 1). */
export type RandomSource = () => number;

const SEED_STEP = 0x6d2b79f5;
const UINT32_RANGE = 4_294_967_296;

/** Creates a seeded uniform source (mulberry32). */
export function createRandomSource(seed: number): RandomSource {
  let state = seed >>> 0;
  return () => {
    state = (state + SEED_STEP) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  };
}
