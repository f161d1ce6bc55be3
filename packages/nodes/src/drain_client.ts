/** Asks an agent to take no new work for an endpoint. */
import {credentials} from '@grpc/grpc-js';
import type {ServiceError} from '@sassafrasspan/core';
import type {Result} from 'neverthrow';
import {callUnary} from './agent_client';
import {CHANNEL_OPTIONS} from './channel_options';
import {AgentNodeClient, DrainReply} from './generated/nodes';

/**
 * Marks an endpoint as leaving, or every endpoint of the agent when the name
 * is empty. Returns what still runs and waits; may be repeated.
 */
export async function drainEndpoint(
  address: string,
  endpoint: string,
): Promise<Result<DrainReply, ServiceError>> {
  const insecure = credentials.createInsecure();
  const stub = new AgentNodeClient(address, insecure, CHANNEL_OPTIONS);
  const reply = await callUnary<DrainReply>((metadata, options, done) =>
    stub.drain({endpoint}, metadata, options, done),
  );
  stub.close();
  return reply;
}
