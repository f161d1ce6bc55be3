/**
 * The rate limits that endpoints state in their answers, as one node knows them.
 * An answer without a limit ends it only if its request was sent after the limit
 * was last stated: an earlier one may have been answered before the limit began.
 */

/** A limit and when it was last stated, on the monotonic clock of the node. */
export interface StatedLimit {
  /** Requests per second, of all nodes together. */
  readonly perSecond: number;
  readonly statedAtMs: number;
}

/** What an answer showed of an endpoint's limit. */
export interface LimitObservation {
  readonly endpointId: string;
  /** Requests per second; undefined if the answer states no limit. */
  readonly perSecond: number | undefined;
  /** When a limit was stated; without one, when the request was sent. */
  readonly atMs: number;
}

/** What an observation changes: `unchanged` also when there was no limit. */
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

  /** Lists the limits as observations. */
  list(): LimitObservation[] {
    return [...this.limits].map(([endpointId, {perSecond, statedAtMs}]) => ({
      endpointId,
      perSecond,
      atMs: statedAtMs,
    }));
  }

  /** Applies an observation unless a later one is known. */
  recordObservation(observation: LimitObservation): LimitChange {
    const {endpointId, perSecond, atMs} = observation;
    const known = this.limits.get(endpointId);
    if (known !== undefined && atMs < known.statedAtMs) return 'unchanged';
    if (perSecond === undefined) {
      return this.limits.delete(endpointId) ? 'ended' : 'unchanged';
    }
    this.limits.set(endpointId, {perSecond, statedAtMs: atMs});
    if (known === undefined) return 'began';
    return known.perSecond === perSecond ? 'unchanged' : 'changed';
  }

  /** Removes limits of endpoints that are no longer registered. */
  removeUnregistered(endpointIds: ReadonlySet<string>): void {
    for (const id of this.limits.keys()) {
      if (!endpointIds.has(id)) this.limits.delete(id);
    }
  }
}
