/**
 * The rate limits that endpoints state in their answers, as one node knows them.
 * An answer without a limit ends it only if its request was sent after the limit
 * was known: an earlier one may have been answered before the limit began.
 */

/** A limit and when it became known, on the monotonic clock of the node. */
export interface StatedLimit {
  /** Requests per second, of all nodes together. */
  readonly perSecond: number;
  readonly knownAtMs: number;
}

/** What an answer changes: `unchanged` also when there was no limit before. */
export type LimitChange = 'began' | 'changed' | 'ended' | 'unchanged';

/** Limits by endpoint id. */
export class EndpointLimits {
  private readonly limits = new Map<string, StatedLimit>();

  private constructor() {}

  static create(): EndpointLimits {
    return new EndpointLimits();
  }

  /** Returns the limit of an endpoint; undefined if it states none. */
  find(endpointId: string): StatedLimit | undefined {
    return this.limits.get(endpointId);
  }

  /** Lists the limits by endpoint id. */
  list(): Array<[string, StatedLimit]> {
    return [...this.limits];
  }

  /** Records the limit in an answer to a request that was sent at `sentAtMs`. */
  recordAnswer(
    endpointId: string,
    perSecond: number | undefined,
    sentAtMs: number,
    nowMs: number,
  ): LimitChange {
    const known = this.limits.get(endpointId);
    if (perSecond === undefined) {
      if (known === undefined || sentAtMs < known.knownAtMs) return 'unchanged';
      this.limits.delete(endpointId);
      return 'ended';
    }
    this.limits.set(endpointId, {
      perSecond,
      knownAtMs: known?.perSecond === perSecond ? known.knownAtMs : nowMs,
    });
    if (known === undefined) return 'began';
    return known.perSecond === perSecond ? 'unchanged' : 'changed';
  }

  /** Removes limits of endpoints that are no longer registered. */
  removeUnregistered(registeredIds: ReadonlySet<string>): void {
    for (const id of this.limits.keys()) {
      if (!registeredIds.has(id)) this.limits.delete(id);
    }
  }
}
