/**
 * The trainer's cursor: an opaque, checksummed token that holds the set of
 * slots that the trainer has received.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import {decodeBase64Url, encodeBase64Url} from './base64url';
import {computeDigest} from './digest';

const CURSOR_PREFIX = 'c2';
const CURSOR_PART_COUNT = 3;
const BITS_PER_BYTE = 8;

/** The set of slots of one step that a trainer has received. */
export class DeliveredSet {
  private constructor(
    /** Name of the trainer, the step and its description. */
    readonly identityKey: string,
    readonly slotCount: number,
    private readonly bits: Uint8Array,
  ) {}

  /** Builds an empty set. */
  static create(stepKey: string, slotCount: number): DeliveredSet {
    const bytes = Math.ceil(slotCount / BITS_PER_BYTE);
    return new DeliveredSet(stepKey, slotCount, new Uint8Array(bytes));
  }

  /** Reads a cursor; the empty cursor is the empty set. */
  static decode(
    stepKey: string,
    slotCount: number,
    cursor: string,
  ): Result<DeliveredSet, ServiceError> {
    const empty = DeliveredSet.create(stepKey, slotCount);
    if (cursor === '') return ok(empty);
    const parts = cursor.split('.');
    const [prefix, body, checksum] = parts;
    if (prefix !== CURSOR_PREFIX || parts.length !== CURSOR_PART_COUNT) {
      return err(createError('bad-cursor', 'not a cursor of this version'));
    }
    if (checksum !== computeChecksum(stepKey, slotCount, body)) {
      return err(createError('bad-cursor', 'the checksum differs'));
    }
    const bits = decodeBase64Url(body);
    if (bits === undefined || !isValidBitSet(bits, slotCount)) {
      return err(createError('bad-cursor', 'not a set of slots of this step'));
    }
    return ok(new DeliveredSet(stepKey, slotCount, bits));
  }

  /** Writes the cursor. */
  encode(): string {
    const body = encodeBase64Url(this.bits);
    const checksum = computeChecksum(this.identityKey, this.slotCount, body);
    return `${CURSOR_PREFIX}.${body}.${checksum}`;
  }

  /** Tells whether a slot has been received. */
  has(slot: number): boolean {
    return hasBit(this.bits, slot);
  }

  /** Tells whether every slot of another set of the step is in this one. */
  hasAll(other: DeliveredSet): boolean {
    return other.bits.every((byte, at) => (byte & ~this.bits[at]) === 0);
  }

  /** Returns a set with more slots. */
  addSlots(slots: readonly number[]): DeliveredSet {
    const bits = Uint8Array.from(this.bits);
    for (const slot of slots) bits[slot >> 3] |= 1 << (slot & 7);
    return new DeliveredSet(this.identityKey, this.slotCount, bits);
  }

  /** Returns the slots that are in this set or in another of the step. */
  merge(other: DeliveredSet): DeliveredSet {
    const bits = this.bits.map((byte, at) => byte | other.bits[at]);
    return new DeliveredSet(this.identityKey, this.slotCount, bits);
  }

  /** Returns the number of slots received. */
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

/** Checks the length, and that no bit past the last slot is set. */
function isValidBitSet(bits: Uint8Array, slotCount: number): boolean {
  if (bits.length !== Math.ceil(slotCount / BITS_PER_BYTE)) return false;
  const end = bits.length * BITS_PER_BYTE;
  for (let slot = slotCount; slot < end; slot++) {
    if (hasBit(bits, slot)) return false;
  }
  return true;
}

function computeChecksum(
  stepKey: string,
  slotCount: number,
  body: string,
): string {
  return computeDigest(`${stepKey}\u0000${slotCount}\u0000${body}`);
}
