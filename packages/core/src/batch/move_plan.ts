/**
 * Decides which runs are stopped and continued at a faster endpoint.
 *
 * Designed for this load: a few endpoints become several times slower while long
 * items run there. Processing the existing text again at another endpoint costs
 * milliseconds; generating the remaining text at a slow endpoint costs seconds.
 */
import {SLOWDOWN_PER_RUN} from './token_time_estimator';
import type {BatchEndpointView} from './start_plan';

/** Minimum time that a move must save, in ms. It covers the latency of the move,
 * processing the existing text again, and the error of the prediction. */
const MIN_SAVING_MS = 250;
/** Minimum share of the remaining time that a move must save. */
const MIN_SAVING_SHARE = 0.3;

/** A run that may be moved. */
export interface MovableRun {
  readonly runId: string;
  readonly endpointId: string;
  readonly remainingTokens: number;
  /** Returns whether an endpoint may continue the run. */
  readonly canRunAt: (endpoint: BatchEndpointView) => boolean;
}

/** A run and the endpoint that should continue it. */
export interface PlannedMove {
  readonly run: MovableRun;
  readonly targetId: string;
}

/** Returns the runs to move. Runs with the most remaining tokens choose their
 * endpoint first. */
export function planMoves(
  runs: readonly MovableRun[],
  endpoints: readonly BatchEndpointView[],
): PlannedMove[] {
  const byId = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
  const freeSlots = new Map(
    endpoints
      .filter(endpoint => endpoint.isOpen)
      .map(endpoint => [
        endpoint.id,
        Math.min(endpoint.slots - endpoint.runs, endpoint.startsLeft),
      ]),
  );
  const ordered = [...runs].sort(
    (a, b) => b.remainingTokens - a.remainingTokens,
  );
  const moves: PlannedMove[] = [];
  for (const run of ordered) {
    const source = byId.get(run.endpointId);
    if (source === undefined) continue;
    const target = findFasterEndpoint(run, source, endpoints, freeSlots);
    if (target === undefined) continue;
    freeSlots.set(target.id, (freeSlots.get(target.id) ?? 0) - 1);
    moves.push({run, targetId: target.id});
  }
  return moves;
}

function findFasterEndpoint(
  run: MovableRun,
  source: BatchEndpointView,
  endpoints: readonly BatchEndpointView[],
  freeSlots: ReadonlyMap<string, number>,
): BatchEndpointView | undefined {
  const currentMs =
    run.remainingTokens * computeMsPerToken(source, source.runs - 1);
  let best: BatchEndpointView | undefined;
  let bestMs = currentMs;
  for (const endpoint of endpoints) {
    if (endpoint.id === source.id || (freeSlots.get(endpoint.id) ?? 0) <= 0) {
      continue;
    }
    if (!run.canRunAt(endpoint)) continue;
    const movedMs =
      run.remainingTokens * computeMsPerToken(endpoint, endpoint.runs);
    if (movedMs >= bestMs) continue;
    bestMs = movedMs;
    best = endpoint;
  }
  const savedMs = currentMs - bestMs;
  const isWorthwhile =
    savedMs > MIN_SAVING_MS && savedMs > currentMs * MIN_SAVING_SHARE;
  return isWorthwhile ? best : undefined;
}

function computeMsPerToken(
  endpoint: BatchEndpointView,
  concurrentRuns: number,
): number {
  return (
    endpoint.msPerToken * (1 + SLOWDOWN_PER_RUN * Math.max(0, concurrentRuns))
  );
}
