/**
 * Forecasts the memory that the runs of an endpoint need at once.
 *
 * Designed for this load: texts with a long tail of lengths. All runs of an
 * endpoint grow at the same rate, and a run frees its memory when it ends, so that
 * the short ones are gone before the long ones are large. The sum of their sizes
 * at their ends would leave slots unused.
 */

/** Memory of a run, in tokens. */
export interface RunMemory {
  /** Prompt and generated text at present. */
  readonly presentTokens: number;
  /** Expected growth until the run ends. */
  readonly remainingTokens: number;
}

/** Returns the largest memory that the runs are expected to need at any time from
 * now on, in tokens. */
export function computePeakMemory(runs: readonly RunMemory[]): number {
  const byEnd = [...runs].sort((a, b) => b.remainingTokens - a.remainingTokens);
  let presentTokens = 0;
  let peak = 0;
  // At the end of each run, those that end later have grown by as much.
  for (const [index, run] of byEnd.entries()) {
    presentTokens += run.presentTokens;
    const grownTokens = (index + 1) * run.remainingTokens;
    peak = Math.max(peak, presentTokens + grownTokens);
  }
  return peak;
}
