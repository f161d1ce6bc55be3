/**
 * What an entry has learnt of endpoints from its own dispatches: load since
 * the last report, speed, failures in a row, and recent returns.
 */
import type {EndpointView} from '../membership/fleet_view';

const LATENCY_SMOOTHING = 0.1;
const MIN_LATENCY_COUNT = 5;
/** Latency not renewed for this long is forgotten, so that a slow endpoint is
 * tried again. */
const LATENCY_RETENTION_MS = 3_000;
/** Relative slowness below this is taken for noise. */
const SLOWNESS_THRESHOLD = 1.5;
const EJECTION_FAILURES = 3;
const EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
/** At most this share of a pool is ejected. */
const MAX_EJECTED_SHARE = 0.5;
const WARM_UP_MS = 10_000;
const MIN_WARM_UP_FACTOR = 0.2;

/** An endpoint with what the entry makes of it. */
export interface RouteCandidate {
  readonly endpoint: EndpointView;
  /** Estimated running and waiting requests. */
  readonly load: number;
  /** Time that work takes relative to the pool, 1 for the usual. */
  readonly slowness: number;
  /** Whether failures in a row took the endpoint out for a while. */
  readonly isEjected: boolean;
  /** Share of its load that a returning endpoint gets, up to 1. */
  readonly warmUpFactor: number;
}

/** How an attempt ended, as far as it tells something of its endpoint. */
export type AttemptResult = 'whole' | 'failed' | 'neutral';

/** What is remembered of one endpoint. */
interface EndpointStats {
  incarnation: string;
  reportTick: number;
  /** Outstanding requests when the newest report arrived. */
  outstandingAtReport: number;
  /** Smoothed time an attempt, in ms for an expected token. */
  latencyMs: number;
  latencyCount: number;
  latencyAtMs: number;
  tokensPerSecond: number;
  consecutiveFailures: number;
  consecutiveEjections: number;
  ejectedUntilMs: number;
  /** When a new life of the endpoint was first seen; undefined at start. */
  returnedAtMs: number | undefined;
}

/** Tracks the endpoints that an entry sends requests to. */
export class EndpointTracker {
  private readonly statsByEndpoint = new Map<string, EndpointStats>();

  private constructor() {}

  /** Builds a tracker that knows nothing. */
  static create(): EndpointTracker {
    return new EndpointTracker();
  }

  /** Notes the end of an attempt and the time it took for an expected token. */
  recordEnd(
    endpoint: string,
    verdict: AttemptResult,
    latencyMs: number,
    nowMs: number,
  ): void {
    const memory = this.statsByEndpoint.get(endpoint);
    if (memory === undefined) return;
    if (verdict === 'whole') recordLatency(memory, latencyMs, nowMs);
    if (verdict === 'failed') recordFailure(memory, nowMs);
  }

  /** Describes the endpoints of a pool for a choice. */
  createCandidates(
    endpoints: readonly EndpointView[],
    nowMs: number,
  ): RouteCandidate[] {
    const items = endpoints.map(endpoint => ({
      endpoint,
      memory: this.observeEndpoint(endpoint, nowMs),
    }));
    const memories = items.map(item => item.memory);
    const ejected = selectEjected(memories, nowMs);
    const latency = computeMedian(
      memories.filter(hasLatency).map(memory => memory.latencyMs),
    );
    const speed = computeMedian(
      memories
        .map(memory => memory.tokensPerSecond)
        .filter(tokensPerSecond => tokensPerSecond > 0),
    );
    return items.map(({endpoint, memory}) => ({
      endpoint,
      load: estimateLoad(endpoint, memory),
      slowness: computeSlowness(memory, latency, speed),
      isEjected: ejected.has(memory),
      warmUpFactor: computeWarmUpFactor(memory, nowMs),
    }));
  }

