/**
 * The object API as a node reaches it: straight, or through another node that
 * is asked to make the call on its own path. An error that the store itself
 * has given, such as a conflict, is an answer whichever way it came.
 */
import {
  Clock,
  RandomSource,
  ServiceError,
  StorePathSelector,
  createError,
} from '@sassafrasspan/core';
import type {
  CollectionChanges,
  CollectionListing,
  CollectionObject,
  ListOptions,
  ObjectCollections,
  StoreResult,
} from '@sassafrasspan/platform';
import {EventLog, PeerAddress} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import * as z from 'zod/mini';
import type {PeerClient} from './peer_client';
import {PeerRoutes, createHandler} from './peer_server';
import {Attempt, tryAttempts} from './staggered_race';
import {HUB_PATHS} from './watch_hub';

const RELAY_PATH = '/store/relay';
/** Nodes that are asked before the store counts as away. */
const MAX_RELAYS = 3;
/** Time without an answer after which another way is tried, in ms: the store
 * answers in 4 ms, and when it is slow mostly within this. */
const STAGGER_MS = 280;
/** Time for a relayed call beyond its wait, in ms. */
const RELAY_TIMEOUT_MS = 1_100;

/** Time for an answer of the hub beyond its wait, in ms. */
const HUB_TIMEOUT_MS = 300;
/** Time for which a kind is not asked of a hub that failed, in ms. */
const HUB_AVOID_MS = 1_500;

const OBJECT_SCHEMA = z.object({
  name: z.string(),
  version: z.number(),
  value: z.unknown(),
  status: z.optional(z.unknown()),
});

const LISTING_SCHEMA: z.ZodMiniType<CollectionListing> = z.object({
  objects: z.array(OBJECT_SCHEMA),
  storeVersion: z.number(),
}) as unknown as z.ZodMiniType<CollectionListing>;

const CHANGES_SCHEMA = z.object({
  changes: z.array(z.object({object: OBJECT_SCHEMA, isRemoved: z.boolean()})),
  storeVersion: z.number(),
}) as unknown as z.ZodMiniType<CollectionChanges>;

/** Errors that say nothing of the store's answer. */
const NO_ANSWER_KINDS: ReadonlySet<string> = new Set([
  'platform-down',
  'peer-lost',
  'peer-absent',
]);

/** Schema of a call on the store as another node makes it. */
const RELAYED_CALL_SCHEMA = z.discriminatedUnion('operation', [
  z.object({operation: z.literal('read'), kind: z.string(), name: z.string()}),
  z.object({
    operation: z.literal('list'),
    kind: z.string(),
    after: z.optional(z.string()),
    mayBeStale: z.optional(z.boolean()),
  }),
  z.object({
    operation: z.literal('watch'),
    kind: z.string(),
    storeVersion: z.number(),
    waitMs: z.number(),
  }),
  z.object({
    operation: z.literal('create'),
    kind: z.string(),
    name: z.string(),
    value: z.unknown(),
  }),
  z.object({
    operation: z.literal('replace'),
    kind: z.string(),
    name: z.string(),
    value: z.unknown(),
    version: z.number(),
  }),
  z.object({
    operation: z.literal('status'),
    kind: z.string(),
    name: z.string(),
    status: z.unknown(),
  }),
  z.object({
    operation: z.literal('remove'),
    kind: z.string(),
    name: z.string(),
  }),
]);

type RelayedCall = z.infer<typeof RELAYED_CALL_SCHEMA>;

/** Answer of a node whose own path does not work. */
const CUT_ERROR = createError('platform-down', 'no way to the store here', {
  outcome: 'not-run',
});

/** A relayed result; absent for a missing object. */
const VALUE_SCHEMA = z.object({value: z.optional(z.unknown())});

