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
export const KEY_RETENTION_MS = 600_000;
/** Bytes of answers kept for keys at most. */
export const MAX_KEY_ANSWER_BYTES = 4_194_304;
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
export interface KeyClockReading {
  /** Monotonic clock in ms. */
  readonly monotonicMs: number;
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
  isAnswerEvicted: boolean;
  expiresAtMs: number;
}

/** Settings of a table. */
export interface IdempotencyTableOptions {
  /** Wall clock in ms from which the table has seen every use of its keys. */
  readonly completeSinceWallMs: number;
  readonly maxAnswerBytes?: number;
}

/** The idempotency keys whose home is one endpoint. */
export class IdempotencyTable {
  private readonly records = new Map<string, KeyRecord>();
  private storedBytes = 0;
  private completeSinceMs: number;

  private constructor(private readonly options: IdempotencyTableOptions) {
    this.completeSinceMs = options.completeSinceWallMs;
  }

  /** Builds an empty table for one life of an agent. */
  static create(options: IdempotencyTableOptions): IdempotencyTable {
    return new IdempotencyTable(options);
  }

  /** Claims a key for a run, or tells what became of the first one. */
  claimKey(
    use: KeyUse,
    moment: KeyClockReading,
  ): Result<KeyClaim, ServiceError> {
    const name = formatName(use);
    const record = this.records.get(name);
    if (record !== undefined) return resolveRepeatedUse(record, use);
    if (!this.isCreatedAfterStart(use.key, moment)) {
      const detail = 'the key may be older than the memory of its home';
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

  /** Tells whether a key has surely not been used yet. */
  isUnused(use: KeyUse, moment: KeyClockReading): boolean {
    const isKnown = this.records.has(formatName(use));
    return !isKnown && this.isCreatedAfterStart(use.key, moment);
  }

  /**
   * Tells whether a key cannot have been used before the table's memory. A
   * UUIDv7 shows its age; any other key counts as old as keys may be.
   */
  private isCreatedAfterStart(key: string, moment: KeyClockReading): boolean {
    const keptSinceMs = moment.wallMs - KEY_RETENTION_MS;
    const sinceMs = Math.max(this.completeSinceMs, keptSinceMs);
    const madeAtMs = readCreationTime(key);
    if (madeAtMs === undefined) return this.completeSinceMs <= keptSinceMs;
    if (madeAtMs > moment.wallMs + KEY_CLOCK_SKEW_MS) return false;
    return madeAtMs > sinceMs + KEY_CLOCK_SKEW_MS;
  }

  /** Notes that keys may have had another home up to a wall-clock time. */
  recordOwnerChange(sinceWallMs: number): void {
    this.completeSinceMs = Math.max(this.completeSinceMs, sinceWallMs);
  }

  /** Keeps the answer of the first run, whole or not. */
  recordAnswer(use: KeyUse, answer: AnswerBuffer, nowMs: number): void {
    const record = this.records.get(formatName(use));
    if (record === undefined || record.answer !== undefined) return;
    record.answer = answer;
    record.expiresAtMs = nowMs + KEY_RETENTION_MS + 2 * KEY_CLOCK_SKEW_MS;
    this.storedBytes += answer.getLength();
    this.evictAnswers();
  }

  /** Frees a key whose work is known not to have run. */
  releaseKey(use: KeyUse): void {
    this.records.delete(formatName(use));
  }

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

  /** Forgets keys whose time has passed. */
  removeExpired(nowMs: number): void {
    for (const [name, record] of this.records) {
      if (record.expiresAtMs >= nowMs) continue;
      this.storedBytes -= record.answer?.getLength() ?? 0;
      this.records.delete(name);
    }
  }

  /** Returns the number of remembered keys. */
  countKeys(): number {
    return this.records.size;
  }
}

function resolveRepeatedUse(
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
  if (!record.isAnswerEvicted) {
    return err(createError('in-progress', 'the first call is still running'));
  }
  const detail = 'the call has run and its answer is not kept any more';
  return err(createError('key-forgotten', detail, {outcome: 'ran'}));
}

function formatName(use: KeyUse): string {
  return JSON.stringify([use.customer, use.key]);
}

/** Reads when a UUIDv7 was made, in ms since the Unix epoch. */
export function readCreationTime(key: string): number | undefined {
  if (!UUID_V7.test(key)) return undefined;
  const digits = key.replaceAll('-', '').slice(0, UUID_TIME_DIGITS);
  return Number.parseInt(digits, HEX_RADIX);
}
