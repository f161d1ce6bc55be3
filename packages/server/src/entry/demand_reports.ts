/** Converts customers' demand to and from the form that heartbeats carry. */
import {CustomerDemand, HEARTBEAT_TIMEOUT_MS} from '@sassafrasspan/core';
import type {EntryHeartbeat} from '@sassafrasspan/nodes';
import type {PeerEntry} from './node_directory';

const MILLI_PER_UNIT = 1_000;

type WireDemand = EntryHeartbeat['demand'][number];

/** Encodes demand for a heartbeat; rates are rounded up to integers. */
export function encodeDemand(demand: readonly CustomerDemand[]): WireDemand[] {
  return demand.map(item => ({
    customer: item.customer,
    requestsPerSecondMilli: Math.ceil(item.requestsPerSecond * MILLI_PER_UNIT),
    tokensPerSecond: Math.ceil(item.tokensPerSecond),
    concurrent: item.concurrent,
  }));
}

/** Returns the demand at each other entry, or undefined where no heartbeat
 * arrived within the heartbeat timeout. */
export function listPeerDemand(
  entries: readonly PeerEntry[],
): (readonly CustomerDemand[] | undefined)[] {
  return entries.map(({heartbeat, heartbeatAgeMs: ageMs}) => {
    if (heartbeat === undefined || ageMs > HEARTBEAT_TIMEOUT_MS) {
      return undefined;
    }
    return heartbeat.demand.map(decodeDemand);
  });
}

function decodeDemand(item: WireDemand): CustomerDemand {
  return {
    customer: item.customer,
    requestsPerSecond: item.requestsPerSecondMilli / MILLI_PER_UNIT,
    tokensPerSecond: item.tokensPerSecond,
    concurrent: item.concurrent,
  };
}
