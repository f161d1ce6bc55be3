/**
 * The policy in use: the pool's free slots go to the trainers by weighted fair
 * share, and to the oldest step of each first: its missing slots in the order
 * of predicted length, none that would be stale on arrival, then second copies
 * of its stragglers.
 */
import {orderSlots} from './slot_order';
import {countAllowedStarts, isStaleOnArrival} from './staleness_forecast';
import type {
  PoolSupply,
  RolloutView,
  SlotStart,
  StartReason,
  StepDemand,
} from './step_policy';
import {findStragglers} from './straggler_copies';

/** Idle weight that every trainer counts with at least. */
const MIN_TRAINER_WEIGHT = 0.1;
/** A step whose open slots fit this share of the pool is in its tail. */
const MAX_TAIL_POOL_SHARE = 0.25;
/** Weight of a trainer in the tail of a step against the same before. */
const TAIL_WEIGHT_FACTOR = 2;

/** A slot that may be started, with its step. */
interface StartCandidate {
  readonly step: StepDemand;
  readonly slot: number;
  readonly reason: StartReason;
}

/** A trainer with the starts that it has been given so far. */
interface TrainerQueue {
  readonly steps: readonly StepDemand[];
  /** Slots in the order in which they are to be started. */
  readonly candidates: StartCandidate[];
  readonly weight: number;
  runningCount: number;
}

/** Plans starts for the free slots of the pool. */
export function planCurrent(view: RolloutView): SlotStart[] {
  const turns = groupByTrainer(view.steps).map(steps =>
    createQueue(steps, view),
  );
  const starts: SlotStart[] = [];
  while (starts.length < view.pool.freeSlots) {
    const turn = chooseQueue(turns);
    const next = turn?.candidates.shift();
    if (turn === undefined || next === undefined) break;
    turn.runningCount += 1;
    starts.push(createStart(next, view.pool));
  }
  return starts;
}

function groupByTrainer(steps: readonly StepDemand[]): StepDemand[][] {
  const groups = new Map<string, StepDemand[]>();
  for (const step of steps) {
    const [trainer] = step.stepName.split('/');
    groups.set(trainer, [...(groups.get(trainer) ?? []), step]);
  }
  return [...groups.values()];
}

function createQueue(
  steps: readonly StepDemand[],
  view: RolloutView,
): TrainerQueue {
  const {pool} = view;
  const weight = Math.max(MIN_TRAINER_WEIGHT, steps[0].idleWeight);
  const waiting = steps.flatMap((step, at) => {
    if (step.missing.length === 0) return listStragglers(step, view);
    return listMissingSlots(step, steps.slice(0, at), pool);
  });
  return {
    steps,
    candidates: waiting,
    weight: isInTail(steps[0], pool) ? weight * TAIL_WEIGHT_FACTOR : weight,
    runningCount: sumAll(steps.map(step => step.running.length)),
  };
}

function listMissingSlots(
  step: StepDemand,
  earlier: readonly StepDemand[],
  pool: PoolSupply,
): StartCandidate[] {
  return orderSlots(step.missing)
    .filter(item => !isStaleOnArrival(item, step, pool))
    .slice(0, countAllowedStarts(step, earlier))
    .map(({slot}) => ({step, slot, reason: 'missing'}));
}

/** A step of which every slot is started waits for its stragglers. */
function listStragglers(step: StepDemand, view: RolloutView): StartCandidate[] {
  return findStragglers(step, view).map(slot => ({
    step,
    slot,
    reason: 'straggler',
  }));
}

function isInTail(step: StepDemand, pool: PoolSupply): boolean {
  const open = step.missing.length + step.running.length;
  return open <= pool.slots * MAX_TAIL_POOL_SHARE;
}

/** Chooses the trainer that is furthest below its share. */
function chooseQueue(turns: readonly TrainerQueue[]): TrainerQueue | undefined {
  const open = turns.filter(turn => turn.candidates.length > 0);
  const loads = open.map(turn => turn.runningCount / turn.weight);
  return open[loads.indexOf(Math.min(...loads))];
}

function createStart(waiting: StartCandidate, pool: PoolSupply): SlotStart {
  const {step, slot, reason} = waiting;
  return {
    stepName: step.stepName,
    slot,
    reason,
    isTail: isInTail(step, pool),
  };
}

function sumAll(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
