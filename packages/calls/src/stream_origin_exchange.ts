/** Records and finds the origins of streams at the nodes that keep them. */
import {
  ServiceError,
  StreamNames,
  StreamOrigin,
  createOriginKey,
  mergeOrigins,
  rankOriginKeepers,
} from '@sassafrasspan/core';
import {
  ClusterWatch,
  ORIGINS_SCHEMA,
  ORIGIN_PATHS,
  PeerCall,
  PeerClient,
  RegisteredNode,
  StreamOriginKeeper,
} from '@sassafrasspan/peers';
import {parseAddress} from '@sassafrasspan/runtime';
import type {Result} from 'neverthrow';
import * as z from 'zod/mini';

/** Timeout of a call that records an origin, in ms: several round trips. */
const RECORD_TIMEOUT_MS = 150;
/** Timeout of a call that looks an origin up, in ms; without an answer the stream
 * can't go on. */
const FIND_TIMEOUT_MS = 600;
/** Time for which an entry that starts waits for the list of nodes, in ms. */
const LIST_TIMEOUT_MS = 600;
const DONE_SCHEMA = z.object({});

export interface StreamOriginExchangeOptions {
  /** Name of this entry. */
  readonly name: string;
  readonly cluster: ClusterWatch;
  readonly peers: PeerClient;
  /** Origins that this entry keeps. */
  readonly keeper: StreamOriginKeeper;
}

export class StreamOriginExchange {
  private constructor(private readonly options: StreamOriginExchangeOptions) {}

  static create(options: StreamOriginExchangeOptions): StreamOriginExchange {
    return new StreamOriginExchange(options);
  }

  /**
   * Records the origin of a stream under the id of the call that began it and for
   * equal requests. Resolves once another entry and a node of another role keep
   * it under each, or none can.
   */
  async record(
    {callId, fingerprint}: StreamNames,
    origin: StreamOrigin,
  ): Promise<void> {
    await Promise.all([
      this.recordUnder(createOriginKey({callId, fingerprint}), origin),
      this.recordUnder(
        createOriginKey({callId: undefined, fingerprint}),
        origin,
      ),
    ]);
  }

  private async recordUnder(key: string, origin: StreamOrigin): Promise<void> {
    this.options.keeper.record(key, origin);
    const {entries, others} = await this.listKeepers(key);
    const body = {key, origin};
    const timeoutMs = RECORD_TIMEOUT_MS;
    const send = (nodes: readonly RegisteredNode[]) =>
      findFirst(
        nodes.map(node =>
          this.callNode(node, {
            ...{path: ORIGIN_PATHS.record, body},
            ...{schema: DONE_SCHEMA, timeoutMs},
          }),
        ),
        reply => (reply.isOk() ? reply : undefined),
      );
    await Promise.all([send(entries), send(others)]);
  }

  /**
   * Returns the origin of a stream; undefined if no keeper knows it, or if equal
   * requests began at different ones. Without the call's name, also undefined if a
   * keeper does not answer, since it may know of another origin.
   */
  async find(names: StreamNames): Promise<StreamOrigin | undefined> {
    const key = createOriginKey(names);
    const known = this.options.keeper.list(key);
    const {entries, others} = await this.listKeepers(key);
    const replies = [...entries, ...others].map(async node => {
      const reply = await this.callNode(node, {
        ...{path: ORIGIN_PATHS.list, body: {key}},
        ...{schema: ORIGINS_SCHEMA, timeoutMs: FIND_TIMEOUT_MS},
      });
      if (reply.isOk()) return reply.value.origins;
      // A process that is gone has forgotten what it knew.
      return reply.error.kind === 'peer-absent' ? [] : undefined;
    });
    if (names.callId === undefined) {
      const origins = await Promise.all(replies);
      const answered = origins.filter(origin => origin !== undefined);
      if (answered.length < origins.length) return undefined;
      return mergeOrigins([...known, ...answered.flat()]);
    }
    // A call has one origin, so that the first answer is enough.
    return (
      mergeOrigins(known) ??
      (await findFirst(replies, origins => mergeOrigins(origins ?? [])))
    );
  }

  private callNode<T>(
    node: RegisteredNode,
    call: Omit<PeerCall<T>, 'address'>,
  ): Promise<Result<T, ServiceError>> {
    const address = parseAddress(node.address) ?? {host: '', port: 0};
    return this.options.peers.call({...call, address});
  }

  /** Lists the nodes that keep the origin under a key, without this one. */
  private async listKeepers(key: string) {
    const {cluster, name} = this.options;
    await cluster.waitUntilListed(LIST_TIMEOUT_MS);
    const entries = cluster.listNodes('entry');
    const others = [
      ...cluster.listNodes('home'),
      ...cluster.listNodes('agent'),
    ];
    const listNames = (nodes: readonly RegisteredNode[]) =>
      nodes.map(node => node.name);
    const chosen = rankOriginKeepers(key, {
      entries: listNames(entries),
      others: listNames(others),
    });
    return {
      entries: entries.filter(
        node => chosen.entries.includes(node.name) && node.name !== name,
      ),
      others: others.filter(node => chosen.others.includes(node.name)),
    };
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
