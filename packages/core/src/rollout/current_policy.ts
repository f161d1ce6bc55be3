/**
 * The policy in use: the pool's free slots go to the trainers by weighted fair
 * share, and to the oldest step of each first: its missing slots in the order
 * of predicted length, none that would be stale on arrival, then second copies
 * of its stragglers.
 */
import {orderSlots} from './slot_order';
import {countAllowedAhead, isStaleOnArrival} from './staleness_forecast';
import type {
  PoolSupply,
  RolloutView,
  SlotStart,
  StartReason,
  StepDemand,
} from './step_policy';
import {findStragglers} from './straggler_copies';

/** Idle weight that every trainer counts with at least. */
const MIN_IDLE_WEIGHT = 0.1;
/** A step whose open slots fit this share of the pool is in its tail. */
const TAIL_SHARE = 0.25;
/** Weight of a trainer in the tail of a step against the same before. */
const TAIL_FACTOR = 2;

/** A slot that may be started, with its step. */
interface WaitingSlot {
  readonly step: StepDemand;
  readonly slot: number;
  readonly reason: StartReason;
}

/** A trainer with the starts that it has been given so far. */
interface TrainerTurn {
  readonly steps: readonly StepDemand[];
  /** Slots in the order in which they are to be started. */
  readonly waiting: WaitingSlot[];
  readonly weight: number;
  running: number;
}

/** Plans starts for the free slots of the pool. */
export function planCurrent(view: RolloutView): SlotStart[] {
  const turns = splitByTrainer(view.steps).map(steps =>
    createTurn(steps, view),
  );
  const starts: SlotStart[] = [];
  while (starts.length < view.pool.freeSlots) {
    const turn = chooseTurn(turns);
    const next = turn?.waiting.shift();
    if (turn === undefined || next === undefined) break;
    turn.running += 1;
    starts.push(createStart(next, view.pool));
  }
  return starts;
}

function splitByTrainer(steps: readonly StepDemand[]): StepDemand[][] {
  const groups = new Map<string, StepDemand[]>();
  for (const step of steps) {
    const [trainer] = step.stepName.split('/');
    groups.set(trainer, [...(groups.get(trainer) ?? []), step]);
  }
  return [...groups.values()];
}

function createTurn(
  steps: readonly StepDemand[],
  view: RolloutView,
): TrainerTurn {
  const {pool} = view;
  const weight = Math.max(MIN_IDLE_WEIGHT, steps[0].idleWeight);
  const waiting = steps.flatMap((step, at) => {
    if (step.missing.length === 0) return listCopies(step, view);
    return listMissing(step, steps.slice(0, at), pool);
  });
  return {
    steps,
    waiting,
    weight: isInTail(steps[0], pool) ? weight * TAIL_FACTOR : weight,
    running: sumAll(steps.map(step => step.running.length)),
  };
}

function listMissing(
  step: StepDemand,
  earlier: readonly StepDemand[],
  pool: PoolSupply,
): WaitingSlot[] {
  return orderSlots(step.missing)
    .filter(item => !isStaleOnArrival(item, step, pool))
    .slice(0, countAllowedAhead(step, earlier))
    .map(({slot}) => ({step, slot, reason: 'missing'}));
}

/** A step of which every slot is started waits for its stragglers. */
function listCopies(step: StepDemand, view: RolloutView): WaitingSlot[] {
  return findStragglers(step, view).map(slot => ({
    step,
    slot,
    reason: 'straggler',
  }));
}

function isInTail(step: StepDemand, pool: PoolSupply): boolean {
  const open = step.missing.length + step.running.length;
  return open <= pool.slots * TAIL_SHARE;
}

/** Chooses the trainer that is furthest below its share. */
function chooseTurn(turns: readonly TrainerTurn[]): TrainerTurn | undefined {
  const open = turns.filter(turn => turn.waiting.length > 0);
  const loads = open.map(turn => turn.running / turn.weight);
  return open[loads.indexOf(Math.min(...loads))];
}

function createStart(waiting: WaitingSlot, pool: PoolSupply): SlotStart {
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
