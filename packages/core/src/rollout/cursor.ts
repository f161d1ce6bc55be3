/**
 * The trainer's cursor: an opaque token that encodes the set of slots that the
 * trainer has received, protected by a checksum.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import {decodeBase64Url, encodeBase64Url} from './base64url';
import {computeDigest} from './digest';

const CURSOR_PREFIX = 'c2';
const CURSOR_PART_COUNT = 3;
const BITS_PER_BYTE = 8;

/** The slots of one step that a trainer has received. Immutable. */
export class DeliveredSet {
  private constructor(
    /** Identifies the trainer, the step and its description. */
    readonly identityKey: string,
    readonly slotCount: number,
    private readonly bits: Uint8Array,
  ) {}

  /** Returns the empty set. */
  static create(identityKey: string, slotCount: number): DeliveredSet {
    const bytes = Math.ceil(slotCount / BITS_PER_BYTE);
    return new DeliveredSet(identityKey, slotCount, new Uint8Array(bytes));
  }

  /**
   * Decodes a cursor; the empty string is the empty set. Fails with
   * 'bad-cursor' for a damaged cursor and for one of another step.
   */
  static decode(
    identityKey: string,
    slotCount: number,
    cursor: string,
  ): Result<DeliveredSet, ServiceError> {
    const empty = DeliveredSet.create(identityKey, slotCount);
    if (cursor === '') return ok(empty);
    const parts = cursor.split('.');
    const [prefix, body, checksum] = parts;
    if (prefix !== CURSOR_PREFIX || parts.length !== CURSOR_PART_COUNT) {
      return err(createError('bad-cursor', 'unsupported cursor format'));
    }
    if (checksum !== computeChecksum(identityKey, slotCount, body)) {
      return err(
        createError('bad-cursor', 'cursor checksum does not match the step'),
      );
    }
    const bits = decodeBase64Url(body);
    if (bits === undefined || !isValidBitSet(bits, slotCount)) {
      return err(
        createError('bad-cursor', 'cursor does not encode slots of the step'),
      );
    }
    return ok(new DeliveredSet(identityKey, slotCount, bits));
  }

  /** Returns the set as a cursor. */
  encode(): string {
    const body = encodeBase64Url(this.bits);
    const checksum = computeChecksum(this.identityKey, this.slotCount, body);
    return `${CURSOR_PREFIX}.${body}.${checksum}`;
  }

  has(slot: number): boolean {
    return hasBit(this.bits, slot);
  }

  /** Returns whether this set contains another set of the same step. */
  hasAll(other: DeliveredSet): boolean {
    return other.bits.every((byte, index) => (byte & ~this.bits[index]) === 0);
  }

  /** Returns a copy of the set with some slots added. */
  addSlots(slots: readonly number[]): DeliveredSet {
    const bits = Uint8Array.from(this.bits);
    for (const slot of slots) bits[slot >> 3] |= 1 << (slot & 7);
    return new DeliveredSet(this.identityKey, this.slotCount, bits);
  }

  /** Returns the union with another set of the same step. */
  merge(other: DeliveredSet): DeliveredSet {
    const bits = this.bits.map((byte, index) => byte | other.bits[index]);
    return new DeliveredSet(this.identityKey, this.slotCount, bits);
  }

  /** Returns the number of received slots. */
  count(): number {
    let total = 0;
    for (let slot = 0; slot < this.slotCount; slot++) {
      if (this.has(slot)) total += 1;
    }
    return total;
  }
}

function hasBit(bits: Uint8Array, slot: number): boolean {
  return (bits[slot >> 3] & (1 << (slot & 7))) !== 0;
}

/** Checks the length and that no bit beyond the last slot is set. */
function isValidBitSet(bits: Uint8Array, slotCount: number): boolean {
  if (bits.length !== Math.ceil(slotCount / BITS_PER_BYTE)) return false;
  const end = bits.length * BITS_PER_BYTE;
  for (let slot = slotCount; slot < end; slot++) {
    if (hasBit(bits, slot)) return false;
  }
  return true;
}

function computeChecksum(
  identityKey: string,
  slotCount: number,
  body: string,
): string {
  return computeDigest(`${identityKey}\u0000${slotCount}\u0000${body}`);
}
