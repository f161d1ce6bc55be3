/**
 * Parameters of fuzzing tests: fixed seeds and run counts, which
 * `npm run fuzz -- --seed N --runs M` replaces through the environment.
 */

/** Seed and number of runs for `fc.assert`. */
export interface FuzzParameters {
  readonly seed: number;
  readonly numRuns: number;
  readonly endOnFailure: boolean;
}

/** Returns the parameters of a fuzzing test. */
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
