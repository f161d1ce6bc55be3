/**
 * Relays calls for a node that can't reach the called node itself. The bodies of
 * the call and of its answer are passed on unchanged.
 */
import {RandomSource, ServiceError, createError} from '@sassafrasspan/core';
import {PeerAddress, formatAddress, parseAddress} from '@sassafrasspan/runtime';
import {Result, err} from 'neverthrow';
import * as z from 'zod/mini';
import type {PeerCall, PeerClient} from './peer_client';
import {PeerRoutes, createHandler} from './peer_server';

const RELAY_PATH = '/peers/relay';
/** Time reserved for the round trip to the relaying node, in ms. */
const RELAY_MARGIN_MS = 60;
/** Maximum number of nodes that are asked to relay one call. */
const MAX_RELAYS = 2;

/** Errors after which another node is asked to relay. */
const UNREACHABLE_KINDS: ReadonlySet<string> = new Set([
  'peer-lost',
  'peer-absent',
]);

const RELAYED_CALL_SCHEMA = z.object({
  address: z.string(),
  path: z.string(),
  body: z.unknown(),
  timeoutMs: z.number(),
});

/** Returns the handler that relays calls of other nodes to a third node. */
export function createPeerRelayRoutes(peers: PeerClient): PeerRoutes {
  return {
    [RELAY_PATH]: createHandler(RELAYED_CALL_SCHEMA, (call, {signal}) => {
      const address = parseAddress(call.address);
      if (address === undefined) {
        return err(
          createError('bad-request', `invalid address ${call.address}`),
        );
      }
      const {path, body, timeoutMs} = call;
      const schema = z.unknown();
      return peers.call({address, path, body, schema, timeoutMs, signal});
    }),
  };
}

/** Makes a call through relays, tried one after the other in random order. */
export async function relayPeerCall<T>(
  peers: PeerClient,
  relays: readonly PeerAddress[],
  random: RandomSource,
  call: PeerCall<T>,
): Promise<Result<T, ServiceError>> {
  let last: Result<T, ServiceError> = err(
    createError('peer-lost', 'no node is available to relay', {
      outcome: 'not-run',
    }),
  );
  const ordered = relays
    .map(address => ({address, order: random()}))
    .sort((a, b) => a.order - b.order);
  for (const {address} of ordered.slice(0, MAX_RELAYS)) {
    last = await peers.call({
      ...call,
      address,
      path: RELAY_PATH,
      body: {
        address: formatAddress(call.address),
        path: call.path,
        body: call.body,
        timeoutMs: Math.max(1, call.timeoutMs - RELAY_MARGIN_MS),
      },
    });
    const isUnreachable =
      last.isErr() && UNREACHABLE_KINDS.has(last.error.kind);
    if (!isUnreachable) return last;
  }
  return last;
}