/** Makes a call on a store. */
const OPERATIONS: {
  readonly [K in RelayedCall['operation']]: (
    store: ObjectCollections,
    call: Extract<RelayedCall, {operation: K}>,
  ) => StoreResult<unknown>;
} = {
  read: (store, call) => store.readObject(call.kind, call.name),
  list: (store, {kind, after, mayBeStale}) =>
    store.listObjects(kind, {after, mayBeStale}),
  watch: (store, call) =>
    store.watchObjects(call.kind, call.storeVersion, call.waitMs),
  create: (store, call) => store.createObject(call.kind, call.name, call.value),
  replace: (store, call) =>
    store.replaceObject(call.kind, call.name, call.value, call.version),
  status: (store, call) => store.writeStatus(call.kind, call.name, call.status),
  remove: (store, call) => store.removeObject(call.kind, call.name),
};

function runOperation(
  store: ObjectCollections,
  call: RelayedCall,
): StoreResult<unknown> {
  const operation = OPERATIONS[call.operation] as (
    store: ObjectCollections,
    call: RelayedCall,
  ) => StoreResult<unknown>;
  return operation(store, call);
}

/** What a relayed store is built from. */
export interface RelayedStoreOptions {
  readonly direct: ObjectCollections;
  readonly peers: PeerClient;
  /** Finds the node that follows kinds for others; undefined for none. */
  readonly findHub: () => PeerAddress | undefined;
  /** Lists the nodes that can relay. */
  readonly listRelays: () => readonly PeerAddress[];
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
}

/** The store by whichever way works. */
export class RelayedStore implements ObjectCollections {
  private readonly path = StorePathSelector.create();
  private readonly hubAvoidedUntilMs = new Map<string, number>();

  private constructor(private readonly options: RelayedStoreOptions) {}

  /** Builds a store. */
  static create(options: RelayedStoreOptions): RelayedStore {
    return new RelayedStore(options);
  }

  /** Returns the call that other nodes make on this node's own path. */
  createRoutes(): PeerRoutes {
    return {
      [RELAY_PATH]: createHandler(RELAYED_CALL_SCHEMA, async call => {
        if (this.path.isCut(this.readMs())) return err(CUT_ERROR);
        const result = await this.runDirect(call);
        return result.map(value => ({value}));
      }),
    };
  }

  readObject(
    kind: string,
    name: string,
  ): StoreResult<CollectionObject | undefined> {
    return this.run({operation: 'read', kind, name});
  }

  async listObjects(
    kind: string,
    options: ListOptions = {},
  ): StoreResult<CollectionListing> {
    const found = await this.askHub(HUB_PATHS.list, {kind}, LISTING_SCHEMA, 0);
    if (found?.isOk()) return ok(found.value);
    return this.run({operation: 'list', kind, ...options});
  }

  async watchObjects(
    kind: string,
    storeVersion: number,
    waitMs: number,
  ): StoreResult<CollectionChanges> {
    const call = {kind, storeVersion, waitMs};
    const {watch} = HUB_PATHS;
    const found = await this.askHub(watch, call, CHANGES_SCHEMA, waitMs);
    if (found?.isOk()) return ok(found.value);
    const isGone = found?.isErr() && found.error.kind === 'history-gone';
    if (isGone) return err(found.error);
    return this.run({operation: 'watch', kind, storeVersion, waitMs}, waitMs);
  }

  createObject(
    kind: string,
    name: string,
    value: unknown,
  ): StoreResult<CollectionObject> {
    return this.run({operation: 'create', kind, name, value});
  }

  replaceObject(
    kind: string,
    name: string,
    value: unknown,
    version: number,
  ): StoreResult<CollectionObject> {
    return this.run({operation: 'replace', kind, name, value, version});
  }

  writeStatus(
    kind: string,
    name: string,
    status: unknown,
  ): StoreResult<CollectionObject> {
    return this.run({operation: 'status', kind, name, status});
  }

  removeObject(kind: string, name: string): StoreResult<void> {
    return this.run({operation: 'remove', kind, name});
  }

