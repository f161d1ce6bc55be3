/**
 * Decides when finished results of a job are written to its log. Each write
 * costs a call to the store, so that results are collected for a while, except
 * when they make the job whole enough for its trainer to go on.
 */
import type {JobState} from './job_state';

/** Time for which results are collected, in ms. */
const COLLECT_MS = 900;
/** Shorter time for it when the job's deadline is near or over, in ms. */
const LATE_COLLECT_MS = 200;

/** Returns the time until the next write, in ms; undefined for none. */
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

/** Tells whether the trainer has what it waits for once all is listed. */
function hasDesiredGroups(state: JobState): boolean {
  const whole = state.groups.filter(group =>
    group.items.every(
      item => item.phase === 'finished' || item.phase === 'listed',
    ),
  );
  const carriedLeft = state.groups.some(
    group => group.isCarried && !whole.includes(group),
  );
  return !carriedLeft && whole.length >= state.job.desiredGroups;
}
