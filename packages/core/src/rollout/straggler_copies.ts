/**
 * Finds stragglers: running copies that a second copy would overtake.
 *
 * The second copy repeats the same work with the same seed, so that the race
 * is won by the faster endpoint and doesn't favor short answers.
 */
import type {
  PoolSupply,
  RolloutView,
  RunningCopy,
  StepDemand,
} from './step_policy';
import {predictDurationMs} from './staleness_forecast';

const MAX_COPIES_PER_SLOT = 2;
/** Expected growth of an answer that exceeds its predicted length. */
const OVERRUN_FACTOR = 2;
const MS_PER_SECOND = 1_000;
/** Minimum age at which the speed of a copy is evaluated. */
const MIN_OBSERVED_MS = 1_000;
/** A second copy must be predicted to finish in this share of the first
 * copy's remaining time. */
const MAX_COPY_TIME_SHARE = 0.75;

/** Returns the slots that need a second copy, the slowest first. */
export function findStragglers(step: StepDemand, view: RolloutView): number[] {
  const counts = new Map<number, number>();
  for (const {slot} of step.running) {
    counts.set(slot, (counts.get(slot) ?? 0) + 1);
  }
  return step.running
    .filter(copy => (counts.get(copy.slot) ?? 0) < MAX_COPIES_PER_SLOT)
    .filter(copy => isStraggler(copy, view))
    .sort((a, b) => predictRemainingMs(b, view) - predictRemainingMs(a, view))
    .map(copy => copy.slot);
}

function isStraggler(copy: RunningCopy, view: RolloutView): boolean {
  if (view.nowMs - copy.startedAtMs < MIN_OBSERVED_MS) return false;
  const secondCopyMs = predictDurationMs(predictTotalTokens(copy), view.pool);
  if (secondCopyMs === 0) return false;
  const remainingMs = predictRemainingMs(copy, view);
  return secondCopyMs < remainingMs * MAX_COPY_TIME_SHARE;
}

/** Assumes the lower of the copy's own speed so far and the pool's speed. */
function predictRemainingMs(copy: RunningCopy, view: RolloutView): number {
  const elapsedMs = Math.max(1, view.nowMs - copy.startedAtMs);
  const speed = Math.min(
    computePoolSpeed(view.pool),
    computeCopySpeed(copy, elapsedMs),
  );
  const remainingTokens = predictTotalTokens(copy) - copy.generatedTokens;
  return speed > 0 ? remainingTokens / speed : Number.POSITIVE_INFINITY;
}

/** Returns the speed in tokens per ms. */
function computeCopySpeed(copy: RunningCopy, elapsedMs: number): number {
  return copy.generatedTokens / elapsedMs;
}

/** Returns the speed in tokens per ms; infinite when not known. */
function computePoolSpeed(pool: PoolSupply): number {
  if (pool.tokensPerSecond <= 0) return Number.POSITIVE_INFINITY;
  return pool.tokensPerSecond / MS_PER_SECOND;
}

/**
 * Lengths have a long tail: an answer beyond its predicted length is likely to
 * become much longer.
 */
function predictTotalTokens(copy: RunningCopy): number {
  const {expectedTokens, generatedTokens} = copy;
  if (generatedTokens < expectedTokens) return expectedTokens;
  return generatedTokens * OVERRUN_FACTOR;
}
