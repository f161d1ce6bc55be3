/**
 * Decides when the finished results of a job are written to its log. Each write
 * is a call to the store, so results are collected for a while, unless the
 * trainer can continue with what would then be in the log.
 */
import type {JobState} from './job_state';

/** Time for which results are collected, in ms. */
const COLLECT_MS = 900;
/** Shorter time, used when the job's deadline is near or over, in ms. */
const LATE_COLLECT_MS = 200;

/** Returns the time until the next write, in ms; undefined when there is
 * nothing to write. */
export function computeFlushDelay(
  state: JobState,
  lastFlushAtMs: number,
  nowMs: number,
  runDeadlineMs: number,
): number | undefined {
  let finished = 0;
  for (const item of state.items.values()) {
    if (item.phase === 'finished') finished += 1;
  }
  if (finished === 0) return undefined;
  if (hasDesiredGroups(state)) return 0;
  const deadlineAtMs = state.acceptedAtMs + runDeadlineMs;
  const isLate = nowMs + COLLECT_MS > deadlineAtMs;
  const collectMs = isLate ? LATE_COLLECT_MS : COLLECT_MS;
  return Math.max(0, lastFlushAtMs + collectMs - nowMs);
}

/** Returns whether the trainer has all the groups that it waits for once the
 * finished results are written. */
function hasDesiredGroups(state: JobState): boolean {
  const complete = state.groups.filter(group =>
    group.items.every(
      item => item.phase === 'finished' || item.phase === 'listed',
    ),
  );
  const hasIncompleteCarried = state.groups.some(
    group => group.isCarried && !complete.includes(group),
  );
  return !hasIncompleteCarried && complete.length >= state.job.desiredGroups;
}
