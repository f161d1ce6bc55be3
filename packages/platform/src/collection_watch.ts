/**
 * Watches a collection of objects: lists it, then watches from the version of
 * the list. After a single failed watch, the next watch resumes from the same
 * version. The collection is listed again if the store no longer has the
 * history since that version, or if watches fail repeatedly. The store is
 * considered unavailable only after two failed calls in a row, since a watch
 * may also be disconnected while the store is available.
 */
import type {Clock, RandomSource} from '@sassafrasspan/core';
import {EventLog, waitMs} from '@sassafrasspan/runtime';
import type {
  CollectionChange,
  CollectionObject,
  ObjectCollections,
} from './object_collections';

/** Failed calls in a row after which the store is considered unavailable. */
const UNAVAILABLE_AFTER_FAILURES = 2;
/** Mean delay before the first retry, in ms; doubles with each failure. */
const MIN_BACKOFF_MS = 60;
/**
 * Upper bound of the mean delay, in ms. It is not lower because even rejected
 * calls have a cost.
 */
const MAX_BACKOFF_MS = 700;

/** Receives the contents and changes of a watched collection. */
export interface CollectionListener {
  /** Receives a complete list. */
  readonly onListed: (
    objects: readonly CollectionObject[],
    storeVersion: number,
  ) => void;
  /** Receives changes in order; none if a call timed out without changes. */
  readonly onChanged: (
    changes: readonly CollectionChange[],
    storeVersion: number,
  ) => void;
}

export interface CollectionWatchOptions extends CollectionListener {
  readonly store: ObjectCollections;
  readonly kind: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /**
   * Maximum time that one call waits for changes, in ms; bounds the time until
   * a dead connection is detected.
   */
  readonly waitMs: number;
  /**
   * Minimum time between two calls, in ms, so that one call returns several
   * changes.
   */
  readonly minIntervalMs: number;
  /** Called when the store becomes unavailable. */
  readonly onStoreUnavailable?: () => void;
  /** Called when the store answers again, before the listener is called. */
  readonly onStoreAvailable?: () => void;
}

/** A watch of one collection. */
export class CollectionWatch {
  private storeVersion: number | undefined;
  private consecutiveFailures = 0;
  private isStoreUnavailable = false;
  private isStopped = false;
  private lastAnswerAtMs = -Infinity;

  private constructor(private readonly options: CollectionWatchOptions) {}

  static create(options: CollectionWatchOptions): CollectionWatch {
    return new CollectionWatch(options);
  }

  /** Watches the collection until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const startedAtMs = this.options.clock.readMonotonicMs();
      const skipsBackoff = await (this.storeVersion === undefined
        ? this.list()
        : this.watch(this.storeVersion));
      if (this.isStopped) return;
      if (skipsBackoff) await this.waitMinInterval(startedAtMs);
      else await this.waitBackoff();
    }
  }

  /**
   * Returns the time of the last successful answer on the monotonic clock;
   * -Infinity before the first.
   */
  getLastAnswerAtMs(): number {
    return this.lastAnswerAtMs;
  }

  /** Stops the watch after the call in progress. */
  stop(): void {
    this.isStopped = true;
  }

  /** Returns false if the next call must back off. */
  private async list(): Promise<boolean> {
    const {store, kind, onListed} = this.options;
    const listing = await store.listObjects(kind);
    if (this.isStopped) return true;
    if (listing.isErr()) return this.recordFailure(listing.error.detail);
    this.recordSuccess();
    this.storeVersion = listing.value.storeVersion;
    onListed(listing.value.objects, this.storeVersion);
    return true;
  }

  /** Returns false if the next call must back off. */
  private async watch(storeVersion: number): Promise<boolean> {
    const {store, kind, waitMs: maxWaitMs, onChanged} = this.options;
    const reply = await store.watchObjects(kind, storeVersion, maxWaitMs);
    if (this.isStopped) return true;
    if (reply.isErr()) {
      const isHistoryGone = reply.error.kind === 'history-gone';
      if (isHistoryGone || this.consecutiveFailures > 0) {
        this.storeVersion = undefined;
      }
      return isHistoryGone || this.recordFailure(reply.error.detail);
    }
    this.recordSuccess();
    this.storeVersion = reply.value.storeVersion;
    onChanged(reply.value.changes, this.storeVersion);
    return true;
  }

  private recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.lastAnswerAtMs = this.options.clock.readMonotonicMs();
    if (!this.isStoreUnavailable) return;
    this.isStoreUnavailable = false;
    this.options.log.writeEvent('platform-up', {kind: this.options.kind});
    this.options.onStoreAvailable?.();
  }

  /** Returns false, the result of a failed `list` or `watch`. */
  private recordFailure(detail: string): boolean {
    this.consecutiveFailures += 1;
    if (
      this.consecutiveFailures < UNAVAILABLE_AFTER_FAILURES ||
      this.isStoreUnavailable
    ) {
      return false;
    }
    this.isStoreUnavailable = true;
    const {kind, log, onStoreUnavailable} = this.options;
    log.writeEvent('platform-down', {kind, detail});
    onStoreUnavailable?.();
    return false;
  }

  private async waitMinInterval(startedAtMs: number): Promise<void> {
    const elapsedMs = this.options.clock.readMonotonicMs() - startedAtMs;
    const remainingMs = this.options.minIntervalMs - elapsedMs;
    if (remainingMs > 0) await waitMs(remainingMs);
  }

  private async waitBackoff(): Promise<void> {
    const doubledMs = MIN_BACKOFF_MS * 2 ** (this.consecutiveFailures - 1);
    const meanMs = Math.min(MAX_BACKOFF_MS, doubledMs);
    await waitMs(meanMs * (0.5 + this.options.random()));
  }
}
