/** The copies of slots that are being generated. */
import type {RunningCopy} from './step_policy';

/** A copy under way. */
export interface SlotCopy {
  readonly copyId: number;
  readonly slot: number;
  readonly startedAtMs: number;
  /** Tokens received so far. */
  tokens: number;
  /** Whether the answer is whole and only its score is missing. */
  isGenerated: boolean;
}

/** Tracks the copies of one step. */
export class SlotCopies {
  private readonly copies = new Map<number, SlotCopy>();
  private readonly copiesPerSlot = new Map<number, number>();
  private nextId = 1;

  private constructor() {}

  /** Builds a tracker without copies. */
  static create(): SlotCopies {
    return new SlotCopies();
  }

  /** Notes the start of a copy; returns its number in the step. */
  startCopy(slot: number, startedAtMs: number): number {
    const copyId = this.nextId;
    this.nextId += 1;
    this.copies.set(copyId, {
      copyId,
      slot,
      startedAtMs,
      tokens: 0,
      isGenerated: false,
    });
    this.copiesPerSlot.set(slot, (this.copiesPerSlot.get(slot) ?? 0) + 1);
    return copyId;
  }

  /** Adds tokens that a copy has generated; negative ones take back. */
  addTokens(copyId: number, tokens: number): void {
    const copy = this.copies.get(copyId);
    if (copy !== undefined) copy.tokens += tokens;
  }

  /** Notes that a copy only waits for its score. */
  markGenerated(copyId: number): void {
    const copy = this.copies.get(copyId);
    if (copy !== undefined) copy.isGenerated = true;
  }

  /** Notes the end of a copy; undefined when it has ended before. */
  endCopy(copyId: number): SlotCopy | undefined {
    const copy = this.copies.get(copyId);
    if (copy === undefined) return undefined;
    this.copies.delete(copyId);
    const left = (this.copiesPerSlot.get(copy.slot) ?? 1) - 1;
    if (left > 0) this.copiesPerSlot.set(copy.slot, left);
    else this.copiesPerSlot.delete(copy.slot);
    return copy;
  }

  /** Tells whether a copy of the slot is under way. */
  hasSlot(slot: number): boolean {
    return this.copiesPerSlot.has(slot);
  }

  /** Returns the number of copies under way. */
  count(): number {
    return this.copies.size;
  }

  /** Lists the copies under way. */
  list(): SlotCopy[] {
    return [...this.copies.values()];
  }

  /** Describes the copies that engines work on, for a policy. */
  describe(
    groupSize: number,
    predictTokens: (group: number) => number,
  ): RunningCopy[] {
    const generating = this.list().filter(copy => !copy.isGenerated);
    return generating.map(copy => {
      const group = Math.floor(copy.slot / groupSize);
      return {
        slot: copy.slot,
        group,
        expectedTokens: predictTokens(group),
        startedAtMs: copy.startedAtMs,
        generatedTokens: copy.tokens,
      };
    });
  }
}
