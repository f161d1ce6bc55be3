/**
 * Parameters of fuzz tests: default seeds and run counts, which
 * `npm run fuzz -- --seed N --runs M` overrides through the environment.
 */

/** Seed and number of runs for `fc.assert`. */
export interface FuzzParameters {
  readonly seed: number;
  readonly numRuns: number;
  readonly endOnFailure: boolean;
}

/** Returns the given defaults, or the values set in the environment. */
export function readFuzzParameters(
  seed: number,
  numRuns: number,
): FuzzParameters {
  return {
    seed: Number(process.env.FUZZ_SEED ?? seed),
    numRuns: Number(process.env.FUZZ_RUNS ?? numRuns),
    endOnFailure: true,
  };
}
