/**
 * Tracks endpoints at an entry by the results of the entry's own dispatches:
 * load since the last report, speed, consecutive failures and recent restarts.
 * It covers endpoints behind agents that send heartbeats; the endpoint selector
 * of `calls/` chooses among endpoints that entries call directly.
 */
import type {EndpointView} from '../membership/fleet_view';

const LATENCY_SMOOTHING = 0.1;
const MIN_LATENCY_COUNT = 5;
/**
 * A measured latency expires after this time without a new measurement, so that
 * a slow endpoint is tried again.
 */
const LATENCY_RETENTION_MS = 3_000;
/** Relative slowness below this is treated as noise. */
const SLOWNESS_THRESHOLD = 1.5;
const EJECTION_FAILURES = 3;
const EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
/** Maximum share of a pool that may be ejected at once. */
const MAX_EJECTED_SHARE = 0.5;
/** Time over which the load of a restarted endpoint rises to its full share. */
const WARM_UP_MS = 10_000;
const MIN_WARM_UP_FACTOR = 0.2;

/** An endpoint with the entry's estimates of its load and speed. */
export interface EndpointCandidate {
  readonly endpoint: EndpointView;
  /** Estimated running and waiting requests. */
  readonly load: number;
  /** Time that work takes, relative to the median of the pool. */
  readonly slowness: number;
  /** Whether the endpoint is excluded after consecutive failures. */
  readonly isEjected: boolean;
  /** Usable share of the slots: rises to 1 after a restart of the endpoint. */
  readonly warmUpFactor: number;
}

/**
 * How an attempt ended: with a complete answer (`whole`), by a failure of the
 * endpoint, or in a way that shows nothing about the endpoint (`neutral`).
 */
export type AttemptResult = 'whole' | 'failed' | 'neutral';

/** Measurements of one endpoint during its current incarnation. */
interface EndpointStats {
  incarnation: string;
  /** Agent time of the newest report. */
  reportTick: number;
  /** This entry's outstanding requests when the newest report arrived. */
  outstandingAtReport: number;
  /** Smoothed time of an attempt, in ms per expected token. */
  msPerToken: number;
  latencyCount: number;
  latencyAtMs: number;
  tokensPerSecond: number;
  consecutiveFailures: number;
  consecutiveEjections: number;
  ejectedUntilMs: number;
  /** When a restart was first seen; undefined for the first incarnation. */
  restartedAtMs: number | undefined;
}

/** Tracks the endpoints that an entry sends requests to. */
export class EndpointTracker {
  private readonly statsByEndpoint = new Map<string, EndpointStats>();

  private constructor() {}

  static create(): EndpointTracker {
    return new EndpointTracker();
  }

  /** Records the end of an attempt; `msPerToken` is per expected token. */
  recordEnd(
    endpoint: string,
    result: AttemptResult,
    msPerToken: number,
    nowMs: number,
  ): void {
    const stats = this.statsByEndpoint.get(endpoint);
    if (stats === undefined) return;
    if (result === 'whole') recordLatency(stats, msPerToken, nowMs);
    if (result === 'failed') recordFailure(stats, nowMs);
  }

  /** Estimates the load and speed of the endpoints of a pool. */
  createCandidates(
    endpoints: readonly EndpointView[],
    nowMs: number,
  ): EndpointCandidate[] {
    const pool = endpoints.map(endpoint => ({
      endpoint,
      stats: this.observeEndpoint(endpoint, nowMs),
    }));
    const poolStats = pool.map(({stats}) => stats);
    const ejected = selectEjected(poolStats, nowMs);
    const poolMsPerToken = computeMedian(
      poolStats.filter(hasLatency).map(stats => stats.msPerToken),
    );
    const poolSpeed = computeMedian(
      poolStats
        .map(stats => stats.tokensPerSecond)
        .filter(tokensPerSecond => tokensPerSecond > 0),
    );
    return pool.map(({endpoint, stats}) => ({
      endpoint,
      load: estimateLoad(endpoint, stats),
      slowness: computeSlowness(stats, poolMsPerToken, poolSpeed),
      isEjected: ejected.has(stats),
      warmUpFactor: computeWarmUpFactor(stats, nowMs),
    }));
  }

