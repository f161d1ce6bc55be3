/**
 * Decides what follows each event of one routed call: a first attempt, a
 * hedge, a retry elsewhere, or a final answer. A call that may not be repeated
 * is sent again only after an endpoint has said that it did not run; a refusal
 * is stated only when no attempt can have run.
 */
import {ErrorKind, ServiceError, createError} from '../errors/error_kinds';

/** Endpoints that may turn a call away before it is refused. */
const MAX_REJECTIONS = 4;
/** Least time left for another attempt, in ms. */
const MIN_RETRY_REMAINING_MS = 15;

/** How one attempt ended. */
export type AttemptEnd =
  /** A whole answer of the endpoint. */
  | {readonly type: 'answered'; readonly status: number}
  /** The endpoint said, or it is certain, that the call did not run. */
  | {readonly type: 'not-run'; readonly isFull: boolean}
  /** The call may have run and has no whole answer. */
  | {readonly type: 'lost'; readonly hadBytes: boolean};

/** What is known of a call when an attempt has ended. */
export interface CallProgress {
  readonly mayRepeat: boolean;
  readonly maxAttempts: number;
  /** Attempts that ran or may have run. */
  readonly runs: number;
  /** Attempts that were turned away. */
  readonly rejections: number;
  /** Attempts under way. */
  readonly active: number;
  readonly remainingMs: number;
  /** Whether another endpoint is left to try. */
  readonly hasOtherEndpoint: boolean;
}

/** What follows. */
export type CallStep =
  | {readonly type: 'answer'}
  | {readonly type: 'retry'}
  | {readonly type: 'wait'}
  | {readonly type: 'fail'; readonly error: ServiceError};

const ANSWER: CallStep = {type: 'answer'};
const RETRY: CallStep = {type: 'retry'};
const WAIT: CallStep = {type: 'wait'};

/** Returns what follows the end of an attempt, counted in the progress. */
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

/** A failure stated by the endpoint is retried only where that is allowed. */
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
    return createError(kind, `${progress.runs} attempts, none answered whole`);
  }
  const isFull = end.type === 'not-run' && end.isFull;
  const kind: ErrorKind = isFull ? 'overloaded' : 'endpoint-refused';
  return createError(kind, `${progress.rejections} endpoints turned it away`);
}

/** Hedges wait this many times the mean latency of the service. */
const HEDGE_FACTOR = 3;
/** Bounds of the wait before a hedge, in ms. */
const MIN_HEDGE_MS = 90;
const MAX_HEDGE_SHARE = 0.45;

/**
 * Returns the time after which a second attempt starts beside a silent first
 * one, in ms; undefined when the call may not be sent twice.
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
