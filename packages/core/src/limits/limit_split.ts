/**
 * Splits a customer's limit among the entries that hold it, without a
 * coordinator.
 *
 * Each entry is entitled to an equal part whatever it hears. An entry that
 * needs more borrows what peers report that they leave unused, divided by all
 * who may borrow it: a silent peer lends nothing and counts as a borrower. So
 * silence of peers, also of one direction alone, leads to the static split and
 * never over the limit.
 */

/** Part of a peer's demand that it keeps for itself beyond what it reports. */
const HEADROOM_FACTOR = 1.25;

/** What is known of another entry's demand. */
export interface PeerDemand {
  /** Undefined when the peer is silent. */
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
  const rivals = peers.filter(
    ({demand}) => demand === undefined || needsMore(demand, entitlement),
  );
  const lent = peers.map(({demand}) =>
    demand === undefined ? 0 : computeUnused(demand, entitlement),
  );
  const sum = lent.reduce((total, part) => total + part, 0);
  return entitlement + sum / (rivals.length + 1);
}

function needsMore(demand: number, entitlement: number): boolean {
  return demand * HEADROOM_FACTOR > entitlement;
}

function computeUnused(demand: number, entitlement: number): number {
  return Math.max(0, entitlement - demand * HEADROOM_FACTOR);
}
