/**
 * Decides which runs are broken off to go on at a faster endpoint.
 *
 * Answers this load: a few endpoints turn several times slower while long items
 * run there. Reading a text again costs milliseconds, generating the rest of
 * it at a slow endpoint costs seconds.
 */
import {SLOWDOWN_PER_RUN} from './token_time_estimator';
import type {BatchEndpointView} from './start_plan';

/** Least time that a move must save, in ms: the way to the new endpoint, the
 * text read again, and the error of the forecast. */
const MIN_SAVING_MS = 250;
/** Least share of the time left that a move must save. */
const MIN_SAVING_SHARE = 0.3;

/** A run that may be moved. */
export interface MovableRun {
  readonly runId: string;
  readonly endpointId: string;
  readonly remainingTokens: number;
  /** Whether an endpoint may go on with it. */
  readonly canRunAt: (endpoint: BatchEndpointView) => boolean;
}

/** A run and the endpoint where it should go on. */
export interface PlannedMove {
  readonly run: MovableRun;
  readonly targetId: string;
}

/** Returns the runs to break off, those that gain most first. */
export function planMoves(
  runs: readonly MovableRun[],
  endpoints: readonly BatchEndpointView[],
): PlannedMove[] {
  const byId = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
  const free = new Map(
    endpoints
      .filter(endpoint => endpoint.isOpen)
      .map(endpoint => [endpoint.id, endpoint.slots - endpoint.runs]),
  );
  const ordered = [...runs].sort(
    (a, b) => b.remainingTokens - a.remainingTokens,
  );
  const moves: PlannedMove[] = [];
  for (const run of ordered) {
    const source = byId.get(run.endpointId);
    if (source === undefined) continue;
    const target = findFasterEndpoint(run, source, endpoints, free);
    if (target === undefined) continue;
    free.set(target.id, (free.get(target.id) ?? 0) - 1);
    moves.push({run, targetId: target.id});
  }
  return moves;
}

function findFasterEndpoint(
  run: MovableRun,
  source: BatchEndpointView,
  endpoints: readonly BatchEndpointView[],
  free: ReadonlyMap<string, number>,
): BatchEndpointView | undefined {
  const currentMs =
    run.remainingTokens * computeMsPerToken(source, source.runs - 1);
  let best: BatchEndpointView | undefined;
  let leastMs = currentMs;
  for (const endpoint of endpoints) {
    if (endpoint.id === source.id || (free.get(endpoint.id) ?? 0) <= 0) {
      continue;
    }
    if (!run.canRunAt(endpoint)) continue;
    const movedMs =
      run.remainingTokens * computeMsPerToken(endpoint, endpoint.runs);
    if (movedMs >= leastMs) continue;
    leastMs = movedMs;
    best = endpoint;
  }
  const savedMs = currentMs - leastMs;
  const isWorth =
    savedMs > MIN_SAVING_MS && savedMs > currentMs * MIN_SAVING_SHARE;
  return isWorth ? best : undefined;
}

function computeMsPerToken(
  endpoint: BatchEndpointView,
  others: number,
): number {
  return endpoint.msPerToken * (1 + SLOWDOWN_PER_RUN * Math.max(0, others));
}
