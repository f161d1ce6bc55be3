/**
 * The fencing number of one endpoint: acquired by a conditional update of the
 * endpoint's object in the store and verified by reading that object again.
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

export interface FencingNumberHolderOptions {
  readonly endpoint: string;
  /** Name of this incarnation of the agent. */
  readonly holder: string;
  /** Whether the endpoint rejects orders with an old fencing number. */
  readonly checksFencing: boolean;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: EventLog;
}

export class FencingNumberHolder {
  private state: FencingState = NO_FENCING_NUMBER;

  private constructor(private readonly options: FencingNumberHolderOptions) {}

  static create(options: FencingNumberHolderOptions): FencingNumberHolder {
    return new FencingNumberHolder(options);
  }

  getState(): FencingState {
    return this.state;
  }

  /** Acquires a number higher than all earlier ones. */
  async gainNumber(): Promise<Result<void, ServiceError>> {
    const {endpoint, holder, store} = this.options;
    const key = formatFencingKey(endpoint);
    const stored = await store.readObject(key);
    if (stored.isErr()) return err(stored.error);
    const current = readRecord(stored.value);
    // An earlier write of this incarnation may have succeeded and its reply
    // been lost.
    if (current?.holder === holder) return this.storeNumber(current.number);
    const number = (current?.number ?? 0) + 1;
    const record: FencingRecord = {endpoint, number, holder};
    const writeResult = await store.writeObject(
      key,
      record,
      stored.value.version,
    );
    return writeResult.isOk()
      ? this.storeNumber(number)
      : err(writeResult.error);
  }

  private storeNumber(number: number): Result<void, ServiceError> {
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
   * Checks that the number is still the newest. If the store is unavailable,
   * the number counts as verified only for an engine that checks numbers
   * itself.
   */
  async verifyNumber(): Promise<Result<void, ServiceError>> {
    const {endpoint, holder, store, checksFencing} = this.options;
    const readAtMs = this.options.clock.readMonotonicMs();
    const stored = await store.readObject(formatFencingKey(endpoint));
    if (stored.isErr() && !checksFencing) return err(stored.error);
    if (stored.isOk() && readRecord(stored.value)?.holder !== holder) {
      this.markLost('another agent has a newer fencing number');
      return ok(undefined);
    }
    this.state = {...this.state, verifiedAtMs: readAtMs};
    return ok(undefined);
  }

  /** Records that another agent has a newer number. */
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
