/**
 * Corrects an account of held bytes by what the process measures: copies,
 * partly used chunks and what Node buffers are not in the account.
 */

/** Largest correction. With it the limits act at a third of their value, which
 * bounds the effect of buffers that wait for garbage collection. */
const MAX_FACTOR = 3;
/** Weight of the newest sample; a peak of garbage lasts a few samples. */
const FACTOR_WEIGHT = 0.2;
/** Part of the soft limit below which what is held says nothing about the
 * factor, since other buffers are as large. */
const MIN_SHARE = 1 / 8;
/** Growth of the idle level at each sample: follows caches that grow. */
const IDLE_GROWTH = 1.01;

/** Factor between bytes in the account and bytes in the process. */
export class MeasuredMemory {
  private factor = 1;
  private idleBytes: number | undefined;

  private constructor() {}

  static create(): MeasuredMemory {
    return new MeasuredMemory();
  }

  /**
   * Takes in the bytes of all buffers of the process together with what the
   * account held at that moment.
   */
  update(measuredBytes: number, heldBytes: number, softBytes: number): void {
    const otherBytes = Math.max(0, measuredBytes - heldBytes);
    const isQuiet = heldBytes < softBytes * MIN_SHARE;
    if (isQuiet || this.idleBytes === undefined) {
      const grown = (this.idleBytes ?? otherBytes) * IDLE_GROWTH;
      this.idleBytes = Math.min(otherBytes, grown);
    }
    const target = isQuiet
      ? 1
      : Math.min(
          MAX_FACTOR,
          Math.max(1, (measuredBytes - this.idleBytes) / heldBytes),
        );
    this.factor += FACTOR_WEIGHT * (target - this.factor);
  }

  /** Returns the factor by which the account is too small; at least 1. */
  getFactor(): number {
    return this.factor;
  }
}
