/**
 * The first landed policy: each step starts its slots in order, up to the
 * size of the pool, whatever else the pool does.
 */
import type {RolloutView, SlotStart, StepDemand} from './step_policy';

/** Plans starts in slot order. */
export function planFifo(view: RolloutView): SlotStart[] {
  return view.steps.flatMap(step => planStep(step, view.pool.slots));
}

function planStep(step: StepDemand, slots: number): SlotStart[] {
  const limit = Math.max(0, slots - step.running.length);
  const ordered = [...step.missing].sort((a, b) => a.slot - b.slot);
  return ordered.slice(0, limit).map(item => ({
    stepName: step.stepName,
    slot: item.slot,
    reason: 'missing',
    isTail: false,
  }));
}
