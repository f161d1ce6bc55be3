/**
 * Forecasts when a step has all the groups that its trainer waits for. The longest
 * texts of a step often reach their maximum length, so that the forecast assumes it
 * for all texts; the end of a shorter one is not known in advance.
 */
import type {ItemState} from './item_state';
import type {GroupState, JobState} from './job_state';

/** Typical time from the end of a text to its score, in ms. */
const SCORING_MS = 200;

/** Returns the latest time at which the groups that a trainer waits for are
 * expected to be complete; Infinity when it is unknown. */
export function predictCompletion(
  {groups, job}: JobState,
  tokensPerEvent: number,
  nowMs: number,
): number {
  const endOf = (group: GroupState) =>
    Math.max(
      ...group.items.map(item => predictResult(item, tokensPerEvent, nowMs)),
    );
  const carriedEnds = groups.filter(group => group.isCarried).map(endOf);
  const otherEnds = groups
    .filter(group => !group.isCarried)
    .map(endOf)
    .sort((a, b) => a - b);
  const needed = Math.max(0, job.desiredGroups - carriedEnds.length);
  if (needed > otherEnds.length) return Infinity;
  return Math.max(nowMs, ...carriedEnds, ...otherEnds.slice(0, needed));
}

function predictResult(
  item: ItemState,
  tokensPerEvent: number,
  nowMs: number,
): number {
  if (item.phase === 'finished' || item.phase === 'listed') return nowMs;
  const scoringMs = item.item.scoringCall === undefined ? 0 : SCORING_MS;
  if (item.phase === 'scoring') return nowMs + scoringMs;
  return predictLatestEnd(item, tokensPerEvent) + scoringMs;
}

/** Returns the time at which a run reaches its maximum length at its present
 * rate; Infinity when it is unknown. */
export function predictLatestEnd(
  state: ItemState,
  tokensPerEvent: number,
): number {
  const {run, events, item, lastEventAtMs} = state;
  if (run === undefined) return Infinity;
  const generated = events.length - run.firstEvent;
  if (generated <= 0) return Infinity;
  const msPerEvent = (lastEventAtMs - run.startedAtMs) / generated;
  const maxEvents = Math.ceil(item.maxOutputTokens / tokensPerEvent);
  return lastEventAtMs + (maxEvents - events.length) * msPerEvent;
}
