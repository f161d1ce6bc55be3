/**
 * The planned stop of an entry, whose callers may go on sending until its process
 * is gone: when it refuses further requests, and when it may exit. A request that
 * was passed on must be answered, so that the entry stops passing requests on
 * while there is time left for their answers.
 */

/** Time after the start of a drain in which the load balancer may still send
 * requests, in ms: two of its health checks. */
const DRAIN_MIN_MS = 2_200;
/** Time reserved at the end of the grace period, in ms. */
const DRAIN_RESERVE_MS = 500;
/** Time before that reserve from which requests are refused, in ms: most calls
 * are answered within it, and it leaves most of the grace period to serve. */
const DRAIN_ANSWER_MS = 3_000;

/** A server that stops in two stages. */
export interface DrainedServer {
  /** Returns the number of requests without a complete answer, including those
   * that are still being received. */
  countOpen(): number;
  /** Returns the number of those that were passed on. */
  countPassedOn(): number;
  /** Stops listening, and refuses requests that were not passed on yet. */
  refuseRequests(): void;
  /** Answers the requests that were passed on with an error that states an unknown
   * outcome. */
  abandonPassedOn(): void;
}

/** Progress of a drain. */
export interface DrainProgress {
  readonly elapsedMs: number;
  /** Time from the start of the drain until the process is killed, in ms. */
  readonly graceMs: number;
  /** Number of requests without a complete answer. */
  readonly open: number;
  /** Number of those that were passed on. */
  readonly passedOn: number;
  readonly isRefusing: boolean;
}

/** What a draining entry does next: serve, refuse further requests, exit, or give
 * up those that were passed on and exit. */
export type DrainDecision = 'serve' | 'refuse' | 'exit' | 'abandon';

/** Decides what a draining entry does next. */
export function decideDrain(progress: DrainProgress): DrainDecision {
  const {elapsedMs, graceMs, open, passedOn, isRefusing} = progress;
  const endMs = graceMs - DRAIN_RESERVE_MS;
  if (isRefusing && passedOn === 0) return 'exit';
  if (elapsedMs >= endMs) return passedOn === 0 ? 'exit' : 'abandon';
  if (isRefusing) return 'refuse';
  const refuseAtMs = Math.max(DRAIN_MIN_MS, endMs - DRAIN_ANSWER_MS);
  if (elapsedMs >= refuseAtMs) return 'refuse';
  return elapsedMs >= DRAIN_MIN_MS && open === 0 ? 'refuse' : 'serve';
}
