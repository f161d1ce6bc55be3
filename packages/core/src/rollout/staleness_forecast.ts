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

/** Returns the time that an answer takes, in ms; 0 when not known. */
export function predictDurationMs(tokens: number, pool: PoolSupply): number {
  if (pool.tokensPerSecond <= 0) return 0;
  return (tokens / pool.tokensPerSecond) * MS_PER_SECOND;
}
