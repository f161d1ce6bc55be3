/**
 * Chooses the endpoint of a routed call at one entry, from what this entry has
 * observed: its own calls in progress, latency, consecutive failures, and the
 * load that endpoints report in their answers. Where capacity estimates are on,
 * they replace latency, load and the surcharge on cold endpoints.
 */
import type {CapacityPusher} from '../capacity/capacity_exchange';
import type {EndpointEntry} from '../fleet/endpoint_directory';
import type {RandomSource} from '../shared/clock';

/** Weight of the latest answer in the moving average of the latency. */
const LATENCY_WEIGHT = 0.25;
/** Latency assumed for an endpoint without a recent answer, in ms. */
const UNKNOWN_LATENCY_MS = 40;
/** Age after which a reported load or a latency is ignored, in ms. */
const STATS_MAX_AGE_MS = 3_000;
/** Duration of the first ejection, in ms; doubles with each consecutive failure. */
const EJECTION_MS = 400;
/** Longest ejection, in ms. */
const MAX_EJECTION_MS = 5_000;
/** Cost factor of an endpoint in another failure domain than the entry's. */
const REMOTE_COST_FACTOR = 1.15;
/** Cost factor of an endpoint that is still slow after its start. */
const COLD_COST_FACTOR = 2;
/** Cost factor of an endpoint that states a limit on its requests. */
const LIMITED_COST_FACTOR = 2;

/** Load that an endpoint reports in its answers. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How many times as long as usual work takes at present, within the bounds;
   * undefined if the endpoint does not report it. */
  readonly slowness?: number;
}

/** Bounds of a reported slowness; one beyond them is an error. */
export const SLOWNESS_BOUNDS = {min: 0.01, max: 1_000} as const;

/**
 * How a call at an endpoint ended. `answered` ends an ejection and updates the
 * latency; `failed` ejects the endpoint. `full` (the endpoint did not run the
 * call, for a reason other than being unreachable) and `neutral` (the call was
 * lost after its request was over) change neither.
 */
export type CallOutcome = 'answered' | 'failed' | 'full' | 'neutral';

interface EndpointStats {
  outstanding: number;
  latencyMs: number;
  /** Time of the last measured latency. */
  latencyAtMs: number;
  load: ReportedLoad | undefined;
  loadAtMs: number;
  consecutiveFailures: number;
  ejectedUntilMs: number;
}

/** Statistics of endpoints from one entry's own calls. */
export class EndpointSelector {
  private readonly statsById = new Map<string, EndpointStats>();

  private constructor(
    private readonly ownDomain: string,
    private readonly random: RandomSource,
    private readonly capacity: CapacityPusher | undefined,
  ) {}

  /** `ownDomain` is the entry's failure domain; without `capacity` all costs are
   * fixed. */
  static create(
    ownDomain: string,
    random: RandomSource,
    capacity?: CapacityPusher,
  ): EndpointSelector {
    return new EndpointSelector(ownDomain, random, capacity);
  }

  /**
   * Returns the endpoint of lowest cost; undefined if all are excluded. Ejected
   * endpoints are chosen only when no other is available. A random surcharge of
   * up to 2% distributes calls among endpoints of equal cost. Endpoints that
   * state a limit cost more, since they are in need.
   */
  choose(
    endpoints: readonly EndpointEntry[],
    excluded: ReadonlySet<string>,
    nowMs: number,
    isLimited: (endpointId: string) => boolean = () => false,
  ): EndpointEntry | undefined {
    if (this.capacity?.estimator.isOn(endpoints)) {
      const choose = (mayUseEjected: boolean) =>
        this.chooseByCapacity(
          endpoints,
          excluded,
          nowMs,
          isLimited,
          mayUseEjected,
        );
      return choose(false) ?? choose(true);
    }
    const candidates = endpoints.filter(endpoint => !excluded.has(endpoint.id));
    const healthy = candidates.filter(
      endpoint => this.getStats(endpoint.id).ejectedUntilMs <= nowMs,
    );
    const pool = healthy.length > 0 ? healthy : candidates;
    let best: EndpointEntry | undefined;
    let lowestCost = Infinity;
    for (const endpoint of pool) {
      const limitFactor = isLimited(endpoint.id) ? LIMITED_COST_FACTOR : 1;
      const surcharge = 1 + this.random() / 50;
      const cost = this.computeCost(endpoint, nowMs) * limitFactor * surcharge;
      if (cost >= lowestCost) continue;
      lowestCost = cost;
      best = endpoint;
    }
    return best;
  }

  /**
   * Returns whether every endpoint has recently reported at least two waiting
   * requests per slot.
   */
  isFull(endpoints: readonly EndpointEntry[], nowMs: number): boolean {
    return endpoints.every(endpoint => {
      const stats = this.getStats(endpoint.id);
      if (stats.load === undefined) return false;
      if (nowMs - stats.loadAtMs > STATS_MAX_AGE_MS) return false;
      return stats.load.waiting >= stats.load.slots * 2;
    });
  }

  /** Returns the mean latency of the endpoints that have answered, in ms. */
  getMeanLatencyMs(endpoints: readonly EndpointEntry[]): number {
    if (this.capacity?.estimator.isOn(endpoints)) {
      const meanMs = this.capacity.estimator.estimateMeanMs(endpoints);
      return meanMs ?? UNKNOWN_LATENCY_MS;
    }
    const known = endpoints
      .map(endpoint => this.getStats(endpoint.id))
      .filter(stats => stats.latencyAtMs > -Infinity)
      .map(stats => stats.latencyMs);
    if (known.length === 0) return UNKNOWN_LATENCY_MS;
    return known.reduce((sum, value) => sum + value, 0) / known.length;
  }

