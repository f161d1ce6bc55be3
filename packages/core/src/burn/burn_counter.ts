/**
 * Counts good and bad events of one promise over several windows. Each window
 * is a ring of buckets aligned to the wall clock, so that the counts of several
 * entries can be added bucket by bucket.
 */

const MS_PER_MINUTE = 60_000;
const MS_PER_HOUR = 3_600_000;
const BUCKETS_PER_WINDOW = 30;

/** A window over which burn is reported. */
export interface BurnWindow {
  readonly name: string;
  readonly lengthMs: number;
}

/** Every window, shortest first. */
export const BURN_WINDOWS: readonly BurnWindow[] = [
  {name: '5 min', lengthMs: 5 * MS_PER_MINUTE},
  {name: '1 h', lengthMs: MS_PER_HOUR},
  {name: '6 h', lengthMs: 6 * MS_PER_HOUR},
  {name: '3 d', lengthMs: 72 * MS_PER_HOUR},
];

/** Events of one bucket of a window. */
export interface BurnBucket {
  /** Start of the bucket, in ms since the Unix epoch. */
  readonly startMs: number;
  readonly good: number;
  readonly bad: number;
}

/** The buckets of one window that hold events, oldest first. */
export interface WindowCount {
  readonly name: string;
  readonly lengthMs: number;
  readonly bucketMs: number;
  readonly buckets: readonly BurnBucket[];
}

/** A bucket whose counts can be increased. */
interface OpenBucket {
  startMs: number;
  good: number;
  bad: number;
}

/** Counts the events of one promise. */
export class BurnCounter {
  private readonly rings = BURN_WINDOWS.map((): OpenBucket[] => []);

  private constructor() {}

  static create(): BurnCounter {
    return new BurnCounter();
  }

  /** Counts events at a wall-clock time in ms. */
  addEvents(good: number, bad: number, nowMs: number): void {
    for (const [index, {lengthMs}] of BURN_WINDOWS.entries()) {
      const bucketMs = lengthMs / BUCKETS_PER_WINDOW;
      const bucket = getCurrentBucket(this.rings[index], bucketMs, nowMs);
      bucket.good += good;
      bucket.bad += bad;
    }
  }

  /** Returns the counts of each window that ends at a wall-clock time in ms. */
  listWindows(nowMs: number): WindowCount[] {
    return BURN_WINDOWS.map(({name, lengthMs}, index) => ({
      name,
      lengthMs,
      bucketMs: lengthMs / BUCKETS_PER_WINDOW,
      buckets: this.rings[index]
        .filter(bucket => bucket.startMs > nowMs - lengthMs)
        .map(bucket => ({...bucket})),
    }));
  }
}

/**
 * Returns the bucket of the current time. Starts it if necessary, in which case
 * the oldest bucket of a full ring is dropped.
 */
function getCurrentBucket(
  ring: OpenBucket[],
  bucketMs: number,
  nowMs: number,
): OpenBucket {
  const startMs = Math.floor(nowMs / bucketMs) * bucketMs;
  const newest = ring.at(-1);
  if (newest !== undefined && newest.startMs >= startMs) return newest;
  const opened = {startMs, good: 0, bad: 0};
  ring.push(opened);
  if (ring.length > BUCKETS_PER_WINDOW) ring.shift();
  return opened;
}
