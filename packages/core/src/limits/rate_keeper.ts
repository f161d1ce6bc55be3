/**
 * Grants sends to endpoints that state a limit, for all nodes together.
 *
 * Designed for this load: many nodes send to one endpoint, each seldom, and the
 * limit is below the sum of what they would send. A part of the limit for each
 * node would leave most of it unused, so that one node, the keeper, grants single
 * sends. Nodes that cannot reach the keeper ask the next one, which grants a
 * smaller part: nodes that are cut off from each other have different keepers,
 * and what these grant together stays within one and a half times the limit.
 */
import {rankByRendezvous} from '../shared/hash';
import {RateBucket} from './rate_bucket';

/** What a keeper may grant. */
interface KeeperShare {
  /** Share of the endpoint's limit. */
  readonly share: number;
  /** Number of sends that may follow each other at once. */
  readonly burst: number;
}

/** Shares by the rank of a keeper. */
const KEEPER_SHARES: readonly KeeperShare[] = [
  {share: 1, burst: 2},
  {share: 1 / 4, burst: 1},
  {share: 1 / 8, burst: 1},
];
/** Longest time until the next attempt, in ms. */
const MAX_WAIT_MS = 10_000;

/** A request for sends. */
export interface GrantRequest {
  readonly endpointId: string;
  /** The endpoint's limit in requests per second. */
  readonly perSecond: number;
  /** Rank that the sender assumes the keeper to have. */
  readonly rank: number;
  readonly wanted: number;
}

export interface Grant {
  /** Number of sends that may start at once. */
  readonly granted: number;
  /** Time until another send may be granted, in ms. */
  readonly nextInMs: number;
}

/** Returns the keepers of an endpoint's limit among the named nodes, by rank. */
export function rankKeepers(
  endpointId: string,
  names: readonly string[],
): string[] {
  return rankByRendezvous(endpointId, names).slice(0, KEEPER_SHARES.length);
}

/** The buckets of the endpoints whose limits a node keeps. */
export class RateKeeper {
  private readonly buckets = new Map<string, RateBucket>();

  private constructor() {}

  static create(): RateKeeper {
    return new RateKeeper();
  }

  /** Grants as many of the wanted sends as the limit allows now. */
  grantSends(request: GrantRequest, nowMs: number): Grant {
    const {endpointId, rank, wanted} = request;
    const keeperShare = KEEPER_SHARES[rank];
    if (keeperShare === undefined) {
      return {granted: 0, nextInMs: MAX_WAIT_MS};
    }
    const perSecond = request.perSecond * keeperShare.share;
    const key = `${rank} ${endpointId}`;
    const bucket =
      this.buckets.get(key) ?? RateBucket.create(keeperShare.burst, nowMs);
    this.buckets.set(key, bucket);
    const granted = bucket.take(wanted, perSecond, nowMs);
    const waitMs = bucket.computeWaitMs(perSecond, nowMs);
    return {granted, nextInMs: Math.min(MAX_WAIT_MS, waitMs)};
  }

  /** Removes the buckets of endpoints that are no longer registered. */
  removeUnregistered(endpointIds: ReadonlySet<string>): void {
    for (const key of this.buckets.keys()) {
      const endpointId = key.slice(key.indexOf(' ') + 1);
      if (!endpointIds.has(endpointId)) this.buckets.delete(key);
    }
  }
}
