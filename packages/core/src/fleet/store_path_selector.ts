/**
 * Chooses the path of a call to the store: direct, or relayed by another node
 * when the direct path fails or the store refuses calls from this node. When
 * no path works, the store is considered unavailable and calls fail at once
 * until the next probe, since every refused call is charged.
 */

/**
 * Time for which a failed direct path is not tried, in ms. Doubles with each
 * consecutive failure up to the maximum.
 */
const MIN_AVOID_MS = 400;
const MAX_AVOID_MS = 3_000;
/** Time between probes of an unavailable store, in ms. */
const UNAVAILABLE_PROBE_MS = 600;

/** Paths of a call, in the order in which they are tried. */
export type StorePathKind = 'direct' | 'relayed';

/** Tracks which of a node's paths to the store work. */
export class StorePathSelector {
  private consecutiveFailures = 0;
  private avoidDirectUntilMs = -Infinity;
  private unavailableUntilMs = -Infinity;

  private constructor() {}

  /** Both paths are assumed to work until a failure is recorded. */
  static create(): StorePathSelector {
    return new StorePathSelector();
  }

  /** Returns the paths to try now; none while the store is unavailable. */
  listPaths(nowMs: number): StorePathKind[] {
    if (nowMs < this.unavailableUntilMs) return [];
    return this.isDirectUnreachable(nowMs)
      ? ['relayed']
      : ['direct', 'relayed'];
  }

  /** Returns whether the direct path is currently avoided. */
  isDirectUnreachable(nowMs: number): boolean {
    return nowMs < this.avoidDirectUntilMs;
  }

  /** Records that the store answered a direct call. */
  recordDirectSuccess(): void {
    this.consecutiveFailures = 0;
    this.avoidDirectUntilMs = -Infinity;
    this.unavailableUntilMs = -Infinity;
  }

  /** Records that a direct call received no answer. */
  recordUnreachable(nowMs: number): void {
    const avoidMs = MIN_AVOID_MS * 2 ** this.consecutiveFailures;
    this.consecutiveFailures += 1;
    this.avoidDirectUntilMs = nowMs + Math.min(MAX_AVOID_MS, avoidMs);
  }

  /** Records that the store answered a relayed call. */
  recordRelayedSuccess(): void {
    this.unavailableUntilMs = -Infinity;
  }

  /** Records that the store answered on no path. */
  recordUnavailable(nowMs: number): void {
    this.unavailableUntilMs = nowMs + UNAVAILABLE_PROBE_MS;
    this.avoidDirectUntilMs = Math.min(
      this.avoidDirectUntilMs,
      this.unavailableUntilMs,
    );
  }
}
