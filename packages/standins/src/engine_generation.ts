/** Generates the deterministic output of the stand-in engine. */
import {createRandomSource, hashText} from '@sassafrasspan/core';

const SHORT_SHARE = 0.9;
const MAX_SHORT_FRACTION = 0.3;
const WORDS = ['amber', 'birch', 'cedar', 'delta', 'ember', 'fjord', 'grove'];

/** Parameters that determine a generation. */
export interface GenerationInput {
  readonly prompt: string;
  readonly seed: number;
  readonly maxTokens: number;
}

/**
 * Returns the words of a generation. As in rollouts, most generations are
 * short, and a tenth of them reach 70 to 100 percent of the maximum.
 */
export function generateWords(input: GenerationInput): string[] {
  const random = createRandomSource(hashText(`${input.seed} ${input.prompt}`));
  const isShort = random() < SHORT_SHARE;
  const fraction = isShort
    ? MAX_SHORT_FRACTION * random()
    : 0.7 + 0.3 * random();
  const count = Math.max(1, Math.floor(input.maxTokens * fraction));
  return Array.from({length: count}, () => {
    return `${WORDS[Math.floor(random() * WORDS.length)]} `;
  });
}
