/**
 * Computes the error-budget burn rate of every promise (service-level
 * objective) from the events that all entries have counted.
 */
import type {RuleKind} from '@sassafrasspan/core';
import {mergeHistograms} from '@sassafrasspan/runtime';
import {z} from 'zod';

/**
 * Burn-rate alarms. An alarm is raised when the burn rate of both its short
 * and its long window is at least `burn`. At 14.4 an error budget for 3 d is
 * used up in 5 h.
 */
const ALARMS = [
  {level: 'urgent', short: '5 min', long: '1 h', burn: 14.4},
  {level: 'slow', short: '6 h', long: '3 d', burn: 1},
] as const;

const BUCKET_SCHEMA = z.object({
  startMs: z.number(),
  good: z.number(),
  bad: z.number(),
});

const PROMISE_SCHEMA = z.object({
  id: z.string(),
  kind: z.string(),
  askedBy: z.string(),
  text: z.string(),
  objective: z.number().optional(),
  windows: z.array(
    z.object({
      name: z.string(),
      lengthMs: z.number(),
      bucketMs: z.number(),
      buckets: z.array(BUCKET_SCHEMA),
    }),
  ),
});

/** Schema of the page `/burn` of a node. */
export const BURN_PAGE_SCHEMA = z.object({
  node: z.string(),
  promises: z.array(PROMISE_SCHEMA),
  latencies: z.record(z.string(), z.string()).default({}),
});

/** The page `/burn` of a node. */
export type BurnPage = z.infer<typeof BURN_PAGE_SCHEMA>;

type PagePromise = z.infer<typeof PROMISE_SCHEMA>;
type PageBucket = z.infer<typeof BUCKET_SCHEMA>;

/** Events and burn rate of one promise over one window. */
export interface WindowBurn {
  readonly name: string;
  readonly lengthMs: number;
  readonly bucketMs: number;
  readonly good: number;
  readonly bad: number;
  /**
   * Burn rate: bad events as a multiple of those that the error budget
   * allows. Undefined without events, and when there are bad events but the
   * objective allows none.
   */
  readonly burn: number | undefined;
  readonly buckets: readonly PageBucket[];
}

/** Whether a promise is met over its longest window. */
export type PromiseState = 'kept' | 'broken' | 'no events' | 'not counted';

/** A promise with its state and its burn rate over each window. */
export interface PromiseBurn {
  readonly id: string;
  readonly kind: RuleKind | string;
  readonly askedBy: string;
  readonly text: string;
  readonly objective: number | undefined;
  readonly state: PromiseState;
  /** Level of the raised alarm; empty for none. */
  readonly alarm: string;
  readonly windows: readonly WindowBurn[];
}

/** Latency percentiles of one customer's calls to one service, in ms. */
export interface CallLatency {
  /** The customer and the service. */
  readonly calls: string;
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** The burn rates and latencies of all entries together. */
export interface BurnReport {
  /** Names of the nodes whose counts are included. */
  readonly entries: readonly string[];
  readonly promises: readonly PromiseBurn[];
  readonly latencies: readonly CallLatency[];
}

/**
 * Sums the counts of all entries. Promises with the same id but different
 * texts (revisions of a rule) are reported separately.
 */
export function createBurnReport(pages: readonly BurnPage[]): BurnReport {
  const countingPages = pages.filter(page => page.promises.length > 0);
  const groups = new Map<string, PagePromise[]>();
  for (const promise of countingPages.flatMap(page => page.promises)) {
    const key = `${promise.id} ${promise.text}`;
    groups.set(key, [...(groups.get(key) ?? []), promise]);
  }
  return {
    entries: countingPages.map(page => page.node),
    promises: [...groups.values()].map(mergePromise),
    latencies: mergeLatencies(countingPages),
  };
}

/** Merges the counts of one promise from several entries. */
function mergePromise(promises: readonly PagePromise[]): PromiseBurn {
  const {id, kind, askedBy, text, objective} = promises[0];
  const names = promises[0].windows.map(window => window.name);
  const windows = names.map(name => mergeWindow(name, promises));
  const state = classifyPromise(objective, windows);
  const alarm = findAlarm(windows);
  return {id, kind, askedBy, text, objective, state, alarm, windows};
}

function mergeWindow(
  name: string,
  promises: readonly PagePromise[],
): WindowBurn {
  const sameWindows = promises.flatMap(promise =>
    promise.windows.filter(window => window.name === name),
  );
  const sums = new Map<number, PageBucket>();
  for (const bucket of sameWindows.flatMap(window => window.buckets)) {
    const {startMs} = bucket;
    const sum = sums.get(startMs) ?? {startMs, good: 0, bad: 0};
    const good = sum.good + bucket.good;
    sums.set(startMs, {startMs, good, bad: sum.bad + bucket.bad});
  }
  const buckets = [...sums.values()].sort((a, b) => a.startMs - b.startMs);
  const good = buckets.reduce((sum, bucket) => sum + bucket.good, 0);
  const bad = buckets.reduce((sum, bucket) => sum + bucket.bad, 0);
  const burn = computeBurn(good, bad, promises[0].objective ?? 1);
  const {lengthMs, bucketMs} = sameWindows[0];
  return {name, lengthMs, bucketMs, good, bad, burn, buckets};
}

/**
 * Returns the burn rate: bad events as a multiple of those that the error
 * budget allows. See `WindowBurn.burn` for when it is undefined.
 */
export function computeBurn(
  good: number,
  bad: number,
  objective: number,
): number | undefined {
  if (good + bad === 0) return undefined;
  if (bad === 0) return 0;
  if (objective >= 1) return undefined;
  return bad / (good + bad) / (1 - objective);
}

/** A promise is kept while its longest window is within the error budget. */
function classifyPromise(
  objective: number | undefined,
  windows: readonly WindowBurn[],
): PromiseState {
  if (objective === undefined) return 'not counted';
  const longest = windows.at(-1);
  if (longest === undefined) return 'no events';
  if (longest.good + longest.bad === 0) return 'no events';
  const isKept = longest.burn !== undefined && longest.burn <= 1;
  return isKept ? 'kept' : 'broken';
}

function findAlarm(windows: readonly WindowBurn[]): string {
  const alarm = ALARMS.find(({short, long, burn}) =>
    [short, long].every(name => {
      const window = windows.find(candidate => candidate.name === name);
      if (window === undefined || window.bad === 0) return false;
      return window.burn === undefined || window.burn >= burn;
    }),
  );
  return alarm?.level ?? '';
}

function mergeLatencies(pages: readonly BurnPage[]): CallLatency[] {
  const names = new Set(pages.flatMap(page => Object.keys(page.latencies)));
  return [...names].sort().map(calls => {
    const encoded = pages.flatMap(page => page.latencies[calls] ?? []);
    return {calls, ...mergeHistograms(encoded)};
  });
}
