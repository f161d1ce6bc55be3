/**
 * The policy in use: the pool's free slots go to the steps by weighted fair
 * share, predicted-long groups first, nothing that would be stale on arrival,
 * and what is left over to second copies of stragglers.
 */
import {orderSlots} from './slot_order';
import {isStaleOnArrival} from './staleness_forecast';
import {findStragglers} from './straggler_copies';
import type {
  MissingSlot,
  PoolSupply,
  RolloutView,
  SlotStart,
  StepDemand,
} from './step_policy';

/** Share of idle weight that every step has at least. */
const MIN_IDLE_WEIGHT = 0.1;
/** A step whose open slots fit this share of the pool is in its tail. */
const TAIL_SHARE = 0.25;
/** Weight of a step in its tail against the same step before. */
const TAIL_FACTOR = 2;

/** A step with the starts that it has been given so far. */
interface StepTurn {
  readonly step: StepDemand;
  readonly waiting: MissingSlot[];
  readonly weight: number;
  readonly isTail: boolean;
  running: number;
}

/** Plans starts for the free slots of the pool. */
export function planCurrent(view: RolloutView): SlotStart[] {
  const turns = view.steps.map(step => createTurn(step, view.pool));
  const starts: SlotStart[] = [];
  while (starts.length < view.pool.freeSlots) {
    const turn = chooseTurn(turns);
    const next = turn?.waiting.shift();
    if (turn === undefined || next === undefined) break;
    turn.running += 1;
    starts.push(createStart(turn, next.slot, 'missing'));
  }
  return [...starts, ...planCopies(view, turns, starts.length)];
}

function createTurn(step: StepDemand, pool: PoolSupply): StepTurn {
  const open = step.missing.length + step.running.length;
  const isTail = open <= pool.slots * TAIL_SHARE;
  const base = Math.max(MIN_IDLE_WEIGHT, step.idleWeight);
  const fresh = step.missing.filter(
    item => !isStaleOnArrival(item, step, pool),
  );
  return {
    step,
    waiting: orderSlots(fresh),
    weight: isTail ? base * TAIL_FACTOR : base,
    isTail,
    running: step.running.length,
  };
}

/** Chooses the step that is furthest below its share. */
function chooseTurn(turns: readonly StepTurn[]): StepTurn | undefined {
  const open = turns.filter(turn => turn.waiting.length > 0);
  const loads = open.map(turn => turn.running / turn.weight);
  return open[loads.indexOf(Math.min(...loads))];
}

/** Gives the slots that are left to second copies. */
function planCopies(
  view: RolloutView,
  turns: readonly StepTurn[],
  used: number,
): SlotStart[] {
  const left = Math.max(0, view.pool.freeSlots - used);
  const copies = turns
    .filter(turn => turn.waiting.length === 0)
    .sort((a, b) => b.weight - a.weight)
    .flatMap(turn =>
      findStragglers(turn.step, view).map(slot =>
        createStart(turn, slot, 'straggler'),
      ),
    );
  return copies.slice(0, left);
}

function createStart(
  turn: StepTurn,
  slot: number,
  reason: SlotStart['reason'],
): SlotStart {
  const {stepName} = turn.step;
  return {stepName, slot, reason, isTail: turn.isTail};
}
