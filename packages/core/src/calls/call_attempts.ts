/**
 * Decides what follows the end of each attempt of a routed call: a retry at
 * another endpoint, a wait for a hedge, or the final answer. A call that may
 * not be repeated is sent again only if it certainly did not run. The outcome
 * `not-run` is reported only if no attempt can have run.
 */
import {ErrorKind, ServiceError, createError} from '../errors/error_kinds';

/** Number of endpoints that may reject a call before it fails. */
const MAX_REJECTIONS = 4;
/** Minimum remaining time to start another attempt, in ms. */
const MIN_RETRY_REMAINING_MS = 15;

/** How one attempt ended. */
export type AttemptEnd =
  /** The endpoint answered completely. */
  | {readonly type: 'answered'; readonly status: number}
  /** The call certainly did not run. */
  | {readonly type: 'not-run'; readonly isFull: boolean}
  /**
   * The call may have run but has no complete answer; `hadBytes` is whether
   * part of an answer arrived.
   */
  | {readonly type: 'lost'; readonly hadBytes: boolean};

/** State of a call after an attempt has ended. */
export interface CallProgress {
  readonly mayRepeat: boolean;
  readonly maxAttempts: number;
  /** Attempts that ran or may have run. */
  readonly runs: number;
  /** Attempts that were rejected without running. */
  readonly rejections: number;
  /** Attempts in progress. */
  readonly active: number;
  readonly remainingMs: number;
  /** Whether there is an endpoint that has not been tried. */
  readonly hasOtherEndpoint: boolean;
}

/** The next step; `wait` leaves the decision to an attempt in progress. */
export type CallStep =
  | {readonly type: 'answer'}
  | {readonly type: 'retry'}
  | {readonly type: 'wait'}
  | {readonly type: 'fail'; readonly error: ServiceError};

const ANSWER: CallStep = {type: 'answer'};
const RETRY: CallStep = {type: 'retry'};
const WAIT: CallStep = {type: 'wait'};

/** Returns the next step; `progress` already includes the ended attempt. */
export function decideAfterAttempt(
  end: AttemptEnd,
  progress: CallProgress,
): CallStep {
  if (end.type === 'answered' && !isRetryableStatus(end.status, progress)) {
    return ANSWER;
  }
  if (canRetry(end, progress)) return RETRY;
  if (progress.active > 0) return WAIT;
  if (end.type === 'answered') return ANSWER;
  return {type: 'fail', error: createFailure(end, progress)};
}

/** Server errors are retried if the call may be repeated or an attempt is
 * still in progress. */
function isRetryableStatus(status: number, progress: CallProgress): boolean {
  return status >= 500 && (canRepeat(progress) || progress.active > 0);
}

function canRepeat(progress: CallProgress): boolean {
  return (
    progress.mayRepeat &&
    progress.hasOtherEndpoint &&
    progress.runs < progress.maxAttempts &&
    progress.remainingMs > MIN_RETRY_REMAINING_MS
  );
}

function canRetry(end: AttemptEnd, progress: CallProgress): boolean {
  if (
    progress.remainingMs <= MIN_RETRY_REMAINING_MS ||
    !progress.hasOtherEndpoint
  ) {
    return false;
  }
  if (progress.runs >= progress.maxAttempts) return false;
  if (end.type !== 'not-run') return canRepeat(progress);
  const maySendAgain = progress.runs === 0 || progress.mayRepeat;
  return maySendAgain && progress.rejections < MAX_REJECTIONS;
}

function createFailure(end: AttemptEnd, progress: CallProgress): ServiceError {
  if (progress.runs > 0) {
    const kind: ErrorKind =
      end.type === 'lost' && end.hadBytes
        ? 'answer-incomplete'
        : 'endpoint-failed';
    return createError(
      kind,
      `${progress.runs} attempts, none answered completely`,
    );
  }
  const isFull = end.type === 'not-run' && end.isFull;
  const kind: ErrorKind = isFull ? 'overloaded' : 'endpoint-refused';
  return createError(
    kind,
    `${progress.rejections} endpoints rejected the call`,
  );
}

/** Delay before a hedge as a multiple of the service's mean latency. */
const HEDGE_FACTOR = 3;
/** Minimum delay before a hedge, in ms. */
const MIN_HEDGE_MS = 90;
/** Maximum delay before a hedge, as a share of the target latency. */
const MAX_HEDGE_SHARE = 0.45;

/**
 * Returns the delay in ms after which a hedge (a second, concurrent attempt)
 * starts if the first has not answered; undefined if the call may not be sent
 * twice.
 */
export function computeHedgeDelay(
  mayRepeat: boolean,
  maxAttempts: number,
  meanLatencyMs: number,
  targetLatencyMs: number,
): number | undefined {
  if (!mayRepeat || maxAttempts < 2) return undefined;
  const delayMs = Math.max(MIN_HEDGE_MS, meanLatencyMs * HEDGE_FACTOR);
  return Math.min(delayMs, targetLatencyMs * MAX_HEDGE_SHARE);
}
