/** Tracks the copies of a step's slots that are being generated. */
import type {RunningCopy} from './step_policy';

/** A running copy: one attempt at generating the sample of a slot. */
export interface SlotCopy {
  readonly copyId: number;
  readonly slot: number;
  readonly startedAtMs: number;
  /** Tokens received so far. */
  tokens: number;
  /** Whether the answer is complete and only its score is missing. */
  isGenerated: boolean;
}

/** The running copies of one step. */
export class SlotCopies {
  private readonly copies = new Map<number, SlotCopy>();
  private readonly copiesPerSlot = new Map<number, number>();
  private nextId = 1;

  private constructor() {}

  static create(): SlotCopies {
    return new SlotCopies();
  }

  /** Records the start of a copy; returns its id, unique within the step. */
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

  /** Adds generated tokens; a negative number removes discarded ones. */
  addTokens(copyId: number, tokens: number): void {
    const copy = this.copies.get(copyId);
    if (copy !== undefined) copy.tokens += tokens;
  }

  /** Records that a copy's answer is complete and awaits its score. */
  markGenerated(copyId: number): void {
    const copy = this.copies.get(copyId);
    if (copy !== undefined) copy.isGenerated = true;
  }

  /** Removes a copy and returns it; undefined if it has already ended. */
  endCopy(copyId: number): SlotCopy | undefined {
    const copy = this.copies.get(copyId);
    if (copy === undefined) return undefined;
    this.copies.delete(copyId);
    const remaining = (this.copiesPerSlot.get(copy.slot) ?? 1) - 1;
    if (remaining > 0) this.copiesPerSlot.set(copy.slot, remaining);
    else this.copiesPerSlot.delete(copy.slot);
    return copy;
  }

  /** Returns whether the slot has a running copy. */
  hasSlot(slot: number): boolean {
    return this.copiesPerSlot.has(slot);
  }

  /** Returns the number of running copies, those awaiting a score included. */
  count(): number {
    return this.copies.size;
  }

  list(): SlotCopy[] {
    return [...this.copies.values()];
  }

  /** Describes the copies that engines are generating, for a policy. */
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
