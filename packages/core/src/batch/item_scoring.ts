/**
 * Transitions of an item whose text is complete. Without a scoring call the item
 * is finished. Otherwise it waits for its score, holds no slot of an endpoint,
 * and is finished by a successful answer to its scoring call, or dead after a
 * number of answers that report a failure.
 */
import {JobResult, ScoringCall, createDeadResult} from './batch_types';
import type {ItemState} from './item_state';

/** Delay before a scoring call is repeated, in ms; doubles with each call that
 * had no usable answer, up to the maximum. */
const MIN_RETRY_DELAY_MS = 60;
const MAX_RETRY_DELAY_MS = 1_000;

/** What is known of the scoring calls of an item. */
export interface ItemScoring {
  /** Time at which the text was complete. */
  readonly completeSinceMs: number;
  /** Whether a call is in progress. */
  isCalled: boolean;
  /** Number of calls that ended without a score. */
  calls: number;
  /** Number of answers that reported a failure. */
  failures: number;
  /** Earliest time of the next call. */
  retryAtMs: number;
  /** Whether it was logged that the call has no route. */
  isReported: boolean;
}

/** Outcome of a scoring call. */
export interface ScoringOutcome {
  /** Score of the text; undefined when the call was not successful. */
  readonly score: string | undefined;
  /** Number of endpoints that answered with a failure of their own. */
  readonly failures: number;
  /** Number of failures after which the route allows no further call. */
  readonly maxFailures: number;
  /** Why there is no score, for the log. */
  readonly detail: string;
}

/** Records the complete text of an item: the item is finished if it needs no
 * score or has one, and waits for its score otherwise. */
export function settleItem(
  state: ItemState,
  result: JobResult,
  nowMs: number,
): void {
  state.run = undefined;
  state.result = result;
  const needsScore =
    result.state === 'completed' && state.item.scoringCall !== undefined;
  if (!needsScore || result.score !== undefined) {
    state.phase = 'finished';
    state.finishedAtMs = nowMs;
    state.scoring = undefined;
    return;
  }
  state.phase = 'scoring';
  state.scoring = {
    completeSinceMs: nowMs,
    isCalled: false,
    calls: 0,
    failures: 0,
    retryAtMs: nowMs,
    isReported: false,
  };
}

/**
 * Applies the outcome of a scoring call. Returns false when the item does not
 * wait for it any more. After `maxFailures` failures the item is dead.
 */
export function applyScoringOutcome(
  state: ItemState,
  outcome: ScoringOutcome,
  nowMs: number,
  maxFailures: number,
): boolean {
  const {scoring, result} = state;
  if (state.phase !== 'scoring' || !scoring?.isCalled || !result) return false;
  if (outcome.score !== undefined) {
    settleItem(state, {...result, score: outcome.score}, nowMs);
    return true;
  }
  scoring.isCalled = false;
  scoring.calls += 1;
  scoring.failures += outcome.failures;
  // A call that reached no endpoint says nothing about the item.
  if (outcome.failures > 0 && scoring.failures >= maxFailures) {
    settleItem(state, createDeadResult(state.item.id), nowMs);
    return true;
  }
  const delayMs = MIN_RETRY_DELAY_MS * 2 ** (scoring.calls - 1);
  scoring.retryAtMs = nowMs + Math.min(MAX_RETRY_DELAY_MS, delayMs);
  return true;
}

/**
 * Returns a completed result as an item with another scoring call can use it:
 * the score is kept only if it was obtained by the same call.
 */
export function adaptScore(
  result: JobResult,
  obtainedBy: ScoringCall | undefined,
  needed: ScoringCall | undefined,
): JobResult {
  const isSameCall =
    obtainedBy !== undefined &&
    needed !== undefined &&
    obtainedBy.id === needed.id &&
    obtainedBy.host === needed.host &&
    obtainedBy.path === needed.path &&
    obtainedBy.body === needed.body;
  return isSameCall ? result : {...result, score: undefined};
}
