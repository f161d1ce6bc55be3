/**
 * Decides the next order that an agent gives its engine to bring it to the
 * published weight version.
 *
 * Only the engine's own report is trusted for the version that it runs. An
 * agent sends orders only under a recently verified fencing number, and never
 * for a version older than the one that the engine runs: an agent that
 * resumes after a pause may hold outdated state and must not roll back the
 * engine.
 */

/** A number verified longer ago than this is verified before an order. */
export const MAX_FENCING_AGE_MS = 2_000;
/** Longest time for which an activation can be running. */
export const ACTIVATION_TIMEOUT_MS = 5_000;
/** Delay before a failed order is retried. */
export const ORDER_RETRY_DELAY_MS = 1_000;

/** The fencing number that an agent holds for its engine. */
export interface FencingState {
  /** 0 while the agent holds none. */
  readonly number: number;
  readonly gainedAtMs: number;
  /** When the number was last confirmed to be the newest. */
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

/** Input of the decision. Times are on the agent's monotonic clock. */
export interface SwapView {
  readonly nowMs: number;
  /** Version that the engine reports; undefined when it reports none. */
  readonly runningVersion: number | undefined;
  /** Version that this agent has staged at the engine; 0 for none. */
  readonly stagedVersion: number;
  /** Newest published version; 0 for none. */
  readonly publishedVersion: number;
  /** Version to stage ahead of its publication; 0 for none. */
  readonly announcedVersion: number;
  /** Earliest activation, staggered so that part of the pool keeps serving. */
  readonly activateAtMs: number;
  /** Earliest time of the next order after a failed one. */
  readonly retryAtMs: number;
  readonly fencing: FencingState;
  /** Whether the engine rejects orders with an outdated fencing number. */
  readonly checksFencing: boolean;
}

/** The agent's next action. */
export type SwapAction =
  | {readonly type: 'wait'}
  | {readonly type: 'gain-fencing'}
  | {readonly type: 'verify-fencing'}
  | {readonly type: 'stage'; readonly version: number}
  | {readonly type: 'activate'; readonly version: number};

const WAIT: SwapAction = {type: 'wait'};

/**
 * Returns the next action that brings the engine closer to the published or
 * announced version.
 */
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
 * Returns whether the engine may still be executing the last order of the
 * agent that held the previous fencing number. This is possible only if the
 * engine ignores fencing numbers. The holder of number 1 has no predecessor.
 */
function isPredecessorOrderPossible(view: SwapView): boolean {
  if (view.checksFencing || view.fencing.number === 1) return false;
  return view.nowMs < view.fencing.gainedAtMs + ACTIVATION_TIMEOUT_MS;
}

function needsFencingVerification(view: SwapView): boolean {
  return view.nowMs - view.fencing.verifiedAtMs > MAX_FENCING_AGE_MS;
}
