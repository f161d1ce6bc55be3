/**
 * Text that ended batch jobs have left of items that were not listed. A
 * trainer may send such an item again in a later job, where the text is used
 * if its versions fit.
 */
import type {TextEvent} from './batch_types';

/** Items that are remembered; the oldest are dropped. */
const MAX_ITEMS = 4_000;

/** Text left of an item. */
export interface CarriedText {
  readonly events: readonly TextEvent[];
  readonly isWhole: boolean;
}

/** Text by item. */
export class CarryStore {
  private readonly texts = new Map<string, CarriedText>();

  private constructor() {}

  /** Builds an empty store. */
  static create(): CarryStore {
    return new CarryStore();
  }

  /** Keeps the text of an item, replacing what was there. */
  put(itemId: string, text: CarriedText): void {
    this.texts.delete(itemId);
    this.texts.set(itemId, text);
    for (const oldest of this.texts.keys()) {
      if (this.texts.size <= MAX_ITEMS) return;
      this.texts.delete(oldest);
    }
  }

  /** Tells whether an item was part of an earlier job. */
  has(itemId: string): boolean {
    return this.texts.has(itemId);
  }

  /** Takes the text of an item out. */
  take(itemId: string): CarriedText | undefined {
    const text = this.texts.get(itemId);
    this.texts.delete(itemId);
    return text;
  }
}
