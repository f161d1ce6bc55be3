/**
 * Caches the collections that the coordinator watches. Other nodes list and watch
 * the cache, so the store serves one watch instead of one per node. The cache
 * answers only while it has recently received a result of its own watch;
 * otherwise nodes ask the store themselves. Paths on the wire call it the hub.
 */
import {Clock, ServiceError, createError} from '@sassafrasspan/core';
import type {
  CollectionChange,
  CollectionChanges,
  CollectionListing,
  CollectionObject,
  CollectionListener,
} from '@sassafrasspan/platform';
import {Waiters} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import * as z from 'zod/mini';
import {PeerContext, PeerRoutes, createHandler} from './peer_server';

export const WATCH_CACHE_PATHS = {
  list: '/hub/list',
  watch: '/hub/watch',
} as const;

/** A collection is fresh for the wait time of its watch plus this margin, in ms,
 * after the last result of the watch. */
const FRESHNESS_MARGIN_MS = 700;
/** Number of change batches that are retained for nodes that lag behind. */
const MAX_BATCHES = 200;

const LIST_SCHEMA = z.object({kind: z.string()});

const WATCH_SCHEMA = z.object({
  kind: z.string(),
  storeVersion: z.number(),
  waitMs: z.number(),
});

/** Changes that lead to a version of the store. */
interface ChangeBatch {
  readonly storeVersion: number;
  readonly changes: readonly CollectionChange[];
}

class CachedCollection {
  private readonly objects = new Map<string, CollectionObject>();
  private batches: ChangeBatch[] = [];
  /** Oldest store version from which a watch can be answered. */
  private oldestVersion = 0;
  private version = 0;
  private confirmedAtMs = -Infinity;
  private readonly waiters = Waiters.create();

  private constructor(private readonly freshMs: number) {}

  static create(freshMs: number): CachedCollection {
    return new CachedCollection(freshMs);
  }

  replaceAll(
    objects: readonly CollectionObject[],
    storeVersion: number,
    nowMs: number,
  ): void {
    this.objects.clear();
    for (const object of objects) this.objects.set(object.name, object);
    this.batches = [];
    this.oldestVersion = storeVersion;
    this.setVersion(storeVersion, nowMs);
  }

  applyChanges(
    changes: readonly CollectionChange[],
    storeVersion: number,
    nowMs: number,
  ): void {
    for (const {object, isRemoved} of changes) {
      if (isRemoved) this.objects.delete(object.name);
      else this.objects.set(object.name, object);
    }
    if (changes.length > 0) this.batches.push({storeVersion, changes});
    if (this.batches.length > MAX_BATCHES) {
      const dropped = this.batches.shift();
      this.oldestVersion = dropped?.storeVersion ?? this.oldestVersion;
    }
    this.setVersion(storeVersion, nowMs);
  }

  private setVersion(storeVersion: number, nowMs: number): void {
    this.version = storeVersion;
    this.confirmedAtMs = nowMs;
    this.waiters.wakeAll();
  }

  isFresh(nowMs: number): boolean {
    return nowMs - this.confirmedAtMs <= this.freshMs;
  }

  list(): CollectionListing {
    return {objects: [...this.objects.values()], storeVersion: this.version};
  }

  /** Returns the changes since a version; undefined if no longer retained. */
  listChanges(since: number): CollectionChanges | undefined {
    if (since < this.oldestVersion) return undefined;
    const newer = this.batches.filter(batch => batch.storeVersion > since);
    return {
      changes: newer.flatMap(batch => batch.changes),
      storeVersion: Math.max(since, this.version),
    };
  }

  async waitForChange(limitMs: number, signal: AbortSignal): Promise<void> {
    await this.waiters.wait(limitMs, signal);
  }
}

export class WatchCache {
  private readonly collections = new Map<string, CachedCollection>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): WatchCache {
    return new WatchCache(clock);
  }

  /**
   * Caches a collection from now on. The caller must pass all results of its
   * watch, which waits up to `waitMs`, to the returned listener.
   */
  addCollection(kind: string, waitMs: number): CollectionListener {
    const collection = CachedCollection.create(waitMs + FRESHNESS_MARGIN_MS);
    this.collections.set(kind, collection);
    return {
      onListed: (objects, storeVersion) =>
        collection.replaceAll(objects, storeVersion, this.readMs()),
      onChanged: (changes, storeVersion) =>
        collection.applyChanges(changes, storeVersion, this.readMs()),
    };
  }

  /** Stops answering for all collections. */
  clear(): void {
    this.collections.clear();
  }

  /** Returns handlers for the calls of other nodes. */
  createRoutes(): PeerRoutes {
    return {
      [WATCH_CACHE_PATHS.list]: createHandler(LIST_SCHEMA, ({kind}) =>
        this.findCollection(kind).map(collection => collection.list()),
      ),
      [WATCH_CACHE_PATHS.watch]: createHandler(WATCH_SCHEMA, (call, context) =>
        this.watch(call, context),
      ),
    };
  }

  private async watch(
    call: z.infer<typeof WATCH_SCHEMA>,
    context: PeerContext,
  ): Promise<Result<CollectionChanges, ServiceError>> {
    const {kind, storeVersion, waitMs} = call;
    const endsAtMs = this.readMs() + waitMs;
    for (;;) {
      const collection = this.findCollection(kind);
      if (collection.isErr()) return err(collection.error);
      const changes = collection.value.listChanges(storeVersion);
      if (changes === undefined) {
        return err(createError('history-gone', `${kind} from ${storeVersion}`));
      }
      const remainingMs = endsAtMs - this.readMs();
      const isWaitOver = remainingMs <= 0 || context.signal.aborted;
      if (changes.changes.length > 0 || isWaitOver) return ok(changes);
      await collection.value.waitForChange(remainingMs, context.signal);
    }
  }

  private findCollection(kind: string): Result<CachedCollection, ServiceError> {
    const collection = this.collections.get(kind);
    if (collection?.isFresh(this.readMs())) return ok(collection);
    return err(createError('not-home', `${kind} is not cached here now`));
  }

  private readMs(): number {
    return this.clock.readMonotonicMs();
  }
}
