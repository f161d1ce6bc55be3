/**
 * The baseline policy: each step starts its slots in order, up to the size of
 * the pool, regardless of the pool's other work.
 */
import type {RolloutView, SlotStart, StepDemand} from './step_policy';

export function planFifo(view: RolloutView): SlotStart[] {
  return view.steps.flatMap(step => planStep(step, view.pool.slots));
}

function planStep(step: StepDemand, slots: number): SlotStart[] {
  const limit = Math.max(0, slots - step.running.length);
  const ordered = [...step.missing].sort((a, b) => a.slot - b.slot);
  return ordered.slice(0, limit).map(({slot}) => ({
    stepName: step.stepName,
    slot,
    reason: 'missing',
    isTail: false,
  }));
}
