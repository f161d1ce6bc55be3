/**
 * Forecast of the tokens that an item still generates. The trainer's estimate
 * is right at the median and often far off, so that a text that is longer than
 * its estimate goes on for a share of what there is. What an earlier job has
 * shown of the item goes before the estimate.
 */
import type {ItemState} from './job_state';

/** Tokens taken for an item without an estimate, as a share of its bound. */
const DEFAULT_LENGTH_SHARE = 0.2;
/** Least rest of a running text, as a share of its estimate or length. */
const MIN_REMAINING_SHARE = 0.3;
/** Length of a text that was left unfinished, against what there was. */
const UNFINISHED_FACTOR = 1.5;

/** Returns the tokens that an item is expected to still generate. */
export function predictRemainingTokens(
  state: ItemState,
  tokensPerEvent: number,
): number {
  const {expectedTokens, maxOutputTokens} = state.item;
  const made = state.events.length * tokensPerEvent;
  const known = state.observedLength;
  if (known?.isComplete) {
    return Math.max(1, known.events * tokensPerEvent - made);
  }
  const seen = (known?.events ?? 0) * tokensPerEvent * UNFINISHED_FACTOR;
  const expected = Math.max(
    expectedTokens ?? maxOutputTokens * DEFAULT_LENGTH_SHARE,
    seen,
  );
  const rest = Math.max(
    expected - made,
    MIN_REMAINING_SHARE * Math.max(made, expected),
  );
  return Math.max(1, Math.min(rest, maxOutputTokens - made));
}
