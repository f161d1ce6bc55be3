/** Drains endpoints of an agent. */
import {credentials} from '@grpc/grpc-js';
import type {ServiceError} from '@sassafrasspan/core';
import type {Result} from 'neverthrow';
import {callUnary} from './agent_client';
import {CHANNEL_OPTIONS} from './channel_options';
import {AgentNodeClient, DrainReply} from './generated/nodes';

/**
 * Marks an endpoint as leaving, or all endpoints of the agent if the name is
 * empty, so that they accept no new work. Returns the number of running and
 * queued requests. May be called repeatedly to poll these.
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
