/**
 * Holds one duty for a node: the I/O around `decideClaim` and `decideAction`. One
 * instance lives as long as the process, so that the wait after a claim outlasts
 * the loss of the coordinator role and the next election.
 */
import {
  Clock,
  DUTY_SCHEMA,
  DutyRecord,
  Scheduler,
  ServiceError,
  createError,
  decideAction,
  decideClaim,
  isHeldBy,
} from '@sassafrasspan/core';
import type {
  CollectionObject,
  ObjectCollections,
} from '@sassafrasspan/platform';
import type {EventLog, Metrics} from '@sassafrasspan/runtime';
import {isDeepStrictEqual} from 'node:util';
import {Result, err, ok} from 'neverthrow';
import type {Permit} from './cloud_port';

/** Collection of the duties' objects. */
export const DUTIES_COLLECTION = 'duties';

export interface DutyHolderOptions {
  /** Name of the duty's object. */
  readonly subject: string;
  readonly node: string;
  readonly incarnation: string;
  /** Minimum time between actions of two VMs, in ms. */
  readonly leaseMs: number;
  readonly store: ObjectCollections;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** The duty's object as last read or written. */
interface KnownObject {
  /** Undefined if the object does not exist. */
  readonly record: DutyRecord | undefined;
  readonly version: number;
}

/** State of a duty for the status page. */
export interface DutyStatus {
  readonly duty: string;
  readonly holder: string | undefined;
  readonly token: number | undefined;
  readonly waitLeftMs: number;
  /** Time since the last permit began; undefined before the first. */
  readonly ageMs: number | undefined;
}

export class DutyHolder {
  /** Undefined when the object has to be read before anything else. */
  private known: KnownObject | undefined;
  private isHeld = false;
  private readyAtMs = Infinity;
  private lastPermitAtMs: number | undefined;
  private controller: AbortController | undefined;
  /** Ends when the latest call of this object ends; calls run one by one. */
  private tail: Promise<unknown> = Promise.resolve();

  private constructor(private readonly options: DutyHolderOptions) {}

  static create(options: DutyHolderOptions): DutyHolder {
    return new DutyHolder(options);
  }

  /** Claims the duty unless this process holds it; returns its payload. */
  claim(): Promise<Result<unknown, ServiceError>> {
    return this.queue(() => this.runClaim());
  }

  /**
   * Writes the payload and then runs `send` under a permit. Fails without a call
   * if the duty is not held, has to wait or the write is in doubt. The payload in
   * the store may then differ, and `claim` returns it.
   */
  act<T>(
    payload: unknown,
    send: (permit: Permit) => Promise<T>,
  ): Promise<Result<T, ServiceError>> {
    return this.queue(() => this.runAction(payload, send));
  }

  /** Aborts the call under way and gives up the duty at a planned stop. */
  release(): Promise<void> {
    this.controller?.abort();
    return this.queue(() => this.runRelease());
  }

  describe(): DutyStatus {
    const record = this.known?.record;
    const nowMs = this.readMs();
    const {lastPermitAtMs} = this;
    return {
      duty: this.options.subject,
      holder: record?.holder,
      token: record?.token,
      waitLeftMs: this.isHeld ? Math.max(0, this.readyAtMs - nowMs) : 0,
      ageMs: lastPermitAtMs === undefined ? undefined : nowMs - lastPermitAtMs,
    };
  }

  private queue<T>(task: () => Promise<T>): Promise<T> {
    const result = this.tail.then(task);
    this.tail = result;
    return result;
  }

  private readMs(): number {
    return this.options.clock.readMonotonicMs();
  }

  private async runClaim(): Promise<Result<unknown, ServiceError>> {
    const current = await this.readIfUnknown();
    if (current.isErr()) return err(current.error);
    const {record, version} = current.value;
    const decision = decideClaim(record, this.options);
    if (decision.type === 'held') {
      if (!this.isHeld) this.startHolding(decision.waitMs);
      return ok(record?.payload);
    }
    const written = await this.write(decision.record, version);
    if (written.isErr()) return err(written.error);
    this.startHolding(decision.waitMs);
    const isTakenOver =
      record !== undefined && record.holder !== decision.record.holder;
    this.options.log.writeEvent(
      isTakenOver ? 'duty-taken-over' : 'duty-claimed',
      {
        duty: this.options.subject,
        token: decision.record.token,
        before: record?.holder,
        released: record?.releasedAt !== undefined,
        waitMs: decision.waitMs,
      },
    );
    return ok(decision.record.payload);
  }

