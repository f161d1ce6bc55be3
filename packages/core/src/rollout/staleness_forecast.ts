/** Predicts whether a sample would exceed the staleness bound at delivery. */
import type {MissingSlot, PoolSupply, StepDemand} from './step_policy';

const MS_PER_SECOND = 1_000;

/**
 * Returns whether a slot should not be started now, because its sample would
 * be stale or probably become stale before it is finished.
 *
 * While the pool serves a version beyond the bound, no slot is started. At the
 * bound, a slot that would finish only after the next version waits for that
 * version if the idle time costs less than the work that would be discarded,
 * both weighted by the step's idle weight. An overdue version is not waited
 * for: the trainer may need this very sample to produce it. A slot whose
 * answer takes longer than the interval between versions doesn't wait either.
 */
export function isStaleOnArrival(
  slot: MissingSlot,
  step: StepDemand,
  pool: PoolSupply,
): boolean {
  const lag = step.trainerVersion - pool.servedVersion;
  if (lag > step.stalenessBound) return true;
  if (lag < step.stalenessBound) return false;
  if (pool.versionIntervalMs === undefined) return false;
  const untilNextMs = pool.versionIntervalMs - pool.sinceVersionMs;
  const durationMs = predictDurationMs(slot.expectedTokens, pool);
  if (untilNextMs <= 0 || durationMs <= untilNextMs) return false;
  if (durationMs > pool.versionIntervalMs) return false;
  return (1 - step.idleWeight) * durationMs > step.idleWeight * untilNextMs;
}

/**
 * Returns how many slots of a step may be started while the trainer's earlier
 * steps are open.
 *
 * A sample started now is delivered after all samples of the earlier steps,
 * and becomes staler in the meantime. The idle weight is the share of the
 * staleness bound that this wait may use up; until it is known how many
 * samples the trainer consumes per version, it is the share of the step that
 * may be started. The first step with undelivered samples is not limited: a
 * trainer that has been sent an entire step continues with the next one
 * without acknowledging the last samples.
 */
export function countAllowedStarts(
  step: StepDemand,
  earlier: readonly StepDemand[],
): number {
  const earlierCount = earlier
    .map(countUndelivered)
    .reduce((sum, count) => sum + count, 0);
  if (earlierCount === 0) return step.missing.length;
  const {idleWeight, stalenessBound} = step;
  const rates = [...earlier, step].flatMap(
    demand => demand.samplesPerVersion ?? [],
  );
  if (rates.length === 0) {
    return Math.max(0, step.total * idleWeight - countStarted(step));
  }
  const maxAhead = Math.max(...rates) * stalenessBound * idleWeight;
  return Math.max(0, Math.ceil(maxAhead) - earlierCount - countStarted(step));
}

/** Returns the number of samples that have still to be sent to the trainer. */
function countUndelivered(step: StepDemand): number {
  return step.missing.length + countStarted(step);
}

function countStarted(step: StepDemand): number {
  return step.ready + step.running.length;
}

/** Returns the time needed to generate an answer; 0 when not known. */
export function predictDurationMs(tokens: number, pool: PoolSupply): number {
  if (pool.tokensPerSecond <= 0) return 0;
  return (tokens / pool.tokensPerSecond) * MS_PER_SECOND;
}
