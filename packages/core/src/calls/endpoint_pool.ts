/**
 * Chooses the endpoint of a routed call at one entry, by what this entry has
 * seen: its own calls under way, how long answers take, failures in a row, and
 * the load that endpoints state in their answers.
 */
import type {EndpointEntry} from '../fleet/endpoint_directory';
import type {RandomSource} from '../shared/clock';

/** Weight of the newest answer in the mean latency. */
const LATENCY_WEIGHT = 0.25;
/** Mean latency of an endpoint that has not answered yet, in ms. */
const UNKNOWN_LATENCY_MS = 40;
/** Age after which a stated load or latency counts for nothing, in ms. */
const STATS_MAX_AGE_MS = 3_000;
/** Time without new calls after a failure, in ms; doubles with each in a row. */
const EJECTION_MS = 400;
/** Longest ejection, in ms. */
const MAX_EJECTION_MS = 5_000;
/** Cost of a call in another failure domain, against the entry's own. */
const REMOTE_COST_FACTOR = 1.15;
/** Cost of an endpoint just after its start. */
const COLD_COST_FACTOR = 2;

/** Load that an endpoint states in its answers. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** How a call at an endpoint ended. */
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

/** What one entry knows of endpoints from its own calls. */
export class EndpointPool {
  private readonly statsById = new Map<string, EndpointStats>();

  private constructor(
    private readonly ownDomain: string,
    private readonly random: RandomSource,
  ) {}

  /** Builds a pool for an entry of a failure domain. */
  static create(ownDomain: string, random: RandomSource): EndpointPool {
    return new EndpointPool(ownDomain, random);
  }

  /** Chooses among endpoints; undefined when there are none. */
  choose(
    endpoints: readonly EndpointEntry[],
    excluded: ReadonlySet<string>,
    nowMs: number,
  ): EndpointEntry | undefined {
    const candidates = endpoints.filter(item => !excluded.has(item.id));
    const healthy = candidates.filter(
      item => this.getStats(item.id).ejectedUntilMs <= nowMs,
    );
    const pool = healthy.length > 0 ? healthy : candidates;
    let best: EndpointEntry | undefined;
    let lowestCost = Infinity;
    for (const endpoint of pool) {
      const cost = this.computeCost(endpoint, nowMs) * (1 + this.random() / 50);
      if (cost >= lowestCost) continue;
      lowestCost = cost;
      best = endpoint;
    }
    return best;
  }

  /** Tells whether every endpoint states that it is full. */
  isFull(endpoints: readonly EndpointEntry[], nowMs: number): boolean {
    return endpoints.every(endpoint => {
      const memory = this.getStats(endpoint.id);
      if (memory.load === undefined) return false;
      if (nowMs - memory.loadAtMs > STATS_MAX_AGE_MS) return false;
      return memory.load.waiting >= memory.load.slots * 2;
    });
  }

  /** Returns the mean latency of endpoints that answered lately, in ms. */
  getMeanLatencyMs(endpoints: readonly EndpointEntry[]): number {
    const known = endpoints
      .map(endpoint => this.getStats(endpoint.id))
      .filter(memory => memory.latencyAtMs > -Infinity)
      .map(memory => memory.latencyMs);
    if (known.length === 0) return UNKNOWN_LATENCY_MS;
    return known.reduce((sum, value) => sum + value, 0) / known.length;
  }

  /** Notes a call that goes out. */
  recordStart(id: string): void {
    this.getStats(id).outstanding += 1;
  }

  /** Notes the end of a call. */
  recordEnd(
    id: string,
    verdict: CallOutcome,
    latencyMs: number,
    nowMs: number,
    load?: ReportedLoad,
  ): void {
    const memory = this.getStats(id);
    memory.outstanding = Math.max(0, memory.outstanding - 1);
    if (load !== undefined) {
      memory.load = load;
      memory.loadAtMs = nowMs;
    }
    if (verdict === 'answered') {
      const age = nowMs - memory.latencyAtMs;
      const weight = age > STATS_MAX_AGE_MS ? 1 : LATENCY_WEIGHT;
      memory.latencyMs += weight * (latencyMs - memory.latencyMs);
      memory.latencyAtMs = nowMs;
      memory.consecutiveFailures = 0;
      memory.ejectedUntilMs = 0;
    } else if (verdict === 'failed') {
      const lengthMs = EJECTION_MS * 2 ** memory.consecutiveFailures;
      memory.consecutiveFailures += 1;
      memory.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, lengthMs);
    }
  }

  /** Notes that a call takes longer than usual while it is under way. */
  recordSlow(id: string, latencyMs: number, nowMs: number): void {
    const memory = this.getStats(id);
    memory.latencyMs = Math.max(memory.latencyMs, latencyMs);
    memory.latencyAtMs = nowMs;
  }

  /** Forgets endpoints that are not registered any more. */
  removeUnregistered(ids: ReadonlySet<string>): void {
    for (const [id, memory] of this.statsById) {
      if (!ids.has(id) && memory.outstanding === 0) this.statsById.delete(id);
    }
  }

  private computeCost(endpoint: EndpointEntry, nowMs: number): number {
    const memory = this.getStats(endpoint.id);
    const hasRecentLatency = nowMs - memory.latencyAtMs <= STATS_MAX_AGE_MS;
    const latencyMs = hasRecentLatency ? memory.latencyMs : UNKNOWN_LATENCY_MS;
    const hasRecentLoad = nowMs - memory.loadAtMs <= STATS_MAX_AGE_MS;
    const reportedLoad = hasRecentLoad ? memory.load : undefined;
    const work = Math.max(
      memory.outstanding,
      reportedLoad === undefined
        ? 0
        : reportedLoad.running + reportedLoad.waiting - 1,
    );
    const busy = work / Math.max(1, endpoint.slots);
    const domainFactor =
      endpoint.failureDomain === this.ownDomain ? 1 : REMOTE_COST_FACTOR;
    const startFactor = endpoint.coldRemainingMs > 0 ? COLD_COST_FACTOR : 1;
    return latencyMs * (1 + 2 * busy) * domainFactor * startFactor;
  }

  private getStats(id: string): EndpointStats {
    const known = this.statsById.get(id);
    if (known !== undefined) return known;
    const memory: EndpointStats = {
      outstanding: 0,
      latencyMs: UNKNOWN_LATENCY_MS,
      latencyAtMs: -Infinity,
      load: undefined,
      loadAtMs: -Infinity,
      consecutiveFailures: 0,
      ejectedUntilMs: 0,
    };
    this.statsById.set(id, memory);
    return memory;
  }
}
