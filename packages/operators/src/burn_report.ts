/**
 * Burn of every promise: the events that all entries have counted, added up
 * bucket by bucket and set against the promise's error budget.
 */
import type {RuleKind} from '@sassafrasspan/core';
import {mergeHistograms} from '@sassafrasspan/runtime';
import {z} from 'zod';

/**
 * Alarms on burn: both windows must burn at least this many times as fast as
 * the budget allows. A budget that lasts 3 d is gone in 5 h at 14.4.
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

/** Schema of a node's page of promises. */
export const BURN_PAGE_SCHEMA = z.object({
  node: z.string(),
  promises: z.array(PROMISE_SCHEMA),
  latencies: z.record(z.string(), z.string()).default({}),
});

/** A node's page of promises. */
export type BurnPage = z.infer<typeof BURN_PAGE_SCHEMA>;

type PagePromise = z.infer<typeof PROMISE_SCHEMA>;
type PageBucket = z.infer<typeof BUCKET_SCHEMA>;

/** Burn of one promise over one window. */
export interface WindowBurn {
  readonly name: string;
  readonly lengthMs: number;
  readonly bucketMs: number;
  readonly good: number;
  readonly bad: number;
  /**
   * Bad events as a multiple of those that the budget allows; undefined
   * without events, or when the promise allows none and some are bad.
   */
  readonly burn: number | undefined;
  readonly buckets: readonly PageBucket[];
}

/** How a promise stands. */
export type PromiseState = 'kept' | 'broken' | 'no events' | 'not counted';

/** One promise in the report. */
export interface PromiseBurn {
  readonly id: string;
  readonly kind: RuleKind | string;
  readonly askedBy: string;
  readonly text: string;
  readonly objective: number | undefined;
  readonly state: PromiseState;
  /** Level of the alarm that the burn raises; empty for none. */
  readonly alarm: string;
  readonly windows: readonly WindowBurn[];
}

/** Percentiles of one customer's calls to one service, in ms. */
export interface CallLatency {
  readonly calls: string;
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** The whole report. */
export interface BurnReport {
  readonly entries: readonly string[];
  readonly promises: readonly PromiseBurn[];
  readonly latencies: readonly CallLatency[];
}

/** Adds up the pages of all entries. */
export function createBurnReport(pages: readonly BurnPage[]): BurnReport {
  const counting = pages.filter(page => page.promises.length > 0);
  const groups = new Map<string, PagePromise[]>();
  for (const promise of counting.flatMap(page => page.promises)) {
    const key = `${promise.id} ${promise.text}`;
    groups.set(key, [...(groups.get(key) ?? []), promise]);
  }
  return {
    entries: counting.map(page => page.node),
    promises: [...groups.values()].map(mergePromise),
    latencies: mergeLatencies(counting),
  };
}

function mergePromise(parts: readonly PagePromise[]): PromiseBurn {
  const {id, kind, askedBy, text, objective} = parts[0];
  const names = parts[0].windows.map(window => window.name);
  const windows = names.map(name => mergeWindow(name, parts));
  const state = classifyPromise(objective, windows);
  const alarm = findAlarm(windows);
  return {id, kind, askedBy, text, objective, state, alarm, windows};
}

function mergeWindow(name: string, parts: readonly PagePromise[]): WindowBurn {
  const same = parts.flatMap(part =>
    part.windows.filter(window => window.name === name),
  );
  const sums = new Map<number, PageBucket>();
  for (const bucket of same.flatMap(window => window.buckets)) {
    const {startMs} = bucket;
    const sum = sums.get(startMs) ?? {startMs, good: 0, bad: 0};
    const good = sum.good + bucket.good;
    sums.set(startMs, {startMs, good, bad: sum.bad + bucket.bad});
  }
  const buckets = [...sums.values()].sort((a, b) => a.startMs - b.startMs);
  const good = buckets.reduce((sum, bucket) => sum + bucket.good, 0);
  const bad = buckets.reduce((sum, bucket) => sum + bucket.bad, 0);
  const burn = computeBurn(good, bad, parts[0].objective ?? 1);
  const {lengthMs, bucketMs} = same[0];
  return {name, lengthMs, bucketMs, good, bad, burn, buckets};
}

/** Returns bad events as a multiple of those that the budget allows. */
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

/** A promise is kept while its longest window holds within the budget. */
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
  const raised = ALARMS.find(({short, long, burn}) =>
    [short, long].every(name => {
      const window = windows.find(item => item.name === name);
      if (window === undefined || window.bad === 0) return false;
      return window.burn === undefined || window.burn >= burn;
    }),
  );
  return raised?.level ?? '';
}

function mergeLatencies(pages: readonly BurnPage[]): CallLatency[] {
  const names = new Set(pages.flatMap(page => Object.keys(page.latencies)));
  return [...names].sort().map(calls => {
    const encoded = pages.flatMap(page => page.latencies[calls] ?? []);
    return {calls, ...mergeHistograms(encoded)};
  });
}
