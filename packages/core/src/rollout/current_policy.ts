/**
 * The policy in use: the pool's free slots go to the trainers by weighted fair
 * share, to the oldest step of each first, predicted-long groups before
 * others, nothing that would be stale on arrival, and what is left over to
 * second copies of stragglers.
 */
import {orderSlots} from './slot_order';
import {countAllowedAhead, isStaleOnArrival} from './staleness_forecast';
import type {
  MissingSlot,
  PoolSupply,
  RolloutView,
  SlotStart,
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
  readonly slot: MissingSlot;
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
  const turns = groupByTrainer(view.steps).map(steps =>
    createTurn(steps, view.pool),
  );
  const starts: SlotStart[] = [];
  while (starts.length < view.pool.freeSlots) {
    const turn = chooseTurn(turns);
    const next = turn?.waiting.shift();
    if (turn === undefined || next === undefined) break;
    turn.running += 1;
    const {step, slot} = next;
    starts.push(createStart(step, slot.slot, 'missing', view.pool));
  }
  return [...starts, ...planCopies(view, starts.length)];
}

function groupByTrainer(steps: readonly StepDemand[]): StepDemand[][] {
  const groups = new Map<string, StepDemand[]>();
  for (const step of steps) {
    const [trainer] = step.stepName.split('/');
    groups.set(trainer, [...(groups.get(trainer) ?? []), step]);
  }
  return [...groups.values()];
}

function createTurn(
  steps: readonly StepDemand[],
  pool: PoolSupply,
): TrainerTurn {
  const weight = Math.max(MIN_IDLE_WEIGHT, steps[0].idleWeight);
  const waiting = steps.flatMap((step, at) =>
    orderSlots(step.missing)
      .filter(slot => !isStaleOnArrival(slot, step, pool))
      .slice(0, countAllowedAhead(step, steps.slice(0, at)))
      .map(slot => ({step, slot})),
  );
  return {
    steps,
    waiting,
    weight: isInTail(steps[0], pool) ? weight * TAIL_FACTOR : weight,
    running: sumAll(steps.map(step => step.running.length)),
  };
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

/** Gives the slots that are left to second copies. */
function planCopies(view: RolloutView, used: number): SlotStart[] {
  const left = Math.max(0, view.pool.freeSlots - used);
  const copies = view.steps
    .filter(step => step.missing.length === 0)
    .sort((a, b) => b.idleWeight - a.idleWeight)
    .flatMap(step =>
      findStragglers(step, view).map(slot =>
        createStart(step, slot, 'straggler', view.pool),
      ),
    );
  return copies.slice(0, left);
}

function createStart(
  step: StepDemand,
  slot: number,
  reason: SlotStart['reason'],
  pool: PoolSupply,
): SlotStart {
  const {stepName} = step;
  return {stepName, slot, reason, isTail: isInTail(step, pool)};
}

function sumAll(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
