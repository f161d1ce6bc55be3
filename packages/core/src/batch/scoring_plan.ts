/**
 * Decides which scoring calls of complete texts start now.
 *
 * Designed for this load: the items of a group end together and each brings one
 * call to a service that also answers callers, who wait. Calls in progress
 * leave some of the service's slots free, so that bursts wait here and not in
 * front of callers, also when endpoints are slow or few. The calls of groups that
 * a trainer waits for come first, then those of the step that is due first, then
 * those of the group that lacks the fewest items.
 */
import type {JobItem, ScoringCall} from './batch_types';
import type {ItemState} from './item_state';
import type {GroupState, JobState} from './job_state';
import {ItemRank, JobView, rankGroup, selectWantedGroups} from './start_plan';

/** Share of a service's slots that is kept for callers: enough that one of them
 * rarely finds all slots in use. */
const RESERVED_SHARE = 1 / 6;
/** Share of that limit up to which a slow call may be sent to a second endpoint:
 * beyond it the endpoints are more likely busy than broken. */
const HEDGE_SHARE = 0.5;

/** Where the scoring call of an item goes by the routes in force. */
export interface ScoringTarget {
  /** Names the services of the route; calls of equal keys share a limit. */
  readonly key: string;
  /** Slots of the usable endpoints of these services. */
  readonly slots: number;
}

/** Finds the target of a call; undefined when the call cannot be sent. */
export type ScoringTargetFinder = (
  call: ScoringCall,
) => ScoringTarget | undefined;

/** Input of a plan of scoring calls. */
export interface ScoringView {
  readonly jobs: readonly JobView[];
  readonly findTarget: ScoringTargetFinder;
  /** Number of calls in progress by key of their target. */
  readonly inProgress: ReadonlyMap<string, number>;
  readonly nowMs: number;
}

/** A scoring call to start. */
export interface PlannedScoring {
  readonly job: JobState;
  readonly item: JobItem;
  readonly call: ScoringCall;
  readonly target: ScoringTarget;
  readonly rank: ItemRank;
  /** Number of items of the group without a result, this one included. */
  readonly missingItems: number;
  /** Time since the text was complete, in ms. */
  readonly ageMs: number;
  /** Number of earlier calls that had no usable answer. */
  readonly earlierCalls: number;
  /** Whether a second endpoint may be called while the first is slow. */
  readonly mayHedge: boolean;
}

interface Candidate {
  readonly job: JobView;
  readonly item: ItemState;
  readonly call: ScoringCall;
  readonly rank: ItemRank;
  readonly missingItems: number;
  readonly deadlineAtMs: number;
}

/** Replaceable decision: tests and the benchmark compare it with simpler ones. */
export type ScoringPolicy = (view: ScoringView) => PlannedScoring[];

/** Returns the calls to start now, in order of urgency. */
export function planScoring(view: ScoringView): PlannedScoring[] {
  const candidates = view.jobs.flatMap(job => listCandidates(job, view.nowMs));
  candidates.sort(compareCandidates);
  const inProgress = new Map(view.inProgress);
  const planned: PlannedScoring[] = [];
  for (const candidate of candidates) {
    const target = view.findTarget(candidate.call);
    if (target === undefined || target.slots === 0) continue;
    const limit = computeLimit(target.slots);
    const count = (inProgress.get(target.key) ?? 0) + 1;
    if (count > limit) continue;
    inProgress.set(target.key, count);
    const mayHedge = count <= limit * HEDGE_SHARE;
    planned.push(createPlanned(candidate, target, mayHedge, view.nowMs));
  }
  return planned;
}

/** Returns how many calls may be in progress at endpoints with so many slots. */
function computeLimit(slots: number): number {
  const reserved = Math.max(1, Math.ceil(slots * RESERVED_SHARE));
  return Math.max(1, slots - reserved);
}

/** The simplest policy, a baseline: starts every call at once. */
export function planScoringAtOnce(view: ScoringView): PlannedScoring[] {
  return view.jobs
    .flatMap(job => listCandidates(job, view.nowMs))
    .flatMap(candidate => {
      const target = view.findTarget(candidate.call);
      if (target === undefined || target.slots === 0) return [];
      return [createPlanned(candidate, target, true, view.nowMs)];
    });
}

/** Lists the items that wait for a scoring call whose route does not exist or
 * cannot be used, and that were not reported before; marks them as reported. */
export function takeUnroutable(
  jobs: readonly JobState[],
  findTarget: ScoringTargetFinder,
): Array<{readonly job: JobState; readonly item: JobItem}> {
  return jobs.flatMap(job =>
    [...job.items.values()]
      .filter(({scoring, item}) => {
        if (scoring === undefined || scoring.isReported) return false;
        const {scoringCall} = item;
        if (scoringCall !== undefined && findTarget(scoringCall)) return false;
        scoring.isReported = true;
        return true;
      })
      .map(({item}) => ({job, item})),
  );
}

function createPlanned(
  candidate: Candidate,
  target: ScoringTarget,
  mayHedge: boolean,
  nowMs: number,
): PlannedScoring {
  const {job, item, call, rank, missingItems} = candidate;
  const {completeSinceMs = nowMs, calls = 0} = item.scoring ?? {};
  return {
    job: job.state,
    item: item.item,
    call,
    target,
    rank,
    missingItems,
    ageMs: nowMs - completeSinceMs,
    earlierCalls: calls,
    mayHedge,
  };
}

function listCandidates(job: JobView, nowMs: number): Candidate[] {
  const {state, runDeadlineMs} = job;
  const hasCandidate = [...state.items.values()].some(item =>
    isCallable(item, nowMs),
  );
  if (state.isEnded || !hasCandidate) return [];
  const wanted = selectWantedGroups(job);
  return state.groups.flatMap(group => {
    const missingItems = countMissing(group);
    const rank = rankGroup(group, wanted);
    return group.items.flatMap(item => {
      const call = item.item.scoringCall;
      if (call === undefined || !isCallable(item, nowMs)) return [];
      const deadlineAtMs = state.acceptedAtMs + runDeadlineMs;
      return [{job, item, call, rank, missingItems, deadlineAtMs}];
    });
  });
}

function isCallable({phase, scoring}: ItemState, nowMs: number): boolean {
  if (phase !== 'scoring' || scoring === undefined) return false;
  return !scoring.isCalled && scoring.retryAtMs <= nowMs;
}

function countMissing(group: GroupState): number {
  return group.items.filter(
    ({phase}) => phase !== 'finished' && phase !== 'listed',
  ).length;
}

function compareCandidates(a: Candidate, b: Candidate): number {
  return (
    Number(a.rank === 'spare') - Number(b.rank === 'spare') ||
    a.deadlineAtMs - b.deadlineAtMs ||
    a.missingItems - b.missingItems
  );
}
