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
const UNAVAILABLE_PROBE_MS = 600;

/** Ways of a call, in the order in which they are tried. */
export type StorePathKind = 'direct' | 'relayed';

/** Health of a node's paths to the store. */
export class StorePathSelector {
  private consecutiveFailures = 0;
  private avoidDirectUntilMs = -Infinity;
  private unavailableUntilMs = -Infinity;

  private constructor() {}

  /** Builds a path that is taken to work. */
  static create(): StorePathSelector {
    return new StorePathSelector();
  }

  /** Returns the ways to try now; none while the store counts as away. */
  listPaths(nowMs: number): StorePathKind[] {
    if (nowMs < this.unavailableUntilMs) return [];
    return this.isCut(nowMs) ? ['relayed'] : ['direct', 'relayed'];
  }

  /** Tells whether the direct path is avoided. */
  isCut(nowMs: number): boolean {
    return nowMs < this.avoidDirectUntilMs;
  }

  /** Notes that the store answered a direct call. */
  recordDirectSuccess(): void {
    this.consecutiveFailures = 0;
    this.avoidDirectUntilMs = -Infinity;
    this.unavailableUntilMs = -Infinity;
  }

  /** Notes that a direct call found no answer. */
  recordCut(nowMs: number): void {
    const avoidMs = MIN_AVOID_MS * 2 ** this.consecutiveFailures;
    this.consecutiveFailures += 1;
    this.avoidDirectUntilMs = nowMs + Math.min(MAX_AVOID_MS, avoidMs);
  }

  /** Notes that another node reached the store. */
  recordRelayedSuccess(): void {
    this.unavailableUntilMs = -Infinity;
  }

  /** Notes that no way reached the store. */
  recordUnavailable(nowMs: number): void {
    this.unavailableUntilMs = nowMs + UNAVAILABLE_PROBE_MS;
    this.avoidDirectUntilMs = Math.min(
      this.avoidDirectUntilMs,
      this.unavailableUntilMs,
    );
  }
}
