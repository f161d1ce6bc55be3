/**
 * Predicts the lengths of a step's answers: from finished answers to the same
 * prompt, from the trainer's guess, from the step's mean, or from the limit.
 */
import type {StepDescription} from './step_schemas';

/** Sum and number of observed lengths. */
interface LengthMean {
  sum: number;
  count: number;
}

/** Predicts lengths in tokens. */
export class LengthPredictor {
  private readonly groupMeans = new Map<number, LengthMean>();
  private readonly stepMean: LengthMean = {sum: 0, count: 0};

  private constructor(private readonly prompts: StepDescription['prompts']) {}

  /** Builds a predictor that has seen no answer. */
  static create(prompts: StepDescription['prompts']): LengthPredictor {
    return new LengthPredictor(prompts);
  }

  /** Takes the length of a finished answer. */
  observeLength(group: number, tokens: number): void {
    const mean = this.groupMeans.get(group) ?? {sum: 0, count: 0};
    this.groupMeans.set(group, mean);
    for (const item of [mean, this.stepMean]) {
      item.sum += tokens;
      item.count += 1;
    }
  }

  /** Predicts the length of an answer to a prompt. */
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
