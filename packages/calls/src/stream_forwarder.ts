/**
 * Forwards streams, which callers may take up again at any entry. Before a stream
 * is passed on, the entries that keep its origin are told; one that is taken up
 * is sent only to endpoints where it may go on.
 */
import {
  Clock,
  ServiceError,
  StreamOrigin,
  StreamOrigins,
  createError,
  rankOriginKeepers,
} from '@sassafrasspan/core';
import {
  ClusterWatch,
  PeerClient,
  PeerRoutes,
  RegisteredNode,
  createHandler,
} from '@sassafrasspan/peers';
import {EventLog, Metrics, parseAddress} from '@sassafrasspan/runtime';
import {err, ok} from 'neverthrow';
import * as z from 'zod/mini';
import type {CallForwarder, CallResult} from './call_forwarder';
import type {MatchedCall} from './call_types';

const PATHS = {
  record: '/entry/stream-origins',
  find: '/entry/stream-origin',
} as const;
/** Timeout of a call to another entry, in ms: several round trips. */
const TIMEOUT_MS = 150;

const ORIGIN_SCHEMA = z.object({service: z.string(), software: z.string()});
const RECORD_SCHEMA = z.object({callId: z.string(), origin: ORIGIN_SCHEMA});
const FIND_SCHEMA = z.object({callId: z.string()});
const FOUND_SCHEMA = z.object({origin: z.optional(ORIGIN_SCHEMA)});
const DONE_SCHEMA = z.object({});

export interface StreamForwarderOptions {
  /** Name of this entry. */
  readonly name: string;
  readonly cluster: ClusterWatch;
  readonly peers: PeerClient;
  readonly forwarder: CallForwarder;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

export class StreamForwarder {
  private readonly origins = StreamOrigins.create();

  private constructor(private readonly options: StreamForwarderOptions) {}

  static create(options: StreamForwarderOptions): StreamForwarder {
    return new StreamForwarder(options);
  }

  /** Returns the handlers for calls of other entries. */
  createRoutes(): PeerRoutes {
    return {
      [PATHS.record]: createHandler(RECORD_SCHEMA, ({callId, origin}) => {
        this.recordLocally(callId, origin);
        return ok({});
      }),
      [PATHS.find]: createHandler(FIND_SCHEMA, ({callId}) =>
        ok({origin: this.origins.find(callId)}),
      ),
    };
  }

  /** Forwards a call whose answer is a stream. */
  async forward(matched: MatchedCall): Promise<CallResult> {
    const {call} = matched;
    const {forwarder} = this.options;
    if (call.resumes !== undefined) {
      const origin = await this.findOrigin(call.resumes);
      return origin === undefined
        ? err(this.refuse(matched))
        : forwarder.forward(matched, origin);
    }
    let origin: StreamOrigin | undefined;
    const result = await forwarder.forward({
      ...matched,
      call: {
        ...call,
        onAnswered: (status, {service, software}) => {
          origin = {service, software};
          call.onAnswered?.(status, {service, software});
        },
      },
    });
    if (result.isOk() && origin !== undefined) {
      await this.recordOrigin(call.id, origin);
    }
    return result;
  }

  private refuse({call, route}: MatchedCall): ServiceError {
    const {log, metrics} = this.options;
    const detail = `no entry knows where ${call.resumes} began`;
    const error = createError('stream-unknown', detail);
    const {kind} = error;
    metrics.addCount('requests_refused_total', {kind});
    const fields = {requestId: call.id, route: route.name, kind, detail};
    log.writeEvent('request-refused', fields);
    return error;
  }

  private recordLocally(callId: string, origin: StreamOrigin): void {
    const nowMs = this.options.clock.readMonotonicMs();
    this.origins.record(callId, origin, nowMs);
  }

  /** Resolves once one other entry keeps the origin, or none can. */
  private async recordOrigin(
    callId: string,
    origin: StreamOrigin,
  ): Promise<void> {
    this.recordLocally(callId, origin);
    const body = {callId, origin};
    const replies = this.listOtherKeepers(callId).map(node =>
      this.callEntry(node, PATHS.record, body, DONE_SCHEMA),
    );
    await findFirst(replies, reply => (reply.isOk() ? reply : undefined));
  }

  /** Returns the first origin that this entry or another one knows. */
  private async findOrigin(callId: string): Promise<StreamOrigin | undefined> {
    const known = this.origins.find(callId);
    if (known !== undefined) return known;
    const replies = this.listOtherKeepers(callId).map(node =>
      this.callEntry(node, PATHS.find, {callId}, FOUND_SCHEMA),
    );
    return findFirst(replies, reply =>
      reply.isOk() ? reply.value.origin : undefined,
    );
  }

  private callEntry<T>(
    node: RegisteredNode,
    path: string,
    body: unknown,
    schema: z.ZodMiniType<T>,
  ) {
    const {host, port} = parseAddress(node.address) ?? {host: '', port: 0};
    const address = {host, port};
    const timeoutMs = TIMEOUT_MS;
    return this.options.peers.call({address, path, body, schema, timeoutMs});
  }

  private listOtherKeepers(callId: string): RegisteredNode[] {
    const {cluster, name} = this.options;
    const entries = cluster.listNodes('entry');
    const names = rankOriginKeepers(
      callId,
      entries.map(node => node.name),
    );
    return entries.filter(
      node => names.includes(node.name) && node.name !== name,
    );
  }
}

/** Returns the first value that `select` finds in a reply; undefined once all
 * replies have come without one. */
function findFirst<T, V>(
  replies: ReadonlyArray<Promise<T>>,
  select: (reply: T) => V | undefined,
): Promise<V | undefined> {
  return new Promise(resolve => {
    const settled = replies.map(async pending => {
      const value = select(await pending);
      if (value !== undefined) resolve(value);
    });
    void Promise.all(settled).then(() => resolve(undefined));
  });
}
