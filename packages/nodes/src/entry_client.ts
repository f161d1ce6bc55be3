/** An entry's gRPC connection to another entry. */
import {credentials} from '@grpc/grpc-js';
import {ServiceError, createError} from '@sassafrasspan/core';
import type {Result} from 'neverthrow';
import {
  StreamHandle,
  StreamListener,
  callUnary,
  readStream,
} from './agent_client';
import {CHANNEL_OPTIONS} from './channel_options';
import {
  EntryHeartbeat,
  EntryNodeClient,
  FetchRulesReply,
  StepCall,
  StepReply,
  WatchRequest,
} from './generated/nodes';

/** Time added to a forwarded call's own wait time. */
const FORWARD_TIMEOUT_MARGIN_MS = 3_000;

/** Calls from one entry to another. */
export interface EntryPeer {
  watch(
    request: WatchRequest,
    listener: StreamListener<EntryHeartbeat>,
  ): StreamHandle;
  fetchRules(newerThan: number): Promise<Result<FetchRulesReply, ServiceError>>;
  forwardStep(call: StepCall): Promise<Result<StepReply, ServiceError>>;
  close(): void;
}

/** gRPC client of one entry. */
export class EntryClient implements EntryPeer {
  private constructor(private readonly client: EntryNodeClient) {}

  /** `address` is `host:port`; connects on the first call. */
  static create(address: string): EntryClient {
    const insecure = credentials.createInsecure();
    return new EntryClient(
      new EntryNodeClient(address, insecure, CHANNEL_OPTIONS),
    );
  }

  watch(
    request: WatchRequest,
    listener: StreamListener<EntryHeartbeat>,
  ): StreamHandle {
    return readStream(() => this.client.watch(request), listener);
  }

  fetchRules(
    newerThan: number,
  ): Promise<Result<FetchRulesReply, ServiceError>> {
    return callUnary<FetchRulesReply>((metadata, options, done) =>
      this.client.fetchRules({newerThan}, metadata, options, done),
    );
  }

  async forwardStep(call: StepCall): Promise<Result<StepReply, ServiceError>> {
    const reply = await callUnary<StepReply>(
      (metadata, options, done) =>
        this.client.forwardStep(call, metadata, options, done),
      call.waitMs + FORWARD_TIMEOUT_MARGIN_MS,
    );
    return reply.mapErr(error => createError('no-endpoint', error.detail));
  }

  close(): void {
    this.client.close();
  }
}
