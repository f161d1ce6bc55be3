/** The order in which the slots of one step are started. */
import type {MissingSlot} from './step_policy';

/**
 * Orders slots by predicted length, longest first, so that no long answer
 * starts last. The slots of a group stay together, so that their prompt is
 * still in the engine's prefix cache.
 */
export function orderSlots(slots: readonly MissingSlot[]): MissingSlot[] {
  const groupTokens = new Map<number, number>();
  for (const {group, expectedTokens} of slots) {
    const longest = groupTokens.get(group) ?? 0;
    groupTokens.set(group, Math.max(longest, expectedTokens));
  }
  const rank = (slot: MissingSlot) => groupTokens.get(slot.group) ?? 0;
  return [...slots].sort(
    (a, b) => rank(b) - rank(a) || a.group - b.group || a.slot - b.slot,
  );
}
