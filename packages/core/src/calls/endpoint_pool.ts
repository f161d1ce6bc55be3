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
const MEMORY_MS = 3_000;
/** Time without new calls after a failure, in ms; doubles with each in a row. */
const EJECTION_MS = 400;
/** Longest ejection, in ms. */
const MAX_EJECTION_MS = 5_000;
/** Cost of a call in another failure domain, against the entry's own. */
const REMOTE_COST = 1.15;
/** Cost of an endpoint just after its start. */
const COLD_COST = 2;

/** Load that an endpoint states in its answers. */
export interface StatedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** How a call at an endpoint ended. */
export type CallVerdict = 'answered' | 'failed' | 'full' | 'neutral';

interface EndpointMemory {
  outstanding: number;
  latencyMs: number;
  /** Time of the last measured latency. */
  latencyAtMs: number;
  load: StatedLoad | undefined;
  loadAtMs: number;
  failures: number;
  ejectedUntilMs: number;
}

/** What one entry knows of endpoints from its own calls. */
export class EndpointPool {
  private readonly memories = new Map<string, EndpointMemory>();

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
    const open = endpoints.filter(item => !excluded.has(item.id));
    const sound = open.filter(
      item => this.openMemory(item.id).ejectedUntilMs <= nowMs,
    );
    const pool = sound.length > 0 ? sound : open;
    let best: EndpointEntry | undefined;
    let least = Infinity;
    for (const endpoint of pool) {
      const cost = this.computeCost(endpoint, nowMs) * (1 + this.random() / 50);
      if (cost >= least) continue;
      least = cost;
      best = endpoint;
    }
    return best;
  }

  /** Tells whether every endpoint states that it is full. */
  isFull(endpoints: readonly EndpointEntry[], nowMs: number): boolean {
    return endpoints.every(endpoint => {
      const memory = this.openMemory(endpoint.id);
      if (memory.load === undefined) return false;
      if (nowMs - memory.loadAtMs > MEMORY_MS) return false;
      return memory.load.waiting >= memory.load.slots * 2;
    });
  }

  /** Returns the mean latency of endpoints that answered lately, in ms. */
  getMeanLatencyMs(endpoints: readonly EndpointEntry[]): number {
    const known = endpoints
      .map(endpoint => this.openMemory(endpoint.id))
      .filter(memory => memory.latencyAtMs > -Infinity)
      .map(memory => memory.latencyMs);
    if (known.length === 0) return UNKNOWN_LATENCY_MS;
    return known.reduce((sum, value) => sum + value, 0) / known.length;
  }

  /** Notes a call that goes out. */
  recordStart(id: string): void {
    this.openMemory(id).outstanding += 1;
  }

  /** Notes the end of a call. */
  recordEnd(
    id: string,
    verdict: CallVerdict,
    latencyMs: number,
    nowMs: number,
    load?: StatedLoad,
  ): void {
    const memory = this.openMemory(id);
    memory.outstanding = Math.max(0, memory.outstanding - 1);
    if (load !== undefined) {
      memory.load = load;
      memory.loadAtMs = nowMs;
    }
    if (verdict === 'answered') {
      const age = nowMs - memory.latencyAtMs;
      const weight = age > MEMORY_MS ? 1 : LATENCY_WEIGHT;
      memory.latencyMs += weight * (latencyMs - memory.latencyMs);
      memory.latencyAtMs = nowMs;
      memory.failures = 0;
      memory.ejectedUntilMs = 0;
    } else if (verdict === 'failed') {
      const lengthMs = EJECTION_MS * 2 ** memory.failures;
      memory.failures += 1;
      memory.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, lengthMs);
    }
  }

  /** Notes that a call takes longer than usual while it is under way. */
  recordSlow(id: string, latencyMs: number, nowMs: number): void {
    const memory = this.openMemory(id);
    memory.latencyMs = Math.max(memory.latencyMs, latencyMs);
    memory.latencyAtMs = nowMs;
  }

  /** Forgets endpoints that are not registered any more. */
  forgetOthers(ids: ReadonlySet<string>): void {
    for (const [id, memory] of this.memories) {
      if (!ids.has(id) && memory.outstanding === 0) this.memories.delete(id);
    }
  }

  private computeCost(endpoint: EndpointEntry, nowMs: number): number {
    const memory = this.openMemory(endpoint.id);
    const isFresh = nowMs - memory.latencyAtMs <= MEMORY_MS;
    const latencyMs = isFresh ? memory.latencyMs : UNKNOWN_LATENCY_MS;
    const isStated = nowMs - memory.loadAtMs <= MEMORY_MS;
    const stated = isStated ? memory.load : undefined;
    const work = Math.max(
      memory.outstanding,
      stated === undefined ? 0 : stated.running + stated.waiting - 1,
    );
    const busy = work / Math.max(1, endpoint.slots);
    const distance =
      endpoint.failureDomain === this.ownDomain ? 1 : REMOTE_COST;
    const warmth = endpoint.coldMs > 0 ? COLD_COST : 1;
    return latencyMs * (1 + 2 * busy) * distance * warmth;
  }

  private openMemory(id: string): EndpointMemory {
    const known = this.memories.get(id);
    if (known !== undefined) return known;
    const memory: EndpointMemory = {
      outstanding: 0,
      latencyMs: UNKNOWN_LATENCY_MS,
      latencyAtMs: -Infinity,
      load: undefined,
      loadAtMs: -Infinity,
      failures: 0,
      ejectedUntilMs: 0,
    };
    this.memories.set(id, memory);
    return memory;
  }
}
