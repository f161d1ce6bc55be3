/**
 * What an entry has learnt of endpoints from its own dispatches: load since
 * the last report, speed, failures in a row, and recent returns.
 */
import type {EndpointView} from '../membership/fleet_view';

const LATENCY_SMOOTHING = 0.1;
const MIN_LATENCIES = 5;
/** Latency not renewed for this long is forgotten, so that a slow endpoint is
 * tried again. */
const LATENCY_LIFE_MS = 3_000;
/** Relative slowness below this is taken for noise. */
const SLOWNESS_THRESHOLD = 1.5;
const EJECTION_FAILURES = 3;
const EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
/** At most this share of a pool is ejected. */
const MAX_EJECTED_SHARE = 0.5;
const WARM_UP_MS = 10_000;
const MIN_WARMTH = 0.2;

/** An endpoint with what the entry makes of it. */
export interface RouteCandidate {
  readonly endpoint: EndpointView;
  /** Estimated running and waiting requests. */
  readonly work: number;
  /** Time that work takes relative to the pool, 1 for the usual. */
  readonly slowness: number;
  /** Whether failures in a row took the endpoint out for a while. */
  readonly isEjected: boolean;
  /** Share of its load that a returning endpoint gets, up to 1. */
  readonly warmth: number;
}

/** How an attempt ended, as far as it tells something of its endpoint. */
export type AttemptVerdict = 'whole' | 'failed' | 'neutral';

/** What is remembered of one endpoint. */
interface EndpointMemory {
  incarnation: string;
  tick: number;
  /** Outstanding requests when the newest report arrived. */
  outstandingAtReport: number;
  /** Smoothed time an attempt, in ms for an expected token. */
  latencyMs: number;
  latencies: number;
  latencyAtMs: number;
  tokensPerSecond: number;
  failures: number;
  ejections: number;
  ejectedUntilMs: number;
  /** When a new life of the endpoint was first seen; undefined at start. */
  returnedAtMs: number | undefined;
}

/** Tracks the endpoints that an entry sends requests to. */
export class EndpointTracker {
  private readonly memories = new Map<string, EndpointMemory>();

  private constructor() {}

  /** Builds a tracker that knows nothing. */
  static create(): EndpointTracker {
    return new EndpointTracker();
  }

  /** Notes the end of an attempt and the time it took for an expected token. */
  recordEnd(
    endpoint: string,
    verdict: AttemptVerdict,
    latencyMs: number,
    nowMs: number,
  ): void {
    const memory = this.memories.get(endpoint);
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
      work: estimateWork(endpoint, memory),
      slowness: computeSlowness(memory, latency, speed),
      isEjected: ejected.has(memory),
      warmth: computeWarmth(memory, nowMs),
    }));
  }

  /** Takes in a report; a new life of a known endpoint is a return. */
  private observeEndpoint(
    endpoint: EndpointView,
    nowMs: number,
  ): EndpointMemory {
    const known = this.memories.get(endpoint.name);
    if (known === undefined || known.incarnation !== endpoint.incarnation) {
      const returnedAtMs = known === undefined ? undefined : nowMs;
      const memory = createMemory(endpoint, returnedAtMs);
      this.memories.set(endpoint.name, memory);
      return memory;
    }
    if (nowMs - known.latencyAtMs > LATENCY_LIFE_MS) known.latencies = 0;
    if (known.tick !== endpoint.tick) {
      known.tick = endpoint.tick;
      known.outstandingAtReport = endpoint.outstanding;
      if (endpoint.tokensPerSecond > 0) {
        known.tokensPerSecond = endpoint.tokensPerSecond;
      }
    }
    return known;
  }
}

function createMemory(
  endpoint: EndpointView,
  returnedAtMs: number | undefined,
): EndpointMemory {
  return {
    incarnation: endpoint.incarnation,
    tick: endpoint.tick,
    outstandingAtReport: endpoint.outstanding,
    latencyMs: 0,
    latencies: 0,
    latencyAtMs: 0,
    tokensPerSecond: endpoint.tokensPerSecond,
    failures: 0,
    ejections: 0,
    ejectedUntilMs: 0,
    returnedAtMs,
  };
}

/** Corrects the last report by own requests sent and ended since then. */
function estimateWork(endpoint: EndpointView, memory: EndpointMemory): number {
  const reported = endpoint.running + endpoint.queued;
  const change = endpoint.outstanding - memory.outstandingAtReport;
  return Math.max(reported + change, endpoint.outstanding);
}

function recordLatency(
  memory: EndpointMemory,
  latencyMs: number,
  nowMs: number,
): void {
  memory.latencyAtMs = nowMs;
  memory.failures = 0;
  memory.ejections = 0;
  memory.latencies += 1;
  const weight = Math.max(LATENCY_SMOOTHING, 1 / memory.latencies);
  memory.latencyMs += weight * (latencyMs - memory.latencyMs);
}

function recordFailure(memory: EndpointMemory, nowMs: number): void {
  memory.failures += 1;
  if (memory.failures < EJECTION_FAILURES) return;
  memory.failures = 0;
  const lengthMs = EJECTION_MS * 2 ** memory.ejections;
  memory.ejections += 1;
  memory.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, lengthMs);
}

/** Selects the ejected, the longest ejections first, down to the floor. */
function selectEjected(
  memories: readonly EndpointMemory[],
  nowMs: number,
): ReadonlySet<EndpointMemory> {
  const ejected = memories
    .filter(memory => memory.ejectedUntilMs > nowMs)
    .sort((a, b) => b.ejectedUntilMs - a.ejectedUntilMs);
  const limit = Math.floor(memories.length * MAX_EJECTED_SHARE);
  return new Set(ejected.slice(0, limit));
}

function hasLatency(memory: EndpointMemory): boolean {
  return memory.latencies >= MIN_LATENCIES;
}

/** The reported speed of an engine goes before measured latency. */
function computeSlowness(
  memory: EndpointMemory,
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

function computeWarmth(memory: EndpointMemory, nowMs: number): number {
  if (memory.returnedAtMs === undefined) return 1;
  const share = (nowMs - memory.returnedAtMs) / WARM_UP_MS;
  return Math.min(1, Math.max(MIN_WARMTH, share));
}

/** Returns the lower median; 0 without values. */
function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1] ?? 0;
}
