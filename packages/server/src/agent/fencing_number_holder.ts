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
export interface FencingNumberHolderOptions {
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
export class FencingNumberHolder {
  private state: FencingState = NO_FENCING_NUMBER;

  private constructor(private readonly options: FencingNumberHolderOptions) {}

  /** Builds a keeper without a number. */
  static create(options: FencingNumberHolderOptions): FencingNumberHolder {
    return new FencingNumberHolder(options);
  }

  /** Returns the number held. */
  getState(): FencingState {
    return this.state;
  }

  /** Gains a number above all earlier ones. */
  async gainNumber(): Promise<Result<void, ServiceError>> {
    const {endpoint, holder, store} = this.options;
    const key = formatFencingKey(endpoint);
    const stored = await store.readObject(key);
    if (stored.isErr()) return err(stored.error);
    const current = readRecord(stored.value);
    // A reply to an earlier write of this life may have been lost.
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
   * Reads whether the number is still the newest. With the platform down, an
   * engine that checks numbers protects itself; for others nothing is known.
   */
  async verifyNumber(): Promise<Result<void, ServiceError>> {
    const {endpoint, holder, store, checksFencing} = this.options;
    const readAtMs = this.options.clock.readMonotonicMs();
    const stored = await store.readObject(formatFencingKey(endpoint));
    if (stored.isErr() && !checksFencing) return err(stored.error);
    if (stored.isOk() && readRecord(stored.value)?.holder !== holder) {
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
