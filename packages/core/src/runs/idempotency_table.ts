/**
 * What the home agent of an idempotency key remembers of it: the fingerprint
 * of the body that came first, whether its work is under way, and the answer
 * that it had. A key is bound to its customer. A key that the table does not
 * hold runs only if it cannot have been used before this life of the agent.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import type {AnswerBuffer} from './answer_buffer';

/** How long a key and its answer are kept after the work has ended. */
export const KEY_KEEP_MS = 600_000;
/** Bytes of answers kept for keys at most. */
export const MAX_KEY_BYTES = 4_194_304;
/** Largest difference allowed between the wall clocks of caller and agent. */
export const KEY_CLOCK_SKEW_MS = 5_000;

const UUID_V7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const UUID_TIME_DIGITS = 12;
const HEX_RADIX = 16;

/** A use of a key. */
export interface KeyUse {
  readonly customer: string;
  readonly key: string;
  /** Fingerprint of the work, without what may differ between resends. */
  readonly fingerprint: string;
}

/** Time as the agent sees it. */
export interface KeyMoment {
  /** Monotonic clock in ms. */
  readonly tick: number;
  /** Wall clock in ms since the Unix epoch. */
  readonly wallMs: number;
}

/** What a use of a key leads to: a first run, or the answer of that run. */
export type KeyClaim =
  | {readonly type: 'first'}
  | {readonly type: 'answered'; readonly answer: AnswerBuffer};

/** A key that has been used. */
interface KeyRecord {
  readonly fingerprint: string;
  /** Undefined while the work is under way. */
  answer: AnswerBuffer | undefined;
  /** Whether the answer was dropped to save memory. */
  isDropped: boolean;
  expiresAtTick: number;
}

/** Settings of a table. */
export interface IdempotencyTableOptions {
  /** Wall clock in ms from which the table has seen every use of its keys. */
  readonly rememberedSinceWallMs: number;
  readonly maxBytes?: number;
}

/** The idempotency keys whose home is one endpoint. */
export class IdempotencyTable {
  private readonly records = new Map<string, KeyRecord>();
  private keptBytes = 0;
  private rememberedSinceMs: number;

  private constructor(private readonly options: IdempotencyTableOptions) {
    this.rememberedSinceMs = options.rememberedSinceWallMs;
  }

  /** Builds an empty table for one life of an agent. */
  static create(options: IdempotencyTableOptions): IdempotencyTable {
    return new IdempotencyTable(options);
  }

  /** Claims a key for a run, or tells what became of the first one. */
  claimKey(use: KeyUse, moment: KeyMoment): Result<KeyClaim, ServiceError> {
    const name = formatName(use);
    const record = this.records.get(name);
    if (record !== undefined) return describeUse(record, use);
    if (!this.isFresh(use.key, moment)) {
      const detail = 'the key may be older than the memory of its home';
      return err(createError('key-forgotten', detail));
    }
    this.records.set(name, {
      fingerprint: use.fingerprint,
      answer: undefined,
      isDropped: false,
      expiresAtTick: Number.POSITIVE_INFINITY,
    });
    return ok({type: 'first'});
  }

  /**
   * Tells whether a key cannot have been used before the table's memory. A
   * UUIDv7 shows its age; any other key counts as old as keys may be.
   */
  private isFresh(key: string, moment: KeyMoment): boolean {
    const keptSinceMs = moment.wallMs - KEY_KEEP_MS;
    const sinceMs = Math.max(this.rememberedSinceMs, keptSinceMs);
    const madeAtMs = readKeyTime(key);
    if (madeAtMs === undefined) return this.rememberedSinceMs <= keptSinceMs;
    if (madeAtMs > moment.wallMs + KEY_CLOCK_SKEW_MS) return false;
    return madeAtMs > sinceMs + KEY_CLOCK_SKEW_MS;
  }

  /** Notes that keys may have had another home up to a wall-clock time. */
  limitMemory(sinceWallMs: number): void {
    this.rememberedSinceMs = Math.max(this.rememberedSinceMs, sinceWallMs);
  }

  /** Keeps the answer of the first run, whole or not. */
  recordAnswer(use: KeyUse, answer: AnswerBuffer, tick: number): void {
    const record = this.records.get(formatName(use));
    if (record === undefined || record.answer !== undefined) return;
    record.answer = answer;
    record.expiresAtTick = tick + KEY_KEEP_MS + 2 * KEY_CLOCK_SKEW_MS;
    this.keptBytes += answer.getLength();
    this.trimAnswers();
  }

  /** Frees a key whose work is known not to have run. */
  releaseKey(use: KeyUse): void {
    this.records.delete(formatName(use));
  }

  private trimAnswers(): void {
    const limit = this.options.maxBytes ?? MAX_KEY_BYTES;
    for (const record of this.records.values()) {
      if (this.keptBytes <= limit) return;
      if (record.answer === undefined || record.isDropped) continue;
      this.keptBytes -= record.answer.getLength();
      record.isDropped = true;
      record.answer = undefined;
    }
  }

  /** Forgets keys whose time has passed. */
  removeExpired(tick: number): void {
    for (const [name, record] of this.records) {
      if (record.expiresAtTick >= tick) continue;
      this.keptBytes -= record.answer?.getLength() ?? 0;
      this.records.delete(name);
    }
  }

  /** Returns the number of remembered keys. */
  countKeys(): number {
    return this.records.size;
  }
}

function describeUse(
  record: KeyRecord,
  use: KeyUse,
): Result<KeyClaim, ServiceError> {
  if (record.fingerprint !== use.fingerprint) {
    const detail = 'the key was used with another body';
    return err(createError('conflict', detail));
  }
  if (record.answer !== undefined) {
    return ok({type: 'answered', answer: record.answer});
  }
  if (!record.isDropped) {
    return err(createError('in-progress', 'the first call is still running'));
  }
  const detail = 'the call has run and its answer is not kept any more';
  return err(createError('key-forgotten', detail, {outcome: 'ran'}));
}

function formatName(use: KeyUse): string {
  return JSON.stringify([use.customer, use.key]);
}

/** Reads when a UUIDv7 was made, in ms since the Unix epoch. */
export function readKeyTime(key: string): number | undefined {
  if (!UUID_V7.test(key)) return undefined;
  const digits = key.replaceAll('-', '').slice(0, UUID_TIME_DIGITS);
  return Number.parseInt(digits, HEX_RADIX);
}
