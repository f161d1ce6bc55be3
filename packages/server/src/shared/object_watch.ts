/**
 * Follows one object of the object API by long polls. Errors are retried with
 * growing, jittered delays, so that an outage does not end in a stampede.
 */
import type {RandomSource} from '@sassafrasspan/core';
import type {ObjectStore, StoredObject} from '@sassafrasspan/platform';
import {EventLog, waitMs} from '@sassafrasspan/runtime';

const WATCH_WAIT_MS = 15_000;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4_000;

/** Takes each newer state of the object; tells whether it could be used. */
export type ObjectListener = (object: StoredObject) => Promise<boolean>;

/** What a watch is built from. */
export interface ObjectWatchOptions {
  readonly store: ObjectStore;
  readonly key: string;
  readonly listener: ObjectListener;
  readonly random: RandomSource;
  readonly log: EventLog;
}

/** A watch of one object. */
export class ObjectWatch {
  private isStopped = false;
  private version = 0;
  private backoffMs = 0;

  private constructor(private readonly options: ObjectWatchOptions) {}

  /** Builds a watch that has not started. */
  static create(options: ObjectWatchOptions): ObjectWatch {
    return new ObjectWatch(options);
  }

  /** Follows the object until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const found = await this.options.store.watchObject(
        this.options.key,
        this.version,
        WATCH_WAIT_MS,
      );
      if (this.isStopped) return;
      if (found.isErr()) await this.waitAfterError(found.error.detail);
      else await this.applyObject(found.value);
    }
  }

  private async applyObject(object: StoredObject): Promise<void> {
    if (this.backoffMs > 0) {
      this.options.log.writeEvent('platform-up', {key: this.options.key});
    }
    this.backoffMs = 0;
    if (object.version <= this.version) return;
    const isApplied = await this.options.listener(object);
    if (isApplied) this.version = object.version;
    else await waitMs(MIN_BACKOFF_MS);
  }

  private async waitAfterError(detail: string): Promise<void> {
    if (this.backoffMs === 0) {
      const {key} = this.options;
      this.options.log.writeEvent('platform-down', {key, detail});
    }
    const doubled = Math.max(MIN_BACKOFF_MS, this.backoffMs * 2);
    this.backoffMs = Math.min(MAX_BACKOFF_MS, doubled);
    await waitMs(this.backoffMs * (0.5 + this.options.random()));
  }

  /** Ends the watch after the call that is under way. */
  stop(): void {
    this.isStopped = true;
  }
}
