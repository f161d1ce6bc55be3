/**
 * Tracks the burn of the targets in the operator's configuration, by route:
 * answers within the target latency and results of batch jobs within the run
 * deadline. Each node counts its own events; the burn report sums the counts of
 * all nodes.
 */
import type {ErrorKind} from '../errors/error_kinds';
import {BurnCounter, WindowCount} from './burn_counter';
import {isCallerFault} from './caller_faults';

/**
 * Share of events that must be good. The configuration has times but no
 * shares, so this is the percentile of most latency rules in `examples/`.
 */
const ROUTE_OBJECTIVE = 0.99;
/** Maximum number of promises, which bounds the memory used for routes. Events
 * of further promises are ignored. */
const MAX_PROMISES = 400;

/** Events of a route that are counted. */
export type RoutePromiseKind = 'latency' | 'results';

/** A promise of a route and its event counts. */
export interface RoutePromiseCount {
  readonly id: string;
  readonly kind: RoutePromiseKind;
  readonly askedBy: string;
  readonly text: string;
  readonly objective: number;
  readonly windows: readonly WindowCount[];
}

/** Descriptions for operators; the bound is in ms. Reports merge the counts of
 * several nodes by id and text, so builds that run together must use the same
 * texts. */
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

/** Counts the events of all routes. */
export class RouteBurnTracker {
  private readonly promises = new Map<string, TrackedPromise>();

  private constructor() {}

  static create(): RouteBurnTracker {
    return new RouteBurnTracker();
  }

  /**
   * Counts a completed request, unless it failed through a fault of its caller.
   * `nowMs` is Unix time.
   */
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

  /**
   * Counts results that were appended together to the result log of their job,
   * `tookMs` after the job was accepted. `runDeadlineMs` also counts from the
   * acceptance of the job. `nowMs` is Unix time.
   */
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

  /** Lists the promises that have had events, sorted by route. */
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