  private startHolding(waitMs: number): void {
    this.isHeld = true;
    this.readyAtMs = this.readMs() + waitMs;
  }

  private async runAction<T>(
    payload: unknown,
    send: (permit: Permit) => Promise<T>,
  ): Promise<Result<T, ServiceError>> {
    const {known} = this;
    if (known?.record === undefined || !this.isHeld) {
      return err(createError('not-home', 'the duty is not held'));
    }
    const action = decideAction({
      record: known.record,
      payload,
      nowMs: this.readMs(),
      readyAtMs: this.readyAtMs,
    });
    if (action.type === 'wait') {
      const detail = `the duty may act in ${action.leftMs} ms`;
      return err(createError('not-ready', detail));
    }
    const written = await this.write(action.record, known.version);
    if (written.isErr()) return err(written.error);
    return this.runPermitted(action.permitEndsAtMs, send);
  }

  private async runPermitted<T>(
    endsAtMs: number,
    send: (permit: Permit) => Promise<T>,
  ): Promise<Result<T, ServiceError>> {
    const {node, scheduler} = this.options;
    const controller = new AbortController();
    const isValid = () =>
      !controller.signal.aborted && this.readMs() < endsAtMs;
    if (!isValid()) {
      return err(createError('not-ready', 'the permit ended before the call'));
    }
    this.lastPermitAtMs = this.readMs();
    this.controller = controller;
    const cancelTimer = scheduler.schedule(endsAtMs - this.readMs(), () =>
      controller.abort(),
    );
    const token = this.known?.record?.token ?? 0;
    const {signal} = controller;
    const result = await send({holder: node, token, signal, isValid});
    cancelTimer();
    // Nothing that `send` left behind may start a call.
    controller.abort();
    return ok(result);
  }

  private async runRelease(): Promise<void> {
    const {known} = this;
    if (known?.record === undefined || !this.isHeld) return;
    const releasedAt = this.options.clock.readWallMs();
    const {token} = known.record;
    const written = await this.write(
      {...known.record, releasedAt},
      known.version,
    );
    this.isHeld = false;
    if (written.isErr()) return;
    const {subject: duty, log} = this.options;
    log.writeEvent('duty-released', {duty, token});
  }

  /** Writes the object; a write without a plain answer is read back. */
  private async write(
    record: DutyRecord,
    version: number,
  ): Promise<Result<void, ServiceError>> {
    const {store, subject, metrics} = this.options;
    // Until the answer arrives, nothing is known.
    const before = this.known?.record;
    this.known = undefined;
    const written =
      before === undefined
        ? await store.createObject(DUTIES_COLLECTION, subject, record)
        : await store.replaceObject(
            DUTIES_COLLECTION,
            subject,
            record,
            version,
          );
    const outcome = written.isOk() ? 'done' : written.error.kind;
    metrics.addCount('duty_writes_total', {duty: subject, outcome});
    if (written.isOk()) {
      this.known = {record, version: written.value.version};
      return ok(undefined);
    }
    const read = await this.readIfUnknown();
    if (read.isErr()) return err(read.error);
    // JSON has no undefined fields.
    const sent: unknown = JSON.parse(JSON.stringify(record));
    if (isDeepStrictEqual(read.value.record, sent)) return ok(undefined);
    return err(written.error);
  }

  private async readIfUnknown(): Promise<Result<KnownObject, ServiceError>> {
    if (this.known !== undefined) return ok(this.known);
    const {store, subject} = this.options;
    const object = await store.readObject(DUTIES_COLLECTION, subject);
    if (object.isErr()) return err(object.error);
    const decoded = decodeObject(object.value);
    if (decoded.isErr()) return err(decoded.error);
    this.known = decoded.value;
    this.checkHolder(decoded.value.record);
    return ok(decoded.value);
  }

  private checkHolder(record: DutyRecord | undefined): void {
    if (!this.isHeld) return;
    if (record !== undefined && isHeldBy(record, this.options)) return;
    this.isHeld = false;
    const {subject, log} = this.options;
    const {token, holder: by} = record ?? {};
    log.writeEvent('duty-lost', {duty: subject, token, by});
  }
}

function decodeObject(
  object: CollectionObject | undefined,
): Result<KnownObject, ServiceError> {
  if (object === undefined) return ok({record: undefined, version: 0});
  const parsed = DUTY_SCHEMA.safeParse(object.value);
  if (parsed.success) return ok({record: parsed.data, version: object.version});
  return err(createError('internal', `malformed duty ${object.name}`));
}
