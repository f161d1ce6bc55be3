/**
 * Tells what each step of a trainer waited for. The time from its acceptance to its
 * end is split along the item whose result came last: each moment belongs to one
 * cause. The nodes' clocks must agree to within some milliseconds.
 */
import {computeBound, measureEventTime} from './step_bound';
import type {JobRecord, Period, RunRecord, StepHistory} from './step_history';

/** What a step can wait for, in the order in which it usually does. */
export const STEP_CAUSES = [
  'start',
  'moved',
  'run-again',
  'generation',
  'score',
  'write',
  'read',
  'store-away',
  'coordinator-away',
] as const;

/** A cause of waiting. */
export type StepCause = (typeof STEP_CAUSES)[number];

/** Waiting time by cause, in ms. */
export type StepWaits = Readonly<Record<StepCause, number>>;

/** A step that has ended, and what it waited for. */
export interface ExplainedStep {
  readonly job: string;
  readonly step: number;
  /** Number of items. */
  readonly items: number;
  /** Time of acceptance, as an ISO string. */
  readonly acceptedAt: string;
  /** Time from acceptance to the end, in ms. */
  readonly tookMs: number;
  /** Time in which an oracle would have ended it, in ms; undefined if the logs do
   * not tell. */
  readonly boundMs: number | undefined;
  /** Item whose result came last, its rank at its last start, and its number of
   * events and of runs. */
  readonly lastItem: string;
  readonly rank: string;
  readonly events: number;
  readonly runs: number;
  readonly waits: StepWaits;
}

/** The steps of logs, and what they waited for in all. */
export interface StepsReport {
  readonly steps: readonly ExplainedStep[];
  readonly totals: StepWaits;
  /** IDs of ended jobs whose last item is not in the logs. */
  readonly unexplained: readonly string[];
}

interface Phase extends Period {
  readonly cause: StepCause;
}

/** Explains the ended steps that took `minMs` or longer. */
export function explainSteps(history: StepHistory, minMs: number): StepsReport {
  const msPerEvent = measureEventTime(history);
  const steps: ExplainedStep[] = [];
  const unexplained: string[] = [];
  for (const job of history.jobs) {
    if (job.endedAtMs === undefined) continue;
    if (job.endedAtMs - job.acceptedAtMs < minMs) continue;
    const step = explainStep(job, job.endedAtMs, history, msPerEvent);
    if (step === undefined) unexplained.push(job.id);
    else steps.push(step);
  }
  const totals = createWaits();
  for (const {waits} of steps) {
    for (const cause of STEP_CAUSES) totals[cause] += waits[cause];
  }
  return {steps, totals, unexplained};
}

function createWaits(): Record<StepCause, number> {
  const entries = STEP_CAUSES.map(cause => [cause, 0]);
  return Object.fromEntries(entries) as Record<StepCause, number>;
}

function explainStep(
  job: JobRecord,
  endedAtMs: number,
  history: StepHistory,
  msPerEvent: number | undefined,
): ExplainedStep | undefined {
  const listing = job.listings.filter(({atMs}) => atMs <= endedAtMs).at(-1);
  const listedAtMs = listing?.atMs ?? endedAtMs;
  const last = findLastItem(job, listedAtMs, history);
  if (last === undefined) return undefined;
  const {run, doneAtMs, scoredAtMs} = last;
  const runs = listRuns(history, run.itemId, job.acceptedAtMs).filter(
    ({startedAtMs}) => startedAtMs <= doneAtMs,
  );
  const beginsAgain = run.firstEvent === 0 ? 'run-again' : 'moved';
  const times: ReadonlyArray<readonly [StepCause, number]> = [
    ['start', runs[0].startedAtMs],
    [beginsAgain, run.startedAtMs],
    ['generation', doneAtMs],
    ['score', scoredAtMs],
    ['write', listedAtMs],
    ['read', endedAtMs],
  ];
  const waits = createWaits();
  let fromMs = job.acceptedAtMs;
  for (const [cause, untilMs] of times) {
    const phase = {cause, fromMs, untilMs: Math.max(fromMs, untilMs)};
    fromMs = phase.untilMs;
    addPhase(waits, phase, history, listing?.node);
  }
  return {
    job: job.id,
    step: job.step,
    items: job.items,
    acceptedAt: new Date(job.acceptedAtMs).toISOString(),
    tookMs: endedAtMs - job.acceptedAtMs,
    boundMs: computeBound(job, history, msPerEvent),
    lastItem: run.itemId,
    rank: run.rank,
    events: run.events,
    runs: runs.length,
    waits,
  };
}

/** Finds the item whose text, or whose score if the job has scores, was the last
 * one before a time. */
function findLastItem(
  {groups, scores, acceptedAtMs}: JobRecord,
  beforeMs: number,
  history: StepHistory,
): {run: RunRecord; doneAtMs: number; scoredAtMs: number} | undefined {
  const score = scores.filter(({atMs}) => atMs <= beforeMs).at(-1);
  const itemIds = score === undefined ? [...groups.keys()] : [score.itemId];
  const runs = itemIds.flatMap(id => listRuns(history, id, acceptedAtMs));
  let last: RunRecord | undefined;
  for (const run of runs) {
    const {end, endedAtMs = Infinity} = run;
    if (end !== 'completed' || endedAtMs > beforeMs) continue;
    if (endedAtMs >= (last?.endedAtMs ?? 0)) last = run;
  }
  if (last?.endedAtMs === undefined) return undefined;
  const doneAtMs = last.endedAtMs;
  return {run: last, doneAtMs, scoredAtMs: score?.atMs ?? doneAtMs};
}

/** Lists the runs of an item that were under way at a time or started later. */
function listRuns(
  {runs}: StepHistory,
  itemId: string,
  sinceMs: number,
): RunRecord[] {
  const all = runs.get(itemId) ?? [];
  return all.filter(({endedAtMs = Infinity}) => endedAtMs >= sinceMs);
}

/** Adds a phase to the waits. Texts are generated while there is no coordinator; in
 * other phases that time counts as its absence, and a write during an outage of
 * the store as that outage. */
function addPhase(
  waits: Record<StepCause, number>,
  phase: Phase,
  history: StepHistory,
  node: string | undefined,
): void {
  const {cause, fromMs, untilMs} = phase;
  const isGenerated = cause === 'generation';
  const withoutCoordinator = isGenerated ? [] : history.coordinatorAway;
  const outages =
    cause === 'write' ? (history.storeAway.get(node ?? '') ?? []) : [];
  const coordinatorMs = measureOverlap(phase, withoutCoordinator);
  const eitherMs = measureOverlap(phase, [...withoutCoordinator, ...outages]);
  waits['coordinator-away'] += coordinatorMs;
  waits['store-away'] += eitherMs - coordinatorMs;
  waits[cause] += untilMs - fromMs - eitherMs;
}

/** Returns how much of a period the others cover together, in ms. */
function measureOverlap(period: Period, others: readonly Period[]): number {
  const sorted = [...others].sort((a, b) => a.fromMs - b.fromMs);
  let coveredUntilMs = period.fromMs;
  let sumMs = 0;
  for (const {fromMs, untilMs} of sorted) {
    const startMs = Math.max(fromMs, coveredUntilMs);
    const endMs = Math.min(untilMs, period.untilMs);
    if (endMs <= startMs) continue;
    sumMs += endMs - startMs;
    coveredUntilMs = endMs;
  }
  return sumMs;
}
