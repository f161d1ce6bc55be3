/** The order in which the slots of one step are started. */
import type {MissingSlot} from './step_policy';

/**
 * Orders slots by predicted length, longest first, so that no long answer
 * starts last. The slots of a group stay together, so that the engine's
 * prefix cache still holds their prompt.
 */
export function orderSlots(slots: readonly MissingSlot[]): MissingSlot[] {
  const longest = new Map<number, number>();
  for (const {group, expectedTokens} of slots) {
    longest.set(group, Math.max(longest.get(group) ?? 0, expectedTokens));
  }
  const rank = (item: MissingSlot) => longest.get(item.group) ?? 0;
  return [...slots].sort(
    (a, b) => rank(b) - rank(a) || a.group - b.group || a.slot - b.slot,
  );
}
