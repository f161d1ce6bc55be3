/** Foresees whether a sample would be over its bound when it is finished. */
import type {MissingSlot, PoolSupply, StepDemand} from './step_policy';

const MS_PER_SECOND = 1_000;

/**
 * Tells whether a slot had better not be started now.
 *
 * What is behind the bound already is never started. What the next version
 * would outdate before its end waits for that version if the wait, weighed as
 * idle time, costs less than the work that would be thrown away. An overdue
 * version is not waited for: the trainer may need this very sample to make it.
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
  const dueMs = pool.versionIntervalMs - pool.sinceVersionMs;
  const durationMs = predictDurationMs(slot.expectedTokens, pool);
  if (dueMs <= 0 || durationMs <= dueMs) return false;
  if (durationMs > pool.versionIntervalMs) return false;
  return (1 - step.idleWeight) * durationMs > step.idleWeight * dueMs;
}

/**
 * Returns how many slots of a step may be started while the trainer's earlier
 * steps are open. A sample started now is delivered after all that is before
 * it, so that more of that makes it older. The lower the weight of idle time,
 * the smaller the part of the bound that this wait may use up; until the pace
 * of the trainer is known, the smaller the part of the step. The first step
 * with anything left to send is never held back: a trainer that has been sent
 * a whole step goes on to the next without saying so.
 */
export function countAllowedStarts(
  step: StepDemand,
  earlier: readonly StepDemand[],
): number {
  const before = earlier.map(countUndelivered);
  const sum = before.reduce((total, count) => total + count, 0);
  if (sum === 0) return step.missing.length;
  const {idleWeight, stalenessBound} = step;
  const rates = [...earlier, step].flatMap(
    item => item.samplesPerVersion ?? [],
  );
  if (rates.length === 0) {
    return Math.max(0, step.total * idleWeight - countStarted(step));
  }
  const ahead = Math.max(...rates) * stalenessBound * idleWeight;
  return Math.max(0, Math.ceil(ahead) - sum - countStarted(step));
}

/** Returns how many samples of a step its trainer has still to be sent. */
function countUndelivered(step: StepDemand): number {
  return step.missing.length + countStarted(step);
}

function countStarted(step: StepDemand): number {
  return step.ready + step.running.length;
}

/** Returns the time that an answer takes, in ms; 0 when not known. */
export function predictDurationMs(tokens: number, pool: PoolSupply): number {
  if (pool.tokensPerSecond <= 0) return 0;
  return (tokens / pool.tokensPerSecond) * MS_PER_SECOND;
}
