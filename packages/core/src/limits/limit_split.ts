/**
 * Splits a customer's limit among the entries that enforce it, without central
 * coordination.
 *
 * Each entry is entitled to an equal part, whatever peers report. An entry that
 * needs more borrows the parts that peers report as unused, divided by the
 * number of entries that may borrow them. A silent peer lends nothing and counts
 * as a borrower. Lost reports, even in one direction only, therefore lead back
 * to the equal split and never exceed the limit.
 */

/** Factor on reported demand: headroom that an entry keeps and does not lend. */
const HEADROOM_FACTOR = 1.25;

/** The demand that another entry has reported. */
export interface PeerDemand {
  /** Undefined if the peer is silent. */
  readonly demand: number | undefined;
}

/** Returns the part of a limit that this entry may use. */
export function splitLimit(
  limit: number,
  ownDemand: number,
  peers: readonly PeerDemand[],
): number {
  const entitlement = limit / (peers.length + 1);
  if (!needsMore(ownDemand, entitlement)) return entitlement;
  const borrowingPeers = peers.filter(
    ({demand}) => demand === undefined || needsMore(demand, entitlement),
  );
  const unusedParts = peers.map(({demand}) =>
    demand === undefined ? 0 : computeUnused(demand, entitlement),
  );
  const unusedSum = unusedParts.reduce((total, part) => total + part, 0);
  return entitlement + unusedSum / (borrowingPeers.length + 1);
}

function needsMore(demand: number, entitlement: number): boolean {
  return demand * HEADROOM_FACTOR > entitlement;
}

function computeUnused(demand: number, entitlement: number): number {
  return Math.max(0, entitlement - demand * HEADROOM_FACTOR);
}