  /**
   * Updates the measurements of an endpoint from its newest report. A new
   * incarnation of a known endpoint is a restart and resets them.
   */
  private observeEndpoint(
    endpoint: EndpointView,
    nowMs: number,
  ): EndpointStats {
    const stats = this.statsByEndpoint.get(endpoint.name);
    if (stats === undefined || stats.incarnation !== endpoint.incarnation) {
      const restartedAtMs = stats === undefined ? undefined : nowMs;
      const newStats = createStats(endpoint, restartedAtMs);
      this.statsByEndpoint.set(endpoint.name, newStats);
      return newStats;
    }
    if (nowMs - stats.latencyAtMs > LATENCY_RETENTION_MS) {
      stats.latencyCount = 0;
    }
    if (stats.reportTick !== endpoint.tick) {
      stats.reportTick = endpoint.tick;
      stats.outstandingAtReport = endpoint.outstanding;
      if (endpoint.tokensPerSecond > 0) {
        stats.tokensPerSecond = endpoint.tokensPerSecond;
      }
    }
    return stats;
  }
}

function createStats(
  endpoint: EndpointView,
  restartedAtMs: number | undefined,
): EndpointStats {
  return {
    incarnation: endpoint.incarnation,
    reportTick: endpoint.tick,
    outstandingAtReport: endpoint.outstanding,
    msPerToken: 0,
    latencyCount: 0,
    latencyAtMs: 0,
    tokensPerSecond: endpoint.tokensPerSecond,
    consecutiveFailures: 0,
    consecutiveEjections: 0,
    ejectedUntilMs: 0,
    restartedAtMs,
  };
}

/**
 * Corrects the load of the last report by the requests that this entry has sent
 * and finished since.
 */
function estimateLoad(endpoint: EndpointView, stats: EndpointStats): number {
  const reported = endpoint.running + endpoint.queued;
  const change = endpoint.outstanding - stats.outstandingAtReport;
  return Math.max(reported + change, endpoint.outstanding);
}

function recordLatency(
  stats: EndpointStats,
  msPerToken: number,
  nowMs: number,
): void {
  stats.latencyAtMs = nowMs;
  stats.consecutiveFailures = 0;
  stats.consecutiveEjections = 0;
  stats.latencyCount += 1;
  const weight = Math.max(LATENCY_SMOOTHING, 1 / stats.latencyCount);
  stats.msPerToken += weight * (msPerToken - stats.msPerToken);
}

/** Ejects the endpoint for a time that doubles with each ejection in a row. */
function recordFailure(stats: EndpointStats, nowMs: number): void {
  stats.consecutiveFailures += 1;
  if (stats.consecutiveFailures < EJECTION_FAILURES) return;
  stats.consecutiveFailures = 0;
  const durationMs = EJECTION_MS * 2 ** stats.consecutiveEjections;
  stats.consecutiveEjections += 1;
  stats.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, durationMs);
}

/**
 * Selects the endpoints that stay ejected, at most `MAX_EJECTED_SHARE` of the
 * pool: those whose ejections end last.
 */
function selectEjected(
  poolStats: readonly EndpointStats[],
  nowMs: number,
): ReadonlySet<EndpointStats> {
  const ejected = poolStats
    .filter(stats => stats.ejectedUntilMs > nowMs)
    .sort((a, b) => b.ejectedUntilMs - a.ejectedUntilMs);
  const limit = Math.floor(poolStats.length * MAX_EJECTED_SHARE);
  return new Set(ejected.slice(0, limit));
}

function hasLatency(stats: EndpointStats): boolean {
  return stats.latencyCount >= MIN_LATENCY_COUNT;
}

/** Prefers the speed that an engine reports to the measured latency. */
function computeSlowness(
  stats: EndpointStats,
  poolMsPerToken: number,
  poolSpeed: number,
): number {
  const {tokensPerSecond} = stats;
  if (tokensPerSecond > 0) {
    return dropNoise(poolSpeed / tokensPerSecond);
  }
  if (!hasLatency(stats) || poolMsPerToken === 0) return 1;
  return dropNoise(stats.msPerToken / poolMsPerToken);
}

function dropNoise(slowness: number): number {
  return slowness < SLOWNESS_THRESHOLD ? 1 : slowness;
}

function computeWarmUpFactor(stats: EndpointStats, nowMs: number): number {
  if (stats.restartedAtMs === undefined) return 1;
  const share = (nowMs - stats.restartedAtMs) / WARM_UP_MS;
  return Math.min(1, Math.max(MIN_WARM_UP_FACTOR, share));
}

/** Returns the lower median, or 0 if there are no values. */
function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1] ?? 0;
}
