/** Draws the lengths of texts as trainers see them. */
import {createRandomSource} from '../shared/clock';

const TOKENS_PER_EVENT = 57;
const MAX_EVENTS = 181;

/** Length of a text and the trainer's estimate of it. */
export interface TextLength {
  readonly events: number;
  /** In tokens. */
  readonly estimate: number;
}

/** Returns a function that draws the length of an item, the same one each time,
 * from a distribution with a long tail, and an estimate that is right at the
 * median. */
export function createTextLengths(
  seed: number,
): (itemId: string) => TextLength {
  const random = createRandomSource(seed);
  const drawNormal = () =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const lengths = new Map<string, TextLength>();
  return (itemId: string) => {
    const existing = lengths.get(itemId);
    if (existing !== undefined) return existing;
    const tail = random() < 0.08 ? 5 : 1;
    const drawn = 18 * Math.exp(0.84 * drawNormal()) * tail;
    const events = Math.max(2, Math.min(MAX_EVENTS, Math.round(drawn)));
    const estimate = events * TOKENS_PER_EVENT * Math.exp(0.5 * drawNormal());
    lengths.set(itemId, {events, estimate});
    return {events, estimate};
  };
}
