/** Reports when the planner begins and ends to plan under scarcity. */
import type {BatchScheduler} from '@sassafrasspan/core';
import type {EventLog, Metrics} from '@sassafrasspan/runtime';

/** Logs a change that was not logged yet and sets its gauge. */
export function reportScarcity(
  scheduler: BatchScheduler,
  log: EventLog,
  metrics: Metrics,
): void {
  const change = scheduler.takeScarcityChange();
  if (change === undefined) return;
  const event = change.isShort ? 'scarcity-began' : 'scarcity-ended';
  log.writeEvent(event, {...change.inputs});
  metrics.setGauge('batch_scarcity', {}, Number(change.isShort));
}