  /** Takes in a report; a new life of a known endpoint is a return. */
  private observeEndpoint(
    endpoint: EndpointView,
    nowMs: number,
  ): EndpointStats {
    const known = this.statsByEndpoint.get(endpoint.name);
    if (known === undefined || known.incarnation !== endpoint.incarnation) {
      const returnedAtMs = known === undefined ? undefined : nowMs;
      const memory = createStats(endpoint, returnedAtMs);
      this.statsByEndpoint.set(endpoint.name, memory);
      return memory;
    }
    if (nowMs - known.latencyAtMs > LATENCY_RETENTION_MS) {
      known.latencyCount = 0;
    }
    if (known.reportTick !== endpoint.tick) {
      known.reportTick = endpoint.tick;
      known.outstandingAtReport = endpoint.outstanding;
      if (endpoint.tokensPerSecond > 0) {
        known.tokensPerSecond = endpoint.tokensPerSecond;
      }
    }
    return known;
  }
}

function createStats(
  endpoint: EndpointView,
  returnedAtMs: number | undefined,
): EndpointStats {
  return {
    incarnation: endpoint.incarnation,
    reportTick: endpoint.tick,
    outstandingAtReport: endpoint.outstanding,
    latencyMs: 0,
    latencyCount: 0,
    latencyAtMs: 0,
    tokensPerSecond: endpoint.tokensPerSecond,
    consecutiveFailures: 0,
    consecutiveEjections: 0,
    ejectedUntilMs: 0,
    returnedAtMs,
  };
}

/** Corrects the last report by own requests sent and ended since then. */
function estimateLoad(endpoint: EndpointView, memory: EndpointStats): number {
  const reported = endpoint.running + endpoint.queued;
  const change = endpoint.outstanding - memory.outstandingAtReport;
  return Math.max(reported + change, endpoint.outstanding);
}

function recordLatency(
  memory: EndpointStats,
  latencyMs: number,
  nowMs: number,
): void {
  memory.latencyAtMs = nowMs;
  memory.consecutiveFailures = 0;
  memory.consecutiveEjections = 0;
  memory.latencyCount += 1;
  const weight = Math.max(LATENCY_SMOOTHING, 1 / memory.latencyCount);
  memory.latencyMs += weight * (latencyMs - memory.latencyMs);
}

function recordFailure(memory: EndpointStats, nowMs: number): void {
  memory.consecutiveFailures += 1;
  if (memory.consecutiveFailures < EJECTION_FAILURES) return;
  memory.consecutiveFailures = 0;
  const lengthMs = EJECTION_MS * 2 ** memory.consecutiveEjections;
  memory.consecutiveEjections += 1;
  memory.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, lengthMs);
}

/** Selects the ejected, the longest ejections first, down to the floor. */
function selectEjected(
  memories: readonly EndpointStats[],
  nowMs: number,
): ReadonlySet<EndpointStats> {
  const ejected = memories
    .filter(memory => memory.ejectedUntilMs > nowMs)
    .sort((a, b) => b.ejectedUntilMs - a.ejectedUntilMs);
  const limit = Math.floor(memories.length * MAX_EJECTED_SHARE);
  return new Set(ejected.slice(0, limit));
}

function hasLatency(memory: EndpointStats): boolean {
  return memory.latencyCount >= MIN_LATENCY_COUNT;
}

/** The reported speed of an engine goes before measured latency. */
function computeSlowness(
  memory: EndpointStats,
  poolLatencyMs: number,
  poolSpeed: number,
): number {
  const {tokensPerSecond} = memory;
  if (tokensPerSecond > 0) {
    return dropNoise(poolSpeed / tokensPerSecond);
  }
  if (!hasLatency(memory) || poolLatencyMs === 0) return 1;
  return dropNoise(memory.latencyMs / poolLatencyMs);
}

function dropNoise(slowness: number): number {
  return slowness < SLOWNESS_THRESHOLD ? 1 : slowness;
}

function computeWarmUpFactor(memory: EndpointStats, nowMs: number): number {
  if (memory.returnedAtMs === undefined) return 1;
  const share = (nowMs - memory.returnedAtMs) / WARM_UP_MS;
  return Math.min(1, Math.max(MIN_WARM_UP_FACTOR, share));
}

/** Returns the lower median; 0 without values. */
function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1] ?? 0;
}
