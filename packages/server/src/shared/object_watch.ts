/**
 * Watches one object of the object API by long polls, or by periodic reads where
 * long polls from every node would cost too many calls. Errors are retried with
 * exponential, jittered backoff, so that nodes don't all call at once when an
 * outage ends.
 */
import type {RandomSource} from '@sassafrasspan/core';
import type {ObjectStore, StoredObject} from '@sassafrasspan/platform';
import {EventLog, waitMs} from '@sassafrasspan/runtime';

const DEFAULT_WATCH_WAIT_MS = 15_000;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4_000;
const MAX_FIRST_POLL_DELAY_MS = 2_000;

/**
 * Called with each newer version of the object. Returns false if applying it
 * failed; the version is then delivered again after a backoff.
 */
export type ObjectListener = (object: StoredObject) => Promise<boolean>;

export interface ObjectWatchOptions {
  readonly store: ObjectStore;
  readonly key: string;
  readonly listener: ObjectListener;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** Length of a long poll; limits how long a silent connection is used. */
  readonly watchWaitMs?: number;
  /** Mean time between reads; undefined for long polls. */
  readonly pollIntervalMs?: number;
}

export class ObjectWatch {
  private isStopped = false;
  private version = 0;
  private backoffMs = 0;
  private isUnavailable = false;

  private constructor(private readonly options: ObjectWatchOptions) {}

  static create(options: ObjectWatchOptions): ObjectWatch {
    return new ObjectWatch(options);
  }

  /** Watches the object until `stop` is called. */
  async run(): Promise<void> {
    const isPolled = this.options.pollIntervalMs !== undefined;
    if (isPolled) await waitMs(MAX_FIRST_POLL_DELAY_MS * this.options.random());
    while (!this.isStopped) {
      const result = await this.readObject();
      if (this.isStopped) return;
      if (result.isErr()) await this.waitAfterError(result.error.detail);
      else await this.applyObject(result.value);
    }
  }

  private readObject() {
    const {store, key, pollIntervalMs} = this.options;
    if (pollIntervalMs !== undefined) return store.readObject(key);
    const maxWaitMs = this.options.watchWaitMs ?? DEFAULT_WATCH_WAIT_MS;
    return store.watchObject(key, this.version, maxWaitMs);
  }

  private async applyObject(object: StoredObject): Promise<void> {
    if (this.isUnavailable) {
      this.options.log.writeEvent('platform-up', {key: this.options.key});
    }
    this.isUnavailable = false;
    if (object.version > this.version) {
      const isApplied = await this.options.listener(object);
      if (!isApplied) return this.waitBackoff();
      this.version = object.version;
    }
    this.backoffMs = 0;
    const {pollIntervalMs} = this.options;
    if (pollIntervalMs !== undefined) await this.waitJittered(pollIntervalMs);
  }

  private async waitAfterError(detail: string): Promise<void> {
    if (!this.isUnavailable) {
      const {key} = this.options;
      this.options.log.writeEvent('platform-down', {key, detail});
    }
    this.isUnavailable = true;
    await this.waitBackoff();
  }

  private async waitBackoff(): Promise<void> {
    const doubledMs = Math.max(MIN_BACKOFF_MS, this.backoffMs * 2);
    this.backoffMs = Math.min(MAX_BACKOFF_MS, doubledMs);
    await this.waitJittered(this.backoffMs);
  }

  private async waitJittered(meanMs: number): Promise<void> {
    await waitMs(meanMs * (0.5 + this.options.random()));
  }

  /** Stops the watch; the result of a pending call is ignored. */
  stop(): void {
    this.isStopped = true;
  }
}
