/**
 * Decides when a text begins again because no engine can continue it: none that
 * runs items has the software that began it, and weights as new as its own.
 *
 * Designed for this load: the engines of a service are replaced by ones of other
 * software while items run there, or the last engines of a version crash and are
 * back after seconds. A text waits for such an engine as long as it would take to
 * generate the text again, and then begins again elsewhere, so that it takes at
 * most twice the time of the better choice.
 */
import type {ItemState} from './item_state';
import {JobView, TYPICAL_MS_PER_TOKEN} from './start_plan';

/** Returns whether an item has waited in vain for an engine that can continue its
 * text. */
export function isOrphaned(
  job: JobView,
  item: ItemState,
  nowMs: number,
): boolean {
  const {phase, events} = item;
  const last = events.at(-1);
  if (phase !== 'waiting' || last === undefined) return false;
  if (job.available.length === 0) return false;
  const canContinue = job.available.some(
    ({software, weights}) =>
      software === last.software && weights >= last.version,
  );
  if (canContinue) return false;
  const tokens = events.length * job.tokensPerEvent;
  return nowMs - item.lastEventAtMs >= tokens * TYPICAL_MS_PER_TOKEN;
}
