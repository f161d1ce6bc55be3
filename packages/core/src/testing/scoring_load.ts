/**
 * Replays the load of scoring calls at its worst: a step's groups end in bursts
 * while few endpoints of the scoring service are left and these are slow, and the
 * same endpoints answer callers, who wait. Tests and the benchmark compare
 * policies by it.
 */
import {DEFAULT_POLICY, ScoringPolicy} from '../index';
import {BatchSimulation, createTestJob} from './batch_simulation';
import {ScoringSimulation} from './scoring_simulation';

const STEP_LIMIT_MS = 60_000;
const ENGINES = 8;
const GROUPS = 41;
const DESIRED_GROUPS = 37;
const GROUP_SIZE = 4;
/** Slots of the two endpoints that are left of eight. */
const SLOTS = 12;
/** Factor by which they are slower than usual. */
const SLOWDOWN = 2.2;
const SCORING_WORK_MS = 190;
const CALLERS = {intervalMs: 240, workMs: 24};

/** What a policy achieves. */
export interface ScoringMeasurement {
  /** Time until the trainer has the groups that it waits for, in ms. */
  readonly stepMs: number;
  /** 95th percentile of the time that callers wait for their answer, in ms. */
  readonly callerP95Ms: number;
}

/** Measures a policy; `findEvents` gives the length of each item's text. */
export function measureScoring(
  planScoring: ScoringPolicy,
  findEvents: (itemId: string) => number,
): ScoringMeasurement {
  const scoring = ScoringSimulation.create({
    slots: SLOTS,
    computeWorkMs: () => SCORING_WORK_MS,
    callers: CALLERS,
  });
  scoring.slowdown = SLOWDOWN;
  const simulation = BatchSimulation.create({
    engines: ENGINES,
    countEvents: findEvents,
    policy: {...DEFAULT_POLICY, planScoring},
    scoring,
  });
  const job = createTestJob({
    id: 'a',
    groups: GROUPS,
    size: GROUP_SIZE,
    desiredGroups: DESIRED_GROUPS,
    isScored: true,
  });
  const state = simulation.submitJob(job);
  const isDone = () => state.countCompleteGroups() >= DESIRED_GROUPS;
  simulation.advanceUntil(isDone, STEP_LIMIT_MS);
  const times = [...scoring.callerTimesMs].sort((a, b) => a - b);
  const callerP95Ms = times[Math.floor(times.length * 0.95)] ?? 0;
  return {stepMs: simulation.nowMs, callerP95Ms};
}
