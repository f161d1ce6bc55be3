/**
 * Decides the next order that an agent gives its engine to bring it to the
 * published weight version.
 *
 * The engine's own word is the only truth about the version that it runs. An
 * agent orders only under a fencing number that it has verified lately, and
 * never orders a version older than the one that the engine runs: a holder
 * that wakes from a pause may be behind, and must do no harm.
 */

/** A fencing number older than this is verified before the next order. */
export const MAX_FENCING_AGE_MS = 2_000;
/** Longest time for which an activation can be under way, in ms. */
export const ACTIVATION_TIMEOUT_MS = 5_000;
/** Time before a failed order is tried again, in ms. */
export const ORDER_RETRY_DELAY_MS = 1_000;

/** The fencing number that an agent holds for its engine. */
export interface FencingState {
  /** 0 while the agent holds none. */
  readonly number: number;
  readonly gainedAtMs: number;
  /** When the number was last seen to be the newest. */
  readonly verifiedAtMs: number;
  /** Whether another agent has gained a newer number. */
  readonly isLost: boolean;
}

/** State of an agent that holds no fencing number. */
export const NO_FENCING_NUMBER: FencingState = {
  number: 0,
  gainedAtMs: 0,
  verifiedAtMs: 0,
  isLost: false,
};

/** What the decision looks at. Times are on the agent's monotonic clock. */
export interface SwapView {
  readonly nowMs: number;
  /** Version that the engine says it runs; undefined when it cannot tell. */
  readonly runningVersion: number | undefined;
  /** Version that this agent has staged at the engine; 0 for none. */
  readonly stagedVersion: number;
  /** Newest published version; 0 for none. */
  readonly publishedVersion: number;
  /** Version announced for staging ahead; 0 for none. */
  readonly announcedVersion: number;
  /** When the engine may be activated, so that a part of the pool serves. */
  readonly activateAtMs: number;
  /** No order before this time, after a failure. */
  readonly retryAtMs: number;
  readonly fencing: FencingState;
  /** Whether the engine refuses orders with an old fencing number. */
  readonly checksFencing: boolean;
}

/** What the agent does next. */
export type SwapAction =
  | {readonly type: 'wait'}
  | {readonly type: 'gain-fencing'}
  | {readonly type: 'verify-fencing'}
  | {readonly type: 'stage'; readonly version: number}
  | {readonly type: 'activate'; readonly version: number};

const WAIT: SwapAction = {type: 'wait'};

/** Returns the next action towards the published version. */
export function decideSwap(view: SwapView): SwapAction {
  if (view.fencing.isLost || view.nowMs < view.retryAtMs) return WAIT;
  const order = findNextOrder(view);
  if (order.type === 'wait') return WAIT;
  if (view.fencing.number === 0) return {type: 'gain-fencing'};
  if (isPredecessorOrderPossible(view)) return WAIT;
  if (needsFencingVerification(view)) return {type: 'verify-fencing'};
  return order;
}

function findNextOrder(view: SwapView): SwapAction {
  const running = view.runningVersion ?? -1;
  if (view.publishedVersion > running) {
    if (view.stagedVersion !== view.publishedVersion) {
      return {type: 'stage', version: view.publishedVersion};
    }
    if (view.nowMs < view.activateAtMs) return WAIT;
    return {type: 'activate', version: view.publishedVersion};
  }
  const isAhead = view.announcedVersion > Math.max(running, view.stagedVersion);
  if (isAhead) return {type: 'stage', version: view.announcedVersion};
  return WAIT;
}

/**
 * An engine that ignores fencing numbers may still carry out the last order
 * of an earlier holder; a first holder has no predecessor.
 */
function isPredecessorOrderPossible(view: SwapView): boolean {
  if (view.checksFencing || view.fencing.number === 1) return false;
  return view.nowMs < view.fencing.gainedAtMs + ACTIVATION_TIMEOUT_MS;
}

function needsFencingVerification(view: SwapView): boolean {
  return view.nowMs - view.fencing.verifiedAtMs > MAX_FENCING_AGE_MS;
}
