/**
 * Predicts how many more tokens an item generates. The trainer's estimate is
 * right at the median but often far off, so a text that exceeds its estimate is
 * expected to grow by a share of its present length. The length of a complete
 * text from an earlier job replaces the estimate; that of an unfinished text can
 * only raise it.
 */
import type {ItemState} from './item_state';
import type {RunMemory} from './memory_forecast';

/** Assumed length of an item without an estimate, as a share of its limit. */
const DEFAULT_LENGTH_SHARE = 0.2;
/** Minimum number of remaining tokens, as a share of the larger of expected
 * and present length. */
const MIN_REMAINING_SHARE = 0.3;
/** Expected length of a text that an earlier job left unfinished, as a multiple
 * of the length it had reached. */
const UNFINISHED_FACTOR = 1.5;

/** Returns the number of tokens that an item is expected to generate from now
 * on; at least 1. */
export function predictRemainingTokens(
  state: ItemState,
  tokensPerEvent: number,
): number {
  const {expectedTokens, maxOutputTokens} = state.item;
  const generated = state.events.length * tokensPerEvent;
  const observed = state.observedLength;
  if (observed?.isComplete) {
    return Math.max(1, observed.events * tokensPerEvent - generated);
  }
  const extrapolated =
    (observed?.events ?? 0) * tokensPerEvent * UNFINISHED_FACTOR;
  const expected = Math.max(
    expectedTokens ?? maxOutputTokens * DEFAULT_LENGTH_SHARE,
    extrapolated,
  );
  const remaining = Math.max(
    expected - generated,
    MIN_REMAINING_SHARE * Math.max(generated, expected),
  );
  return Math.max(1, Math.min(remaining, maxOutputTokens - generated));
}

/** Returns the memory of a run of an item that continues its present text. */
export function predictMemory(
  state: ItemState,
  tokensPerEvent: number,
): RunMemory {
  const generated = state.events.length * tokensPerEvent;
  return {
    presentTokens: state.item.promptTokens + generated,
    remainingTokens: predictRemainingTokens(state, tokensPerEvent),
  };
}
