/**
 * The policy in use. It assigns the pool's free slots to trainers by weighted
 * fair share, and within a trainer to the oldest step first. A step starts its
 * missing slots in order of predicted length, except those that would be stale
 * on arrival; once all are started, it starts second copies of its stragglers.
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

/** Minimum weight of a trainer, even if its idle weight is lower. */
const MIN_TRAINER_WEIGHT = 0.1;
/** A step is in its tail when its open slots fit this share of the pool. */
const MAX_TAIL_POOL_SHARE = 0.25;
/** Factor on a trainer's weight while its oldest step is in its tail. */
const TAIL_WEIGHT_FACTOR = 2;

/** A slot that may be started. */
interface StartCandidate {
  readonly step: StepDemand;
  readonly slot: number;
  readonly reason: StartReason;
}

/** A trainer's slots that may be started, and its share of the pool. */
interface TrainerQueue {
  readonly steps: readonly StepDemand[];
  /** In the order in which they are to be started. */
  readonly candidates: StartCandidate[];
  readonly weight: number;
  /** Running copies and the starts planned so far. */
  runningCount: number;
}

export function planCurrent(view: RolloutView): SlotStart[] {
  const queues = groupByTrainer(view.steps).map(steps =>
    createQueue(steps, view),
  );
  const starts: SlotStart[] = [];
  while (starts.length < view.pool.freeSlots) {
    const queue = chooseQueue(queues);
    const candidate = queue?.candidates.shift();
    if (queue === undefined || candidate === undefined) break;
    queue.runningCount += 1;
    starts.push(createStart(candidate, view.pool));
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
  const candidates = steps.flatMap((step, index) => {
    if (step.missing.length === 0) return listStragglers(step, view);
    return listMissingSlots(step, steps.slice(0, index), pool);
  });
  return {
    steps,
    candidates,
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
    .filter(missing => !isStaleOnArrival(missing, step, pool))
    .slice(0, countAllowedStarts(step, earlier))
    .map(({slot}) => ({step, slot, reason: 'missing'}));
}

/** Lists second copies, for a step of which every slot has been started. */
function listStragglers(step: StepDemand, view: RolloutView): StartCandidate[] {
  return findStragglers(step, view).map(slot => ({
    step,
    slot,
    reason: 'straggler',
  }));
}

function isInTail(step: StepDemand, pool: PoolSupply): boolean {
  const openSlots = step.missing.length + step.running.length;
  return openSlots <= pool.slots * MAX_TAIL_POOL_SHARE;
}

/** Chooses the queue of the trainer that is furthest below its share. */
function chooseQueue(
  queues: readonly TrainerQueue[],
): TrainerQueue | undefined {
  const nonEmpty = queues.filter(queue => queue.candidates.length > 0);
  const loads = nonEmpty.map(queue => queue.runningCount / queue.weight);
  return nonEmpty[loads.indexOf(Math.min(...loads))];
}

function createStart(candidate: StartCandidate, pool: PoolSupply): SlotStart {
  const {step, slot, reason} = candidate;
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
