/**
 * The fencing number of one endpoint: gained by a conditional update of the
 * endpoint's object, verified by reading it again.
 */
import {
  Clock,
  FENCING_SCHEMA,
  FencingRecord,
  FencingState,
  NO_FENCING_NUMBER,
  ServiceError,
  formatFencingKey,
} from '@sassafrasspan/core';
import type {ObjectStore, StoredObject} from '@sassafrasspan/platform';
import type {EventLog} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';

/** What a keeper is built from. */
export interface FencingKeeperOptions {
  readonly endpoint: string;
  /** Name of this life of the agent. */
  readonly holder: string;
  /** Whether the endpoint refuses orders with an old number. */
  readonly checksFencing: boolean;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Holds the fencing number of an agent for one endpoint. */
export class FencingKeeper {
  private state: FencingState = NO_FENCING_NUMBER;

  private constructor(private readonly options: FencingKeeperOptions) {}

  /** Builds a keeper without a number. */
  static create(options: FencingKeeperOptions): FencingKeeper {
    return new FencingKeeper(options);
  }

  /** Returns the number held. */
  getState(): FencingState {
    return this.state;
  }

  /** Gains a number above all earlier ones. */
  async gainNumber(): Promise<Result<void, ServiceError>> {
    const {endpoint, holder, store} = this.options;
    const key = formatFencingKey(endpoint);
    const found = await store.readObject(key);
    if (found.isErr()) return err(found.error);
    const current = readRecord(found.value);
    // A reply to an earlier write of this life may have been lost.
    if (current?.holder === holder) return this.holdNumber(current.number);
    const number = (current?.number ?? 0) + 1;
    const record: FencingRecord = {endpoint, number, holder};
    const written = await store.writeObject(key, record, found.value.version);
    return written.isOk() ? this.holdNumber(number) : err(written.error);
  }

  private holdNumber(number: number): Result<void, ServiceError> {
    const nowMs = this.options.clock.readMonotonicMs();
    const {endpoint} = this.options;
    this.state = {
      number,
      gainedAtMs: nowMs,
      verifiedAtMs: nowMs,
      isLost: false,
    };
    this.options.log.writeEvent('fencing-gained', {endpoint, number});
    return ok(undefined);
  }

  /**
   * Reads whether the number is still the newest. With the platform down, an
   * engine that checks numbers protects itself; for others nothing is known.
   */
  async verifyNumber(): Promise<Result<void, ServiceError>> {
    const {endpoint, holder, store, checksFencing} = this.options;
    const readAtMs = this.options.clock.readMonotonicMs();
    const found = await store.readObject(formatFencingKey(endpoint));
    if (found.isErr() && !checksFencing) return err(found.error);
    if (found.isOk() && readRecord(found.value)?.holder !== holder) {
      this.markLost('another agent holds a newer number');
      return ok(undefined);
    }
    this.state = {...this.state, verifiedAtMs: readAtMs};
    return ok(undefined);
  }

  /** Notes that the endpoint refused the number as too old. */
  markLost(detail: string): void {
    if (this.state.isLost) return;
    const {endpoint} = this.options;
    this.state = {...this.state, isLost: true};
    this.options.log.writeEvent('fencing-lost', {endpoint, detail});
  }
}

function readRecord(object: StoredObject): FencingRecord | undefined {
  const parsed = FENCING_SCHEMA.safeParse(object.value);
  return parsed.success ? parsed.data : undefined;
}