  /** Records the start of a call. */
  recordStart(id: string): void {
    this.getStats(id).outstanding += 1;
  }

  /** Records the end of a call. */
  recordEnd(
    id: string,
    outcome: CallOutcome,
    latencyMs: number,
    nowMs: number,
    load?: ReportedLoad,
  ): void {
    const stats = this.getStats(id);
    stats.outstanding = Math.max(0, stats.outstanding - 1);
    if (load !== undefined) {
      stats.load = load;
      stats.loadAtMs = nowMs;
    }
    if (outcome === 'answered') {
      this.learnCapacity(id, stats.outstanding, latencyMs, nowMs, load);
      const age = nowMs - stats.latencyAtMs;
      const weight = age > STATS_MAX_AGE_MS ? 1 : LATENCY_WEIGHT;
      stats.latencyMs += weight * (latencyMs - stats.latencyMs);
      stats.latencyAtMs = nowMs;
      stats.consecutiveFailures = 0;
      stats.ejectedUntilMs = 0;
    } else if (outcome === 'failed') {
      const lengthMs = EJECTION_MS * 2 ** stats.consecutiveFailures;
      stats.consecutiveFailures += 1;
      stats.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, lengthMs);
    }
  }

  /** Records that a call in progress takes longer than usual. */
  recordSlow(id: string, latencyMs: number, nowMs: number): void {
    const stats = this.getStats(id);
    stats.latencyMs = Math.max(stats.latencyMs, latencyMs);
    stats.latencyAtMs = nowMs;
    this.capacity?.estimator.learnSlowCall(id, latencyMs, nowMs);
  }

  /** Removes statistics of endpoints that are idle and no longer registered. */
  removeUnregistered(registeredIds: ReadonlySet<string>): void {
    for (const [id, stats] of this.statsById) {
      if (!registeredIds.has(id) && stats.outstanding === 0) {
        this.statsById.delete(id);
      }
    }
    this.capacity?.estimator.removeUnregistered(registeredIds);
  }

  private chooseByCapacity(
    endpoints: readonly EndpointEntry[],
    excluded: ReadonlySet<string>,
    nowMs: number,
    isLimited: (endpointId: string) => boolean,
    mayUseEjected: boolean,
  ): EndpointEntry | undefined {
    const candidates = {
      endpoints,
      countOutstanding: ({id}: EndpointEntry) => {
        if (excluded.has(id)) return undefined;
        const stats = this.getStats(id);
        if (!mayUseEjected && stats.ejectedUntilMs > nowMs) return undefined;
        return stats.outstanding;
      },
      computeFactor: ({id, failureDomain}: EndpointEntry) =>
        (failureDomain === this.ownDomain ? 1 : REMOTE_COST_FACTOR) *
        (isLimited(id) ? LIMITED_COST_FACTOR : 1),
      // A retry or hedge is already late.
      mayExplore: excluded.size === 0,
    };
    return this.capacity?.estimator.choose(candidates, nowMs);
  }

  /** Takes in the time of a call; without a reported load, the endpoint's load
   * is this entry's. */
  private learnCapacity(
    id: string,
    outstanding: number,
    tookMs: number,
    nowMs: number,
    load: ReportedLoad | undefined,
  ): void {
    if (this.capacity === undefined) return;
    const reported = load === undefined ? 0 : load.running + load.waiting;
    const sample = {
      tookMs,
      concurrency: Math.max(reported, outstanding + 1),
      slots: load?.slots ?? 0,
      slowness: load?.slowness,
    };
    this.capacity.learnSample(id, sample, outstanding, nowMs);
  }

  /** Returns the expected latency in ms, weighted by load and location. */
  private computeCost(endpoint: EndpointEntry, nowMs: number): number {
    const stats = this.getStats(endpoint.id);
    const hasRecentLatency = nowMs - stats.latencyAtMs <= STATS_MAX_AGE_MS;
    const latencyMs = hasRecentLatency ? stats.latencyMs : UNKNOWN_LATENCY_MS;
    const hasRecentLoad = nowMs - stats.loadAtMs <= STATS_MAX_AGE_MS;
    const reportedLoad = hasRecentLoad ? stats.load : undefined;
    // One reported request is left out, so that an endpoint which reports a
    // single request costs as much as an idle one.
    const work = Math.max(
      stats.outstanding,
      reportedLoad === undefined
        ? 0
        : reportedLoad.running + reportedLoad.waiting - 1,
    );
    const utilization = work / Math.max(1, endpoint.slots);
    const domainFactor =
      endpoint.failureDomain === this.ownDomain ? 1 : REMOTE_COST_FACTOR;
    const coldFactor = endpoint.coldRemainingMs > 0 ? COLD_COST_FACTOR : 1;
    return latencyMs * (1 + 2 * utilization) * domainFactor * coldFactor;
  }

  private getStats(id: string): EndpointStats {
    const known = this.statsById.get(id);
    if (known !== undefined) return known;
    const stats: EndpointStats = {
      outstanding: 0,
      latencyMs: UNKNOWN_LATENCY_MS,
      latencyAtMs: -Infinity,
      load: undefined,
      loadAtMs: -Infinity,
      consecutiveFailures: 0,
      ejectedUntilMs: 0,
    };
    this.statsById.set(id, stats);
    return stats;
  }
}
