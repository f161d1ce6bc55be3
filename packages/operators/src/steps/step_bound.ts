/**
 * Computes the earliest time at which a step could have ended: with an oracle that
 * knows the lengths of all texts, leaves out the groups with the longest, starts
 * every text at once at an idle engine, and loses no time to scores and writes.
 */
import type {JobRecord, Period, StepHistory} from './step_history';

/** Number of events from which on a run tells the token time of an engine. */
const MIN_EVENTS = 20;
/** Share of runs that are faster than an idle engine appears to be, by the error of
 * their times. */
const FAST_SHARE = 0.05;

/** What the bound of a step depends on. */
export interface BoundInput {
  /** For each group the number of events that its longest text lacks when the step
   * is accepted; Infinity if a text was never complete. */
  readonly groups: readonly number[];
  /** Number of groups that the trainer waits for. */
  readonly desiredGroups: number;
  /** Time of an event at an idle engine, in ms. */
  readonly msPerEvent: number;
  readonly acceptedAtMs: number;
  /** Periods in which no result could be stored. */
  readonly outages: readonly Period[];
}

/** Returns the time in ms from acceptance to the earliest end of a step; undefined
 * if too few groups were ever complete. */
export function computeStepBound(input: BoundInput): number | undefined {
  const {groups, desiredGroups, msPerEvent, acceptedAtMs, outages} = input;
  const sorted = [...groups].sort((a, b) => a - b);
  const events = desiredGroups === 0 ? 0 : sorted[desiredGroups - 1];
  if (events === undefined || events === Infinity) return undefined;
  const textsMs = acceptedAtMs + events * msPerEvent;
  const blocking = outages.find(
    ({fromMs, untilMs}) => fromMs <= textsMs && textsMs < untilMs,
  );
  return (blocking?.untilMs ?? textsMs) - acceptedAtMs;
}

/** Returns the time of an event at an idle engine, in ms; undefined if no run tells
 * it. */
export function measureEventTime({runs}: StepHistory): number | undefined {
  const times = [...runs.values()].flat().flatMap(run => {
    const {startedAtMs, endedAtMs, end, events, firstEvent} = run;
    const generated = events - firstEvent;
    if (end !== 'completed' || generated < MIN_EVENTS) return [];
    return [((endedAtMs ?? Infinity) - startedAtMs) / generated];
  });
  times.sort((a, b) => a - b);
  return times[Math.floor(times.length * FAST_SHARE)];
}

/** Returns the bound of a job from logs, in ms; undefined if they do not tell. Groups
 * none of whose items started are left out. */
export function computeBound(
  job: JobRecord,
  history: StepHistory,
  msPerEvent: number | undefined,
): number | undefined {
  if (msPerEvent === undefined || job.desiredGroups === 0) return undefined;
  const groups = new Map<string, number>();
  for (const [itemId, group] of job.groups) {
    const missing = countMissingEvents(itemId, job.acceptedAtMs, history);
    groups.set(group, Math.max(groups.get(group) ?? 0, missing));
  }
  return computeStepBound({
    groups: [...groups.values()],
    desiredGroups: job.desiredGroups,
    msPerEvent,
    acceptedAtMs: job.acceptedAtMs,
    outages: [...history.storeAway.values()].flat(),
  });
}

/** Returns how many events of a text the first run of a job had still to generate. */
function countMissingEvents(
  itemId: string,
  sinceMs: number,
  {runs}: StepHistory,
): number {
  const all = runs.get(itemId) ?? [];
  const completed = all.find(({end}) => end === 'completed');
  const first = all.find(({startedAtMs}) => startedAtMs >= sinceMs);
  if (completed === undefined) return Infinity;
  return completed.events - (first?.firstEvent ?? completed.events);
}
