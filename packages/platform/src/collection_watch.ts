/**
 * Follows a kind of objects: a list, then watches from its version. A watch
 * that was cut is opened again at once; a history that is gone, or a silent
 * store, leads to a new list. The store counts as away only after two failed
 * calls in a row, since a cut watch says nothing about it.
 */
import type {Clock, RandomSource} from '@sassafrasspan/core';
import {EventLog, waitMs} from '@sassafrasspan/runtime';
import type {
  CollectionChange,
  CollectionObject,
  ObjectCollections,
} from './object_collections';

/** Failed calls in a row after which the store counts as away. */
const UNAVAILABLE_AFTER_FAILURES = 2;
/** Time before the call after a failed one, in ms; doubles up to the bound. */
const MIN_BACKOFF_MS = 60;
/** Upper bound of that time, in ms: each refused call costs its price. */
const MAX_BACKOFF_MS = 700;

/** Takes what a watch of a kind brings. */
export interface CollectionListener {
  /** Takes a complete list. */
  readonly onListed: (
    objects: readonly CollectionObject[],
    storeVersion: number,
  ) => void;
  /** Takes changes, in order; also none, when a wait has passed. */
  readonly onChanged: (
    changes: readonly CollectionChange[],
    storeVersion: number,
  ) => void;
}

/** What a watch is built from. */
export interface CollectionWatchOptions extends CollectionListener {
  readonly store: ObjectCollections;
  readonly kind: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** Longest wait of one call, in ms; bounds how long a silent connection
   * goes unnoticed. */
  readonly waitMs: number;
  /** Least time between two calls, in ms; collects changes into one call. */
  readonly minIntervalMs: number;
  /** Hears that the store does not answer. */
  readonly onStoreUnavailable?: () => void;
  /** Hears that the store answers again, before the list that follows. */
  readonly onStoreAvailable?: () => void;
}

/** A watch of one kind. */
export class CollectionWatch {
  private storeVersion: number | undefined;
  private consecutiveFailures = 0;
  private isStoreUnavailable = false;
  private isStopped = false;
  private lastAnswerAtMs = -Infinity;

  private constructor(private readonly options: CollectionWatchOptions) {}

  /** Builds a watch that has not started. */
  static create(options: CollectionWatchOptions): CollectionWatch {
    return new CollectionWatch(options);
  }

  /** Follows the kind until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const startedAtMs = this.options.clock.readMonotonicMs();
      const isFine = await (this.storeVersion === undefined
        ? this.list()
        : this.watch(this.storeVersion));
      if (this.isStopped) return;
      if (isFine) await this.waitMinInterval(startedAtMs);
      else await this.waitBackoff();
    }
  }

  /** Returns the time of the last answer, on the monotonic clock. */
  getLastAnswerAtMs(): number {
    return this.lastAnswerAtMs;
  }

  /** Ends the watch after the call that is under way. */
  stop(): void {
    this.isStopped = true;
  }

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

  private async watch(storeVersion: number): Promise<boolean> {
    const {store, kind, waitMs: maxWaitMs, onChanged} = this.options;
    const found = await store.watchObjects(kind, storeVersion, maxWaitMs);
    if (this.isStopped) return true;
    if (found.isErr()) {
      const isGone = found.error.kind === 'history-gone';
      if (isGone || this.consecutiveFailures > 0) this.storeVersion = undefined;
      return isGone || this.recordFailure(found.error.detail);
    }
    this.recordSuccess();
    this.storeVersion = found.value.storeVersion;
    onChanged(found.value.changes, this.storeVersion);
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

  private recordFailure(detail: string): boolean {
    this.consecutiveFailures += 1;
    if (
      this.consecutiveFailures < UNAVAILABLE_AFTER_FAILURES ||
      this.isStoreUnavailable
    ) {
      return false;
    }
    this.isStoreUnavailable = true;
    const {kind, log, onStoreUnavailable: onAway} = this.options;
    log.writeEvent('platform-down', {kind, detail});
    onAway?.();
    return false;
  }

  private async waitMinInterval(startedAtMs: number): Promise<void> {
    const passedMs = this.options.clock.readMonotonicMs() - startedAtMs;
    const restMs = this.options.minIntervalMs - passedMs;
    if (restMs > 0) await waitMs(restMs);
  }

  private async waitBackoff(): Promise<void> {
    const doubledMs = MIN_BACKOFF_MS * 2 ** (this.consecutiveFailures - 1);
    const meanMs = Math.min(MAX_BACKOFF_MS, doubledMs);
    await waitMs(meanMs * (0.5 + this.options.random()));
  }
}
