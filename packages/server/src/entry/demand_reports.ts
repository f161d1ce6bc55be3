/** Customers' demand between entries, as heartbeats carry it. */
import {CustomerDemand, HEARTBEAT_TIMEOUT_MS} from '@sassafrasspan/core';
import type {EntryHeartbeat} from '@sassafrasspan/nodes';
import type {PeerEntry} from './node_directory';

const MILLI = 1_000;

type WireDemand = EntryHeartbeat['demand'][number];

/** Writes demand for a heartbeat. */
export function encodeDemand(demand: readonly CustomerDemand[]): WireDemand[] {
  return demand.map(item => ({
    customer: item.customer,
    requestsPerSecondMilli: Math.ceil(item.requestsPerSecond * MILLI),
    tokensPerSecond: Math.ceil(item.tokensPerSecond),
    concurrent: item.concurrent,
  }));
}

/** Reads the demand at each other entry; undefined of a silent one. */
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
    requestsPerSecond: item.requestsPerSecondMilli / MILLI,
    tokensPerSecond: item.tokensPerSecond,
    concurrent: item.concurrent,
  };
}
