/**
 * Idempotency keys at the agent that owns them. For each key the table stores
 * the fingerprint of the first request, whether its work is in progress, and its
 * answer. Keys are scoped to a customer. Work with a key that is not in the
 * table runs only if the key cannot have been used before the period that the
 * table covers.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import type {AnswerBuffer} from './answer_buffer';

/** Time for which a key and its answer are stored after the work has ended. */
export const KEY_RETENTION_MS = 600_000;
/** Maximum total size of stored answers, in bytes. */
export const MAX_KEY_ANSWER_BYTES = 4_194_304;
/** Maximum difference between the wall clocks of caller and agent. */
export const KEY_CLOCK_SKEW_MS = 5_000;

const UUID_V7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const UUID_TIME_DIGITS = 12;
const HEX_RADIX = 16;

/** A request's use of an idempotency key. */
export interface KeyUse {
  readonly customer: string;
  readonly key: string;
  /** Fingerprint of the work, without the parts that resends may change. */
  readonly fingerprint: string;
}

/** The clocks of the agent, read at the same moment. */
export interface KeyClockReading {
  /** Monotonic clock in ms. */
  readonly monotonicMs: number;
  /** Wall clock in ms since the Unix epoch. */
  readonly wallMs: number;
}

/** Result of claiming a key: a first run, or the answer of that run. */
export type KeyClaim =
  | {readonly type: 'first'}
  | {readonly type: 'answered'; readonly answer: AnswerBuffer};

/** The stored state of a used key. */
interface KeyRecord {
  readonly fingerprint: string;
  /** Undefined while the work is in progress and after eviction. */
  answer: AnswerBuffer | undefined;
  /** Whether the answer was evicted to limit memory use. */
  isAnswerEvicted: boolean;
  expiresAtMs: number;
}

export interface IdempotencyTableOptions {
  /** Wall-clock time in ms since which the table has seen all uses of keys. */
  readonly completeSinceWallMs: number;
  readonly maxAnswerBytes?: number;
}

/** The idempotency keys that one agent owns. */
export class IdempotencyTable {
  private readonly records = new Map<string, KeyRecord>();
  private storedBytes = 0;
  private completeSinceMs: number;

  private constructor(private readonly options: IdempotencyTableOptions) {
    this.completeSinceMs = options.completeSinceWallMs;
  }

  /** Creates an empty table for one incarnation of an agent. */
  static create(options: IdempotencyTableOptions): IdempotencyTable {
    return new IdempotencyTable(options);
  }

  /**
   * Claims a key for a first run, or returns the answer of its first run. Fails
   * with `in-progress` while the first run continues, with `conflict` if the
   * work differs, and with `key-forgotten` if an earlier run cannot be excluded
   * or its answer was evicted.
   */
  claimKey(
    use: KeyUse,
    clocks: KeyClockReading,
  ): Result<KeyClaim, ServiceError> {
    const name = formatName(use);
    const record = this.records.get(name);
    if (record !== undefined) return resolveRepeatedUse(record, use);
    if (!this.hasCompleteHistory(use.key, clocks)) {
      const detail = 'the key may have been used before its owner kept records';
      return err(createError('key-forgotten', detail));
    }
    this.records.set(name, {
      fingerprint: use.fingerprint,
      answer: undefined,
      isAnswerEvicted: false,
      expiresAtMs: Number.POSITIVE_INFINITY,
    });
    return ok({type: 'first'});
  }

  /** Returns whether a key has certainly not been used yet. */
  isUnused(use: KeyUse, clocks: KeyClockReading): boolean {
    const isKnown = this.records.has(formatName(use));
    return !isKnown && this.hasCompleteHistory(use.key, clocks);
  }

  /**
   * Returns whether the table would have seen every earlier use of a key. A
   * UUIDv7 contains its creation time; any other key is assumed to be as old as
   * the retention time.
   */
  private hasCompleteHistory(key: string, clocks: KeyClockReading): boolean {
    const retainedSinceMs = clocks.wallMs - KEY_RETENTION_MS;
    const sinceMs = Math.max(this.completeSinceMs, retainedSinceMs);
    const createdAtMs = readCreationTime(key);
    if (createdAtMs === undefined) {
      return this.completeSinceMs <= retainedSinceMs;
    }
    if (createdAtMs > clocks.wallMs + KEY_CLOCK_SKEW_MS) return false;
    return createdAtMs > sinceMs + KEY_CLOCK_SKEW_MS;
  }

  /** Records that keys may have had another owner until a wall-clock time. */
  recordOwnerChange(untilWallMs: number): void {
    this.completeSinceMs = Math.max(this.completeSinceMs, untilWallMs);
  }

  /** Stores the answer of the first run, whether it completed or failed. */
  recordAnswer(use: KeyUse, answer: AnswerBuffer, nowMs: number): void {
    const record = this.records.get(formatName(use));
    if (record === undefined || record.answer !== undefined) return;
    record.answer = answer;
    record.expiresAtMs = nowMs + KEY_RETENTION_MS + 2 * KEY_CLOCK_SKEW_MS;
    this.storedBytes += answer.getLength();
    this.evictAnswers();
  }

  /** Releases a key whose work is known not to have run. */
  releaseKey(use: KeyUse): void {
    this.records.delete(formatName(use));
  }

  /** Evicts the answers of the oldest keys until the size limit is met. */
  private evictAnswers(): void {
    const limit = this.options.maxAnswerBytes ?? MAX_KEY_ANSWER_BYTES;
    for (const record of this.records.values()) {
      if (this.storedBytes <= limit) return;
      if (record.answer === undefined || record.isAnswerEvicted) continue;
      this.storedBytes -= record.answer.getLength();
      record.isAnswerEvicted = true;
      record.answer = undefined;
    }
  }

  /** Removes keys whose retention time has passed. */
  removeExpired(nowMs: number): void {
    for (const [name, record] of this.records) {
      if (record.expiresAtMs >= nowMs) continue;
      this.storedBytes -= record.answer?.getLength() ?? 0;
      this.records.delete(name);
    }
  }

  /** Returns the number of stored keys, those with evicted answers included. */
  countKeys(): number {
    return this.records.size;
  }
}

function resolveRepeatedUse(
  record: KeyRecord,
  use: KeyUse,
): Result<KeyClaim, ServiceError> {
  if (record.fingerprint !== use.fingerprint) {
    const detail = 'the key was used with a different body';
    return err(createError('conflict', detail));
  }
  if (record.answer !== undefined) {
    return ok({type: 'answered', answer: record.answer});
  }
  if (!record.isAnswerEvicted) {
    return err(createError('in-progress', 'the first call is still running'));
  }
  const detail = 'the call has run and its answer is no longer stored';
  return err(createError('key-forgotten', detail, {outcome: 'ran'}));
}

function formatName(use: KeyUse): string {
  return JSON.stringify([use.customer, use.key]);
}

/**
 * Returns the creation time of a UUIDv7 in ms since the Unix epoch, or undefined
 * for any other key.
 */
export function readCreationTime(key: string): number | undefined {
  if (!UUID_V7.test(key)) return undefined;
  const digits = key.replaceAll('-', '').slice(0, UUID_TIME_DIGITS);
  return Number.parseInt(digits, HEX_RADIX);
}
