/**
 * Decides which groups are completed when the endpoints cannot complete all that
 * trainers wait for before their run deadlines.
 *
 * Designed for this load: engines state a limit of 1 request a second for 24 s, so
 * that a third of the items of each step fit. Items of all groups then share what
 * starts there are, and nearly all groups are late. A group counts only if all its
 * items are listed in time, so that whole groups are chosen, which start before all
 * others. A trainer submits the others again in a later step.
 */
import type {GroupState} from './job_state';
import {predictRemainingTokens} from './length_forecast';
import {ServiceCapacity} from './scarcity_capacity';
import {BatchEndpointView, JobView, selectWantedGroups} from './start_plan';

/** Time from the end of a run until its result is listed, in ms: one sync of an
 * agent and the time for which late results are collected. */
const LISTING_MS = 550;
/** Difference in missing tokens below which two groups count as equal: about half
 * a second, the error of a forecast. */
const TOKENS_STEP = 570;

/** What a plan under scarcity was made from. */
export interface ScarcityInputs {
  /** Number of groups that trainers wait for. */
  readonly neededGroups: number;
  /** Number of their items without a result. */
  readonly neededItems: number;
  /** Number of items that can end before the latest run deadline. */
  readonly possibleItems: number;
  /** Number of groups that are completed. */
  readonly chosenGroups: number;
}

/** Groups to complete under scarcity. Others start only in slots that these leave
 * free. */
export interface ScarcityPlan {
  /** Position of each chosen group; the lowest starts first. */
  readonly order: ReadonlyMap<GroupState, number>;
  readonly inputs: ScarcityInputs;
}

/** Replaceable decision; returns undefined when there is no scarcity. */
export type ScarcityPolicy = (
  jobs: readonly JobView[],
  endpoints: readonly BatchEndpointView[],
  nowMs: number,
) => ScarcityPlan | undefined;

/** A group without all of its results. */
interface OpenGroup {
  readonly group: GroupState;
  readonly job: JobView;
  readonly waitingTokens: readonly number[];
  readonly missingTokens: number;
  /** Time at which the last result must be available to be listed in time. */
  readonly deadlineAtMs: number;
}

/** Returns the groups to complete if not all can be complete in time. */
export function planScarcity(
  jobs: readonly JobView[],
  endpoints: readonly BatchEndpointView[],
  nowMs: number,
): ScarcityPlan | undefined {
  const plans = splitByService(jobs).map(list => {
    const [{endpointIds}] = list;
    const serving = endpoints.filter(({id}) => endpointIds.has(id));
    return planService(list, serving, nowMs);
  });
  if (plans.every(plan => !plan.isShort)) return undefined;
  const order = new Map(plans.flatMap(plan => [...plan.order]));
  const sumOf = (key: keyof ScarcityInputs) =>
    plans.reduce((sum, {inputs}) => sum + inputs[key], 0);
  return {
    order,
    inputs: {
      neededGroups: sumOf('neededGroups'),
      neededItems: sumOf('neededItems'),
      possibleItems: sumOf('possibleItems'),
      chosenGroups: sumOf('chosenGroups'),
    },
  };
}

/** Groups the jobs whose items run at the same endpoints. */
function splitByService(jobs: readonly JobView[]): JobView[][] {
  const byEndpoint = new Map<string, JobView[]>();
  for (const job of jobs) {
    const [first = ''] = job.endpointIds;
    const list = byEndpoint.get(first) ?? [];
    list.push(job);
    byEndpoint.set(first, list);
  }
  return [...byEndpoint.values()];
}

function planService(
  jobs: readonly JobView[],
  endpoints: readonly BatchEndpointView[],
  nowMs: number,
) {
  const capacity = ServiceCapacity.create(endpoints, nowMs);
  const needed = jobs.flatMap(listNeededGroups);
  const shortage = measureShortage(needed, capacity, nowMs);
  const isShort =
    shortage.isShort && jobs.some(({canReuseTexts}) => !canReuseTexts);
  const groups = isShort ? jobs.flatMap(listOpenGroups) : [];
  const {order, chosenGroups} = chooseGroups(groups, capacity, nowMs);
  const {neededItems, possibleItems} = shortage;
  const neededGroups = needed.length;
  const inputs = {neededGroups, neededItems, possibleItems, chosenGroups};
  return {order, isShort, inputs};
}

