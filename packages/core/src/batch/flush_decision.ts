/**
 * Decides when the finished results of a job are written to its log.
 *
 * Designed for this load: each write is a call to the store, so results are
 * collected for a while. A trainer's read waits for the next result, and its next
 * read follows about half a second later. A write shortly before the one that
 * completes the step therefore delays the trainer by up to that pause, or twice.
 * Results wait a little for those that would complete the step: for scores, and
 * for runs that soon reach their maximum length, as the longest of a step often
 * do. When the step is late, they are written no more often than the trainer
 * reads.
 */
import {predictLatestEnd} from './completion_forecast';
import type {ItemState} from './item_state';
import type {JobState} from './job_state';

/** Time for which results are collected, in ms. */
const COLLECT_MS = 900;
/** Shorter time, used when the job's deadline is near or over, in ms: the pause
 * of a trainer between two reads. */
const LATE_COLLECT_MS = 450;
/** Remaining time until its maximum length within which a run counts as ending,
 * in ms. */
const ENDING_MS = 900;
/** Maximum time for which results wait for those that would complete the step, in
 * ms: the end of the last run and its scoring call. */
const COMPLETION_WAIT_MS = 1_200;

/** What the route of a job and its service determine. */
export interface FlushBounds {
  /** Time from acceptance to the deadline of the last result, in ms. */
  readonly runDeadlineMs: number;
  /** Maximum number of tokens in one event. */
  readonly tokensPerEvent: number;
}

/** Returns the time until the next write, in ms; undefined when there is
 * nothing to write. */
export function computeFlushDelay(
  state: JobState,
  lastFlushAtMs: number,
  nowMs: number,
  {runDeadlineMs, tokensPerEvent}: FlushBounds,
): number | undefined {
  let oldestAtMs = Infinity;
  for (const item of state.items.values()) {
    if (item.phase !== 'finished') continue;
    oldestAtMs = Math.min(oldestAtMs, item.finishedAtMs);
  }
  if (oldestAtMs === Infinity) return undefined;
  if (hasDesiredGroups(state, isDone)) return 0;
  const deadlineAtMs = state.acceptedAtMs + runDeadlineMs;
  const isLate = nowMs + COLLECT_MS > deadlineAtMs;
  const collectUntilMs =
    lastFlushAtMs + (isLate ? LATE_COLLECT_MS : COLLECT_MS);
  const isEnding = (item: ItemState) =>
    isDone(item) ||
    item.phase === 'scoring' ||
    predictLatestEnd(item, tokensPerEvent) - nowMs <= ENDING_MS;
  if (!hasDesiredGroups(state, isEnding)) {
    return Math.max(0, collectUntilMs - nowMs);
  }
  const completeUntilMs = oldestAtMs + COMPLETION_WAIT_MS;
  // Results that are in time are not made late by those that may be.
  const waitUntilMs =
    nowMs < deadlineAtMs
      ? Math.min(completeUntilMs, deadlineAtMs)
      : completeUntilMs;
  return Math.max(0, Math.max(collectUntilMs, waitUntilMs) - nowMs);
}

function isDone({phase}: ItemState): boolean {
  return phase === 'finished' || phase === 'listed';
}

/** Returns whether the trainer has all the groups that it waits for once the
 * results of the items for which `isReady` holds are written. */
function hasDesiredGroups(
  state: JobState,
  isReady: (item: ItemState) => boolean,
): boolean {
  const complete = state.groups.filter(group => group.items.every(isReady));
  const hasIncompleteCarried = state.groups.some(
    group => group.isCarried && !complete.includes(group),
  );
  return !hasIncompleteCarried && complete.length >= state.job.desiredGroups;
}