  /**
   * Asks the hub, unless it has failed lately; undefined for no hub. A kind
   * that it does not follow is asked of the store for a while.
   */
  private async askHub<T>(
    path: string,
    body: {readonly kind: string},
    schema: z.ZodMiniType<T>,
    waitMs: number,
  ): Promise<Result<T, ServiceError> | undefined> {
    const hub = this.options.findHub();
    const avoidUntilMs = this.hubAvoidedUntilMs.get(body.kind) ?? -Infinity;
    if (hub === undefined || this.readMs() < avoidUntilMs) return undefined;
    const reply = await this.options.peers.call({
      address: hub,
      path,
      body,
      schema,
      timeoutMs: waitMs + HUB_TIMEOUT_MS,
    });
    const isAnswer = reply.isOk() || reply.error.kind === 'history-gone';
    const untilMs = isAnswer ? -Infinity : this.readMs() + HUB_AVOID_MS;
    this.hubAvoidedUntilMs.set(body.kind, untilMs);
    return reply;
  }

  private async run<T>(call: RelayedCall, waitMs = 0): StoreResult<T> {
    const result = await tryAttempts(this.listAttempts(call, waitMs), {
      staggerMs: waitMs + STAGGER_MS,
      isAnswer: error => !NO_ANSWER_KINDS.has(error.kind),
    });
    if (result.isOk()) return ok(result.value as T);
    if (!NO_ANSWER_KINDS.has(result.error.kind)) return err(result.error);
    const {detail, outcome} = result.error;
    return err(createError('platform-down', detail, {outcome}));
  }

  private listAttempts(
    call: RelayedCall,
    waitMs: number,
  ): Array<Attempt<unknown>> {
    const nowMs = this.readMs();
    const ways = this.path.listPaths(nowMs);
    const runDirect = () => this.runDirect(call);
    // A watch that was cut says nothing of the path; its caller lists next.
    const isLoneWatch = call.operation === 'watch' && !this.path.isCut(nowMs);
    if (isLoneWatch && ways.length > 0) return [runDirect];
    const relayed = this.pickRelays().map(
      address => () => this.runRelayed(address, call, waitMs),
    );
    const attempts: Array<Attempt<unknown>> = [];
    if (ways.includes('direct')) attempts.push(runDirect);
    if (ways.includes('relayed')) attempts.push(...relayed);
    const markAway = () => {
      this.path.recordUnavailable(this.readMs());
      return Promise.resolve(err(CUT_ERROR));
    };
    return ways.length > 0 ? [...attempts, markAway] : attempts;
  }

  private async runDirect(call: RelayedCall): StoreResult<unknown> {
    const wasCut = this.path.isCut(this.readMs());
    const result = await runOperation(this.options.direct, call);
    const isCut = result.isErr() && result.error.kind === 'platform-down';
    if (isCut) {
      if (call.operation !== 'watch') this.path.recordCut(this.readMs());
    } else {
      this.path.recordDirectSuccess();
      if (wasCut) this.options.log.writeEvent('store-path-up', {});
    }
    return result;
  }

  private async runRelayed(
    address: PeerAddress,
    call: RelayedCall,
    waitMs: number,
  ): StoreResult<unknown> {
    const {peers, log} = this.options;
    const reply: Result<{value?: unknown}, ServiceError> = await peers.call({
      address,
      path: RELAY_PATH,
      body: call,
      schema: VALUE_SCHEMA,
      timeoutMs: waitMs + RELAY_TIMEOUT_MS,
    });
    if (reply.isErr()) return err(reply.error);
    this.path.recordRelayedSuccess();
    log.writeEvent('store-call-relayed', {kind: call.kind});
    return ok(reply.value.value);
  }

  private pickRelays(): PeerAddress[] {
    const {listRelays, random} = this.options;
    return [...listRelays()]
      .map(address => ({address, order: random()}))
      .sort((a, b) => a.order - b.order)
      .slice(0, MAX_RELAYS)
      .map(item => item.address);
  }

  private readMs(): number {
    return this.options.clock.readMonotonicMs();
  }
}