/** Compares, for each run deadline, the items that must end until then with those
 * that can. */
function measureShortage(
  needed: readonly OpenGroup[],
  capacity: ServiceCapacity,
  nowMs: number,
) {
  const byDeadline = [...needed].sort(
    (a, b) => a.deadlineAtMs - b.deadlineAtMs,
  );
  let neededItems = 0;
  let neededTokens = 0;
  let possibleItems = 0;
  let isShort = false;
  for (const [index, group] of byDeadline.entries()) {
    neededItems += group.waitingTokens.length;
    neededTokens += group.waitingTokens.reduce((sum, count) => sum + count, 0);
    const next = byDeadline[index + 1]?.deadlineAtMs;
    if (next === group.deadlineAtMs || neededItems === 0) continue;
    const withinMs = Math.max(0, group.deadlineAtMs - nowMs);
    possibleItems = capacity.countItems(neededTokens / neededItems, withinMs);
    isShort ||= possibleItems < neededItems;
  }
  return {isShort, neededItems, possibleItems: Math.round(possibleItems)};
}

/** Chooses the groups that can be complete in time, and after them those of steps
 * whose deadline is over, which the trainer may still wait for. */
function chooseGroups(
  groups: readonly OpenGroup[],
  capacity: ServiceCapacity,
  nowMs: number,
) {
  const order = new Map<GroupState, number>();
  const left = new Map<JobView, number>();
  const sorted = [...groups].sort(compareGroups);
  for (const {group, job, waitingTokens, deadlineAtMs} of sorted) {
    const desired = left.get(job) ?? countMissingGroups(job);
    left.set(job, desired);
    if (desired <= 0 || deadlineAtMs <= nowMs) continue;
    if (!capacity.tryPlace(waitingTokens, deadlineAtMs)) continue;
    left.set(job, desired - 1);
    order.set(group, order.size);
  }
  const chosenGroups = order.size;
  for (const {group, job, deadlineAtMs} of sorted) {
    if (deadlineAtMs > nowMs || (left.get(job) ?? 0) <= 0) continue;
    left.set(job, (left.get(job) ?? 0) - 1);
    order.set(group, order.size);
  }
  return {order, chosenGroups};
}

/** Orders groups by missing tokens, then those carried over before others, then
 * by their deadlines. */
function compareGroups(a: OpenGroup, b: OpenGroup): number {
  const stepOf = ({missingTokens}: OpenGroup) =>
    Math.floor(missingTokens / TOKENS_STEP);
  return (
    stepOf(a) - stepOf(b) ||
    Number(b.group.isCarried) - Number(a.group.isCarried) ||
    a.deadlineAtMs - b.deadlineAtMs ||
    a.missingTokens - b.missingTokens
  );
}

/** Returns how many more groups the trainer waits for. */
function countMissingGroups({state}: JobView): number {
  const done = state.groups.filter(group => group.items.every(isDone)).length;
  return Math.max(0, state.job.desiredGroups - done);
}

function listNeededGroups(job: JobView): OpenGroup[] {
  if (countMissingGroups(job) === 0) return [];
  const wanted = selectWantedGroups(job);
  return listOpenGroups(job).filter(
    ({group}) => group.isCarried || wanted.has(group),
  );
}

function listOpenGroups(job: JobView): OpenGroup[] {
  const {state, runDeadlineMs, tokensPerEvent} = job;
  if (state.isEnded) return [];
  const deadlineAtMs = state.acceptedAtMs + runDeadlineMs - LISTING_MS;
  return state.groups
    .filter(group => !group.items.every(isDone))
    .map(group => {
      const open = group.items.filter(
        ({phase}) => phase === 'waiting' || phase === 'running',
      );
      const remaining = open.map(item =>
        predictRemainingTokens(item, tokensPerEvent),
      );
      const waitingTokens = remaining.filter(
        (_, index) => open[index].phase === 'waiting',
      );
      const missingTokens = remaining.reduce((sum, count) => sum + count, 0);
      return {group, job, waitingTokens, missingTokens, deadlineAtMs};
    });
}

function isDone({phase}: {phase: string}): boolean {
  return phase === 'finished' || phase === 'listed';
}
