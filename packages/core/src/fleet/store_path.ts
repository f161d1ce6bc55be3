/**
 * Chooses the way of a call to the store: straight, or through another node
 * where this node's own path is cut or the store turns this node away. When no
 * way works the store counts as away, and calls fail at once until the next
 * probe, since each refused call costs its price.
 */

/** Time for which a failed path is not tried, in ms; doubles with each failure
 * in a row up to the bound. */
const MIN_AVOID_MS = 400;
const MAX_AVOID_MS = 3_000;
/** Time between probes of a store that no way reaches, in ms. */
const AWAY_PROBE_MS = 600;

/** Ways of a call, in the order in which they are tried. */
export type StoreWay = 'direct' | 'relayed';

/** Health of a node's paths to the store. */
export class StorePath {
  private failures = 0;
  private avoidUntilMs = -Infinity;
  private awayUntilMs = -Infinity;

  private constructor() {}

  /** Builds a path that is taken to work. */
  static create(): StorePath {
    return new StorePath();
  }

  /** Returns the ways to try now; none while the store counts as away. */
  listWays(nowMs: number): StoreWay[] {
    if (nowMs < this.awayUntilMs) return [];
    return this.isCut(nowMs) ? ['relayed'] : ['direct', 'relayed'];
  }

  /** Tells whether the direct path is avoided. */
  isCut(nowMs: number): boolean {
    return nowMs < this.avoidUntilMs;
  }

  /** Notes that the store answered a direct call. */
  recordDirect(): void {
    this.failures = 0;
    this.avoidUntilMs = -Infinity;
    this.awayUntilMs = -Infinity;
  }

  /** Notes that a direct call found no answer. */
  recordCut(nowMs: number): void {
    const avoidMs = MIN_AVOID_MS * 2 ** this.failures;
    this.failures += 1;
    this.avoidUntilMs = nowMs + Math.min(MAX_AVOID_MS, avoidMs);
  }

  /** Notes that another node reached the store. */
  recordRelayed(): void {
    this.awayUntilMs = -Infinity;
  }

  /** Notes that no way reached the store. */
  recordAway(nowMs: number): void {
    this.awayUntilMs = nowMs + AWAY_PROBE_MS;
    this.avoidUntilMs = Math.min(this.avoidUntilMs, this.awayUntilMs);
  }
}
