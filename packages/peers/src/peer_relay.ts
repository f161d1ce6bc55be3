/**
 * Calls that another node makes for one whose own link is cut: the bytes of the
 * call and of its answer pass through unchanged.
 */
import {RandomSource, ServiceError, createError} from '@sassafrasspan/core';
import {PeerAddress, formatAddress, parseAddress} from '@sassafrasspan/runtime';
import {Result, err} from 'neverthrow';
import * as z from 'zod/mini';
import type {PeerCall, PeerClient} from './peer_client';
import {PeerRoutes, createHandler} from './peer_server';

const RELAY_PATH = '/peers/relay';
/** Time kept for the way to the relaying node and back, in ms. */
const RELAY_MARGIN_MS = 60;
/** Nodes that are asked to relay one call. */
const MAX_RELAYS = 2;

/** Errors after which another node is asked. */
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

/** Returns the call by which other nodes reach a third one. */
export function createPeerRelayRoutes(peers: PeerClient): PeerRoutes {
  return {
    [RELAY_PATH]: createHandler(RELAYED_CALL_SCHEMA, (call, {signal}) => {
      const address = parseAddress(call.address);
      if (address === undefined) {
        return err(createError('bad-request', `no address ${call.address}`));
      }
      const {path, body, timeoutMs} = call;
      const schema = z.unknown();
      return peers.call({address, path, body, schema, timeoutMs, signal});
    }),
  };
}

/** Makes a call through other nodes, one after the other. */
export async function relayPeerCall<T>(
  peers: PeerClient,
  relays: readonly PeerAddress[],
  random: RandomSource,
  call: PeerCall<T>,
): Promise<Result<T, ServiceError>> {
  let last: Result<T, ServiceError> = err(
    createError('peer-lost', 'no node to relay', {outcome: 'not-run'}),
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
    const isTried = last.isErr() && UNREACHABLE_KINDS.has(last.error.kind);
    if (!isTried) return last;
  }
  return last;
}
