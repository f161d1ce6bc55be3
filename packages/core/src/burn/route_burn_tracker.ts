/**
 * Burn of what an operator's configuration aims at, by route: answers within
 * the target latency, and results of batch jobs within the run deadline. Each
 * node counts what it sees; the report adds the nodes up.
 */
import type {ErrorKind} from '../errors/error_kinds';
import {BurnCounter, WindowCount} from './burn_counter';
import {isCallerFault} from './caller_faults';

/** Share of events that must be good, as the latency rules of the examples
 * promise it; the configuration names times and no share. */
const ROUTE_OBJECTIVE = 0.99;
/** Promises that are counted; further ones are left out, so that many routes
 * do not fill the memory. */
const MAX_PROMISES = 400;

/** What is counted of a route. */
export type RoutePromiseKind = 'latency' | 'results';

/** A promise of a route with its events. */
export interface RoutePromiseCount {
  readonly id: string;
  readonly kind: RoutePromiseKind;
  readonly askedBy: string;
  readonly text: string;
  readonly objective: number;
  readonly windows: readonly WindowCount[];
}

/** Describes a promise by its bound in ms. */
const TEXTS: Readonly<Record<RoutePromiseKind, (boundMs: number) => string>> = {
  latency: boundMs => `99% of requests are answered within ${boundMs} ms`,
  results: boundMs => `99% of results are listed within ${boundMs} ms`,
};

interface TrackedPromise {
  readonly route: string;
  readonly kind: RoutePromiseKind;
  readonly boundMs: number;
  readonly counter: BurnCounter;
}

/** Counters of routes. */
export class RouteBurnTracker {
  private readonly promises = new Map<string, TrackedPromise>();

  private constructor() {}

  /** Builds counters without events. */
  static create(): RouteBurnTracker {
    return new RouteBurnTracker();
  }

  /** Counts a request that has ended; one that its caller is to blame for is
   * left out. `nowMs` is Unix time. */
  recordCall(
    route: string,
    targetLatencyMs: number,
    tookMs: number,
    kind: ErrorKind | undefined,
    nowMs: number,
  ): void {
    if (isCallerFault(kind)) return;
    const isGood = kind === undefined && tookMs <= targetLatencyMs;
    this.addEvent(route, 'latency', targetLatencyMs, isGood, 1, nowMs);
  }

  /** Counts results that were listed at once, some time after their job was
   * accepted. `nowMs` is Unix time. */
  recordResults(
    route: string,
    runDeadlineMs: number,
    tookMs: number,
    count: number,
    nowMs: number,
  ): void {
    const isGood = tookMs <= runDeadlineMs;
    this.addEvent(route, 'results', runDeadlineMs, isGood, count, nowMs);
  }

  private addEvent(
    route: string,
    kind: RoutePromiseKind,
    boundMs: number,
    isGood: boolean,
    count: number,
    nowMs: number,
  ): void {
    const key = `${route} ${kind} ${boundMs}`;
    let promise = this.promises.get(key);
    if (promise === undefined) {
      if (this.promises.size >= MAX_PROMISES) return;
      promise = {route, kind, boundMs, counter: BurnCounter.create()};
      this.promises.set(key, promise);
    }
    promise.counter.addEvents(isGood ? count : 0, isGood ? 0 : count, nowMs);
  }

  /** Lists the promises that had events, by route. */
  listPromises(nowMs: number): RoutePromiseCount[] {
    return [...this.promises.values()]
      .sort((a, b) => (a.route < b.route ? -1 : 1))
      .map(({route, kind, boundMs, counter}) => ({
        id: `${route}-${kind}`,
        kind,
        askedBy: 'configuration',
        text: TEXTS[kind](boundMs),
        objective: ROUTE_OBJECTIVE,
        windows: counter.listWindows(nowMs),
      }));
  }
}
