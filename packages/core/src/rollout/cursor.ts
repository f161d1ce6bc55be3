/**
 * The trainer's cursor: an opaque, checksummed token that holds the set of
 * slots that the trainer has received.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import {hashText} from '../shared/hash';

const CURSOR_PREFIX = 'c1';
const BITS_PER_BYTE = 8;

/** The set of slots of one step that a trainer has received. */
export class DeliveredSet {
  private constructor(
    /** Name of the trainer and step that the set belongs to. */
    readonly stepKey: string,
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
    const set = DeliveredSet.create(stepKey, slotCount);
    if (cursor === '') return ok(set);
    const [prefix, body, checksum] = cursor.split('.');
    const isWhole =
      prefix === CURSOR_PREFIX &&
      body !== undefined &&
      checksum === formatChecksum(stepKey, slotCount, body);
    if (!isWhole) return err(createError('bad-cursor', 'checksum differs'));
    set.bits.set(Buffer.from(body, 'base64url'));
    return ok(set);
  }

  /** Writes the cursor. */
  encode(): string {
    const body = Buffer.from(this.bits).toString('base64url');
    const checksum = formatChecksum(this.stepKey, this.slotCount, body);
    return `${CURSOR_PREFIX}.${body}.${checksum}`;
  }

  /** Tells whether a slot has been received. */
  has(slot: number): boolean {
    return (this.bits[slot >> 3] & (1 << (slot & 7))) !== 0;
  }

  /** Returns a set with more slots. */
  addSlots(slots: readonly number[]): DeliveredSet {
    const bits = Uint8Array.from(this.bits);
    for (const slot of slots) bits[slot >> 3] |= 1 << (slot & 7);
    return new DeliveredSet(this.stepKey, this.slotCount, bits);
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

function formatChecksum(
  stepKey: string,
  slotCount: number,
  body: string,
): string {
  return hashText(`${stepKey}\u0000${slotCount}\u0000${body}`).toString(36);
}
