/**
 * Fits base time and knee of an endpoint to the times of its calls. A call at
 * concurrency n takes the base time up to the knee k, and n/k times as long
 * beyond it. Each knee of a short list is fitted by the mean of the logarithms,
 * so that a few very long calls have little weight; the knee whose residuals
 * vary least is taken.
 */

/** Knees that are compared, as shares of the slots. */
export const KNEE_SHARES = [0.15, 0.2, 0.3, 0.4, 0.55, 0.75, 1] as const;
export const NO_KNEE = KNEE_SHARES.length - 1;
/** Log-likelihood that a knee must gain over no knee before it is taken: with
 * 3, noise alone takes a knee in about one of 20 fits. */
const KNEE_EVIDENCE = 5;
/** Fits within this log-likelihood of the best one are still plausible. */
const PLAUSIBLE_MARGIN = 4;
/** Lowest variance of the logarithm of a call's time; a deviation of 30%. */
export const MIN_VARIANCE = 0.09;
/** Variance that is assumed without samples, as observed, and the number of
 * samples that outweigh it. */
export const DEFAULT_VARIANCE = 0.36;
const VARIANCE_PRIOR_WEIGHT = 8;
/** Samples below which no knee is taken. */
const MIN_KNEE_SAMPLES = 12;

/** Sums from which a fit is computed; plain data, sent between nodes. */
export interface KneeSums {
  /** Number of samples, discounted by age. */
  weight: number;
  /** For each knee, the sum of the logarithms of base times. */
  readonly sums: number[];
  /** For each knee, the sum of their squares. */
  readonly squares: number[];
}

/** The fit of the most likely knee. */
export interface KneeFit {
  /** Index in `KNEE_SHARES`. */
  readonly knee: number;
  /** Mean of the logarithm of the base time in ms. */
  readonly logBase: number;
  readonly variance: number;
}

export function createKneeSums(): KneeSums {
  return {
    weight: 0,
    sums: KNEE_SHARES.map(() => 0),
    squares: KNEE_SHARES.map(() => 0),
  };
}

/** Returns the factor by which load makes a call longer; 1 if the number of
 * slots is unknown (0). */
export function computeLoadFactor(
  concurrency: number,
  slots: number,
  knee: number,
): number {
  if (slots === 0) return 1;
  const limit = Math.max(1, slots * KNEE_SHARES[knee]);
  return concurrency > limit ? concurrency / limit : 1;
}

export function addKneeSample(
  sums: KneeSums,
  logTime: number,
  concurrency: number,
  slots: number,
): void {
  sums.weight += 1;
  for (let knee = 0; knee < KNEE_SHARES.length; knee++) {
    const factor = computeLoadFactor(concurrency, slots, knee);
    const value = factor > 1 ? logTime - Math.log(factor) : logTime;
    sums.sums[knee] += value;
    sums.squares[knee] += value * value;
  }
}

/** Multiplies the weight of everything that was added by `factor`. */
export function scaleKneeSums(sums: KneeSums, factor: number): void {
  sums.weight *= factor;
  for (let knee = 0; knee < KNEE_SHARES.length; knee++) {
    sums.sums[knee] *= factor;
    sums.squares[knee] *= factor;
  }
}

/** Returns the most likely fit; undefined without samples. */
export function computeKneeFit(sums: KneeSums): KneeFit | undefined {
  if (sums.weight <= 0) return undefined;
  let best = NO_KNEE;
  if (sums.weight >= MIN_KNEE_SAMPLES) {
    let highest = computeLikelihood(sums, NO_KNEE) + KNEE_EVIDENCE;
    for (let knee = 0; knee < NO_KNEE; knee++) {
      const likelihood = computeLikelihood(sums, knee);
      if (likelihood <= highest) continue;
      highest = likelihood;
      best = knee;
    }
  }
  return {
    knee: best,
    logBase: sums.sums[best] / sums.weight,
    variance: estimateVariance(sums, best),
  };
}

/**
 * Returns the residual of a sample of smallest magnitude over all plausible
 * knees: a long call at high load says nothing about the base time while the
 * knee is uncertain.
 */
export function computeResidual(
  sums: KneeSums,
  fit: KneeFit,
  logTime: number,
  concurrency: number,
  slots: number,
): number {
  const highest = computeLikelihood(sums, fit.knee);
  let residual = Infinity;
  for (let knee = 0; knee < KNEE_SHARES.length; knee++) {
    const isPlausible =
      computeLikelihood(sums, knee) >= highest - PLAUSIBLE_MARGIN;
    if (!isPlausible && knee !== fit.knee) continue;
    const factor = computeLoadFactor(concurrency, slots, knee);
    const mean = sums.sums[knee] / sums.weight;
    const value = logTime - Math.log(factor) - mean;
    if (Math.abs(value) < Math.abs(residual)) residual = value;
  }
  return residual;
}

/** Few samples, perhaps from before and after a change, say little of their
 * variance. */
function estimateVariance(sums: KneeSums, knee: number): number {
  const prior = VARIANCE_PRIOR_WEIGHT * DEFAULT_VARIANCE;
  const measured = sums.weight * computeVariance(sums, knee);
  const variance = (prior + measured) / (VARIANCE_PRIOR_WEIGHT + sums.weight);
  return Math.max(MIN_VARIANCE, variance);
}

function computeVariance(sums: KneeSums, knee: number): number {
  const mean = sums.sums[knee] / sums.weight;
  return Math.max(0, sums.squares[knee] / sums.weight - mean * mean);
}

function computeLikelihood(sums: KneeSums, knee: number): number {
  const variance = Math.max(MIN_VARIANCE / 4, computeVariance(sums, knee));
  return (-sums.weight / 2) * Math.log(variance);
}
