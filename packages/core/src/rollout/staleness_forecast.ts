/** Foresees whether a sample would be over its bound when it is finished. */
import type {MissingSlot, PoolSupply, StepDemand} from './step_policy';

const MS_PER_SECOND = 1_000;
/** Share of the bound that samples may wait for where idle time counts
 * nothing. */
const MIN_AHEAD_SHARE = 0.3;

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
 * Returns how many slots a trainer may have started beyond what waits or runs
 * already. A sample started now is delivered after those, so that more of
 * them make it older. The lower the weight of idle time, the smaller the part
 * of the bound that the wait may use up.
 */
export function countAllowedAhead(steps: readonly StepDemand[]): number {
  const rates = steps.flatMap(step => step.samplesPerVersion ?? []);
  if (rates.length === 0) return Number.MAX_SAFE_INTEGER;
  const {idleWeight} = steps[0];
  const bound = Math.min(...steps.map(step => step.stalenessBound));
  const share = MIN_AHEAD_SHARE + (1 - MIN_AHEAD_SHARE) * idleWeight;
  const versions = Math.max(1, bound * share);
  const ahead = steps.map(step => step.ready + step.running.length);
  const sum = ahead.reduce((total, count) => total + count, 0);
  return Math.max(0, Math.ceil(Math.max(...rates) * versions) - sum);
}

/** Returns the time that an answer takes, in ms; 0 when not known. */
export function predictDurationMs(tokens: number, pool: PoolSupply): number {
  if (pool.tokensPerSecond <= 0) return 0;
  return (tokens / pool.tokensPerSecond) * MS_PER_SECOND;
}
