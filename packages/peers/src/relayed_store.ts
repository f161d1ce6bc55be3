/**
 * Calls the object API directly, or through another node that relays the call
 * on its own direct path. An error from the store itself, such as a conflict, is
 * an answer whichever path it came by.
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
import {WATCH_CACHE_PATHS} from './watch_cache';

const RELAY_PATH = '/store/relay';
/** Number of relays that are tried before the store counts as unavailable. */
const MAX_RELAYS = 3;
/** Time without an answer after which another path is tried, in ms. The store
 * answers in 4 ms, and mostly within this time when it is slow. */
const STAGGER_MS = 280;
/** Timeout of a relayed call beyond its wait, in ms. */
const RELAY_MARGIN_MS = 1_100;

/** Timeout of a call to the watch cache beyond its wait, in ms. */
const CACHE_TIMEOUT_MS = 300;
/** Time for which a collection is read from the store after the watch cache
 * has failed to return it, in ms. */
const CACHE_AVOID_MS = 1_500;

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

/** Errors that are not an answer of the store. */
const NO_ANSWER_KINDS: ReadonlySet<string> = new Set([
  'platform-down',
  'peer-lost',
  'peer-absent',
]);

/** Schema of a store call that another node relays. */
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

/** Answer of a relay that can't reach the store directly. */
const UNREACHABLE_ERROR = createError(
  'platform-down',
  'this node has no path to the store',
  {
    outcome: 'not-run',
  },
);

/** Schema of a relayed result; the value is absent for a missing object. */
const VALUE_SCHEMA = z.object({value: z.optional(z.unknown())});

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

export interface RelayedStoreOptions {
  readonly direct: ObjectCollections;
  readonly peers: PeerClient;
  /** Returns the node whose watch cache to use; undefined for none. */
  readonly findWatchCache: () => PeerAddress | undefined;
  /** Lists the nodes that can relay. */
  readonly listRelays: () => readonly PeerAddress[];
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
}

/** The store by whichever path works. */
export class RelayedStore implements ObjectCollections {
  private readonly path = StorePathSelector.create();
  /** Time until which the watch cache is not asked, by collection. */
  private readonly cacheAvoidedUntilMs = new Map<string, number>();

  private constructor(private readonly options: RelayedStoreOptions) {}

  static create(options: RelayedStoreOptions): RelayedStore {
    return new RelayedStore(options);
  }

  /** Returns the handler that relays store calls for other nodes. */
  createRoutes(): PeerRoutes {
    return {
      [RELAY_PATH]: createHandler(RELAYED_CALL_SCHEMA, async call => {
        if (this.path.isDirectUnreachable(this.readMs())) {
          return err(UNREACHABLE_ERROR);
        }
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
    const listing = await this.callCache(
      WATCH_CACHE_PATHS.list,
      {kind},
      LISTING_SCHEMA,
      0,
    );
    if (listing?.isOk()) return ok(listing.value);
    return this.run({operation: 'list', kind, ...options});
  }

  async watchObjects(
    kind: string,
    storeVersion: number,
    waitMs: number,
  ): StoreResult<CollectionChanges> {
    const call = {kind, storeVersion, waitMs};
    const {watch} = WATCH_CACHE_PATHS;
    const changes = await this.callCache(watch, call, CHANGES_SCHEMA, waitMs);
    if (changes?.isOk()) return ok(changes.value);
    const isGone = changes?.isErr() && changes.error.kind === 'history-gone';
    if (isGone) return err(changes.error);
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
   * Calls the watch cache. Returns undefined if there is none, or if it has
   * recently failed for this collection.
   */
  private async callCache<T>(
    path: string,
    body: {readonly kind: string},
    schema: z.ZodMiniType<T>,
    waitMs: number,
  ): Promise<Result<T, ServiceError> | undefined> {
    const cache = this.options.findWatchCache();
    const avoidUntilMs = this.cacheAvoidedUntilMs.get(body.kind) ?? -Infinity;
    if (cache === undefined || this.readMs() < avoidUntilMs) return undefined;
    const reply = await this.options.peers.call({
      address: cache,
      path,
      body,
      schema,
      timeoutMs: waitMs + CACHE_TIMEOUT_MS,
    });
    const isAnswer = reply.isOk() || reply.error.kind === 'history-gone';
    const untilMs = isAnswer ? -Infinity : this.readMs() + CACHE_AVOID_MS;
    this.cacheAvoidedUntilMs.set(body.kind, untilMs);
    return reply;
  }

  private async run<T>(call: RelayedCall, waitMs = 0): StoreResult<T> {
    const result = await tryAttempts(this.createAttempts(call, waitMs), {
      staggerMs: waitMs + STAGGER_MS,
      isAnswer: error => !NO_ANSWER_KINDS.has(error.kind),
    });
    if (result.isOk()) return ok(result.value as T);
    if (!NO_ANSWER_KINDS.has(result.error.kind)) return err(result.error);
    const {detail, outcome} = result.error;
    return err(createError('platform-down', detail, {outcome}));
  }

  private createAttempts(
    call: RelayedCall,
    waitMs: number,
  ): Array<Attempt<unknown>> {
    const nowMs = this.readMs();
    const paths = this.path.listPaths(nowMs);
    const runDirect = () => this.runDirect(call);
    // A failed watch doesn't show that the path is down; its caller lists next.
    const isDirectWatch =
      call.operation === 'watch' && !this.path.isDirectUnreachable(nowMs);
    if (isDirectWatch && paths.length > 0) return [runDirect];
    const relayed = this.pickRelays().map(
      address => () => this.runRelayed(address, call, waitMs),
    );
    const attempts: Array<Attempt<unknown>> = [];
    if (paths.includes('direct')) attempts.push(runDirect);
    if (paths.includes('relayed')) attempts.push(...relayed);
    const markUnavailable = () => {
      this.path.recordUnavailable(this.readMs());
      return Promise.resolve(err(UNREACHABLE_ERROR));
    };
    return paths.length > 0 ? [...attempts, markUnavailable] : attempts;
  }

  private async runDirect(call: RelayedCall): StoreResult<unknown> {
    const wasUnreachable = this.path.isDirectUnreachable(this.readMs());
    const result = await runOperation(this.options.direct, call);
    const isUnreachable =
      result.isErr() && result.error.kind === 'platform-down';
    if (isUnreachable) {
      if (call.operation !== 'watch') {
        this.path.recordUnreachable(this.readMs());
      }
    } else {
      this.path.recordDirectSuccess();
      if (wasUnreachable) this.options.log.writeEvent('store-path-up', {});
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
      timeoutMs: waitMs + RELAY_MARGIN_MS,
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
