/**
 * Finds stragglers that a second copy would overtake.
 *
 * A copy repeats the same work with the same seed, so a race of the two does
 * not prefer short answers: it is won by the faster endpoint.
 */
import type {
  PoolSupply,
  RolloutView,
  RunningCopy,
  StepDemand,
} from './step_policy';
import {predictDurationMs} from './staleness_forecast';

const MAX_COPIES_PER_SLOT = 2;
/** An answer over its prediction is taken to become this much longer. */
const OVERRUN_FACTOR = 2;
const MS_PER_SECOND = 1_000;
/** Time for which a copy is left alone before its speed is judged. */
const MIN_OBSERVED_MS = 1_000;
/** A copy must be foreseen to end in this share of the time left. */
const MAX_COPY_TIME_SHARE = 0.75;

/** Returns the slots that deserve a second copy, the slowest first. */
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
  const againMs = predictDurationMs(predictTotalTokens(copy), view.pool);
  if (againMs === 0) return false;
  return againMs < predictRemainingMs(copy, view) * MAX_COPY_TIME_SHARE;
}

/** Predicts how long a copy still takes, from its own speed so far. */
function predictRemainingMs(copy: RunningCopy, view: RolloutView): number {
  const elapsedMs = Math.max(1, view.nowMs - copy.startedAtMs);
  const speed = Math.min(
    computePoolSpeed(view.pool),
    computeCopySpeed(copy, elapsedMs),
  );
  const left = predictTotalTokens(copy) - copy.generatedTokens;
  return speed > 0 ? left / speed : Number.POSITIVE_INFINITY;
}

function computeCopySpeed(copy: RunningCopy, elapsedMs: number): number {
  return copy.generatedTokens / elapsedMs;
}

function computePoolSpeed(pool: PoolSupply): number {
  if (pool.tokensPerSecond <= 0) return Number.POSITIVE_INFINITY;
  return pool.tokensPerSecond / MS_PER_SECOND;
}

/** Lengths have long tails: what is over its prediction goes on for long. */
function predictTotalTokens(copy: RunningCopy): number {
  const {expectedTokens, generatedTokens} = copy;
  if (generatedTokens < expectedTokens) return expectedTokens;
  return generatedTokens * OVERRUN_FACTOR;
}
