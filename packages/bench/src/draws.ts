/**
 * Random lengths and service times, log-normally distributed. Each value
 * depends on its key alone, so every policy gets the same work.
 */
import {createRandomSource, hashText} from '@sassafrasspan/core';

const TAIL_SHARE = 0.03;
const TAIL_FACTOR = 6;
const GROUP_SIGMA = 0.6;
const SAMPLE_SIGMA = 0.4;
const MEDIAN_TOKENS = 120;
const MAX_TOKENS = 2_000;
const SERVING_MEDIAN_TOKENS = 80;
const SERVING_SIGMA = 0.5;
const PLAIN_MEDIAN_MS = 88;
const PLAIN_SIGMA = 0.5;

/** Mean length of a serving completion in tokens. */
export const SERVING_MEAN_TOKENS = 91;
/** Mean service time of a plain call in ms. */
export const PLAIN_MEAN_MS = 100;

/** Returns a standard normal value for the key, by the Box-Muller method. */
function drawNormal(key: string): number {
  const random = createRandomSource(hashText(key));
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

function drawLogNormal(key: string, median: number, sigma: number): number {
  return median * Math.exp(sigma * drawNormal(key));
}

/**
 * Returns the length of a sample in tokens. Lengths are long-tailed, and
 * samples of the same group have similar lengths.
 */
export function drawSampleTokens(group: string, index: number): number {
  const groupMedian = drawLogNormal(group, MEDIAN_TOKENS, GROUP_SIGMA);
  const ordinaryTokens = drawLogNormal(
    `${group}/${index}`,
    groupMedian,
    SAMPLE_SIGMA,
  );
  const random = createRandomSource(hashText(`${group}/${index}/tail`));
  const tokens =
    random() < TAIL_SHARE ? ordinaryTokens * TAIL_FACTOR : ordinaryTokens;
  return Math.ceil(Math.min(MAX_TOKENS, tokens));
}

/** Returns the length in tokens that a trainer expects of a group's samples. */
export function estimateGroupTokens(group: string): number {
  const groupMedian = drawLogNormal(group, MEDIAN_TOKENS, GROUP_SIGMA);
  return Math.ceil(drawLogNormal(`${group}/guess`, groupMedian, SAMPLE_SIGMA));
}

/** Returns the length of a serving completion in tokens. */
export function drawServingTokens(key: string): number {
  const tokens = drawLogNormal(key, SERVING_MEDIAN_TOKENS, SERVING_SIGMA);
  return Math.ceil(tokens);
}

/** Returns the service time of a plain call in ms. */
export function drawPlainMs(key: string): number {
  return drawLogNormal(key, PLAIN_MEDIAN_MS, PLAIN_SIGMA);
}
