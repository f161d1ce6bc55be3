/**
 * Kinds of objects that the home follows, for the other nodes to follow there:
 * one watch on the store in place of one for each node. The hub answers only
 * while its own watch is confirmed lately; else a node asks the store itself.
 */
import {Clock, ServiceError, createError} from '@sassafrasspan/core';
import type {
  CollectionChange,
  CollectionChanges,
  CollectionListing,
  CollectionObject,
  KindListener,
} from '@sassafrasspan/platform';
import {Waiters} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import * as z from 'zod/mini';
import {PeerContext, PeerRoutes, createHandler} from './peer_server';

/** Paths of the calls. */
export const WATCH_CACHE_PATHS = {
  list: '/hub/list',
  watch: '/hub/watch',
} as const;

/** Time for an answer of the store beyond the wait of a watch, in ms. */
const FRESHNESS_MARGIN_MS = 700;
/** Batches of changes that are kept for nodes that lag behind. */
const MAX_BATCHES = 200;

const LIST_SCHEMA = z.object({kind: z.string()});

const WATCH_SCHEMA = z.object({
  kind: z.string(),
  storeVersion: z.number(),
  waitMs: z.number(),
});

/** Changes up to a version of the store. */
interface ChangeBatch {
  readonly storeVersion: number;
  readonly changes: readonly CollectionChange[];
}

/** One kind at the hub. */
class CachedCollection {
  private readonly objects = new Map<string, CollectionObject>();
  private batches: ChangeBatch[] = [];
  /** Watches from this version on can be answered. */
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

  /** Returns changes after a version; undefined when they are not kept. */
  listChanges(since: number): CollectionChanges | undefined {
    if (since < this.oldestVersion) return undefined;
    const later = this.batches.filter(batch => batch.storeVersion > since);
    return {
      changes: later.flatMap(batch => batch.changes),
      storeVersion: Math.max(since, this.version),
    };
  }

  async waitForChange(limitMs: number, signal: AbortSignal): Promise<void> {
    await this.waiters.wait(limitMs, signal);
  }
}

/** The hub of one node. */
export class WatchCache {
  private readonly collections = new Map<string, CachedCollection>();

  private constructor(private readonly clock: Clock) {}

  /** Builds a hub that follows nothing. */
  static create(clock: Clock): WatchCache {
    return new WatchCache(clock);
  }

  /**
   * Offers a kind from now on; what its watch brings, with a wait of `waitMs`,
   * goes to the listener.
   */
  addCollection(kind: string, waitMs: number): KindListener {
    const feed = CachedCollection.create(waitMs + FRESHNESS_MARGIN_MS);
    this.collections.set(kind, feed);
    return {
      onListed: (objects, storeVersion) =>
        feed.replaceAll(objects, storeVersion, this.readMs()),
      onChanged: (changes, storeVersion) =>
        feed.applyChanges(changes, storeVersion, this.readMs()),
    };
  }

  /** Offers nothing any more. */
  clear(): void {
    this.collections.clear();
  }

  /** Returns the calls of other nodes. */
  createRoutes(): PeerRoutes {
    return {
      [WATCH_CACHE_PATHS.list]: createHandler(LIST_SCHEMA, ({kind}) =>
        this.findCollection(kind).map(feed => feed.list()),
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
      const feed = this.findCollection(kind);
      if (feed.isErr()) return err(feed.error);
      const found = feed.value.listChanges(storeVersion);
      if (found === undefined) {
        return err(createError('history-gone', `${kind} from ${storeVersion}`));
      }
      const leftMs = endsAtMs - this.readMs();
      const isOver = leftMs <= 0 || context.signal.aborted;
      if (found.changes.length > 0 || isOver) return ok(found);
      await feed.value.waitForChange(leftMs, context.signal);
    }
  }

  private findCollection(kind: string): Result<CachedCollection, ServiceError> {
    const feed = this.collections.get(kind);
    if (feed?.isFresh(this.readMs())) return ok(feed);
    return err(createError('not-home', `${kind} is not followed here now`));
  }

  private readMs(): number {
    return this.clock.readMonotonicMs();
  }
}
