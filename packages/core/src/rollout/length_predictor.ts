/**
 * Predicts the lengths of a step's answers. Uses the first of these that is
 * known: the mean of finished answers to the same prompt, the trainer's
 * estimate, the mean of the step, the prompt's token limit.
 */
import type {StepDescription} from './step_schemas';

/** A mean of observed lengths in tokens, as sum and count. */
interface LengthMean {
  sum: number;
  count: number;
}

/** Predicts lengths in tokens for the prompts of one step. */
export class LengthPredictor {
  private readonly groupMeans = new Map<number, LengthMean>();
  private readonly stepMean: LengthMean = {sum: 0, count: 0};

  private constructor(private readonly prompts: StepDescription['prompts']) {}

  static create(prompts: StepDescription['prompts']): LengthPredictor {
    return new LengthPredictor(prompts);
  }

  /** Records the length of a finished answer. */
  observeLength(group: number, tokens: number): void {
    const groupMean = this.groupMeans.get(group) ?? {sum: 0, count: 0};
    this.groupMeans.set(group, groupMean);
    for (const mean of [groupMean, this.stepMean]) {
      mean.sum += tokens;
      mean.count += 1;
    }
  }

  /** Returns the predicted length, between 1 and the prompt's token limit. */
  predictTokens(group: number): number {
    const {expectedTokens, maxTokens} = this.prompts[group];
    const predicted =
      computeMean(this.groupMeans.get(group)) ??
      expectedTokens ??
      computeMean(this.stepMean) ??
      maxTokens;
    return Math.max(1, Math.min(predicted, maxTokens));
  }
}

function computeMean(mean: LengthMean | undefined): number | undefined {
  if (mean === undefined || mean.count === 0) return undefined;
  return mean.sum / mean.count;
}
