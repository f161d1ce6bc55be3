/**
 * Decides which runs are broken off to go on at a faster endpoint.
 *
 * Answers this load: a few endpoints turn several times slower while long items
 * run there. Reading a text again costs milliseconds, generating the rest of
 * it at a slow endpoint costs seconds.
 */
import {CROWDING_COST} from './pace_meter';
import type {RunnerView} from './start_plan';

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
  readonly canRunAt: (runner: RunnerView) => boolean;
}

/** A run and the endpoint where it should go on. */
export interface PlannedMove {
  readonly run: MovableRun;
  readonly targetId: string;
}

/** Returns the runs to break off, those that gain most first. */
export function planMoves(
  runs: readonly MovableRun[],
  runners: readonly RunnerView[],
): PlannedMove[] {
  const byId = new Map(runners.map(runner => [runner.id, runner]));
  const free = new Map(
    runners
      .filter(runner => runner.isOpen)
      .map(runner => [runner.id, runner.slots - runner.runs]),
  );
  const ordered = [...runs].sort(
    (a, b) => b.remainingTokens - a.remainingTokens,
  );
  const moves: PlannedMove[] = [];
  for (const run of ordered) {
    const source = byId.get(run.endpointId);
    if (source === undefined) continue;
    const target = findFaster(run, source, runners, free);
    if (target === undefined) continue;
    free.set(target.id, (free.get(target.id) ?? 0) - 1);
    moves.push({run, targetId: target.id});
  }
  return moves;
}

function findFaster(
  run: MovableRun,
  source: RunnerView,
  runners: readonly RunnerView[],
  free: ReadonlyMap<string, number>,
): RunnerView | undefined {
  const stayMs = run.remainingTokens * computePace(source, source.runs - 1);
  let best: RunnerView | undefined;
  let leastMs = stayMs;
  for (const runner of runners) {
    if (runner.id === source.id || (free.get(runner.id) ?? 0) <= 0) continue;
    if (!run.canRunAt(runner)) continue;
    const goMs = run.remainingTokens * computePace(runner, runner.runs);
    if (goMs >= leastMs) continue;
    leastMs = goMs;
    best = runner;
  }
  const savedMs = stayMs - leastMs;
  const isWorth =
    savedMs > MIN_SAVING_MS && savedMs > stayMs * MIN_SAVING_SHARE;
  return isWorth ? best : undefined;
}

function computePace(runner: RunnerView, others: number): number {
  return runner.msPerToken * (1 + CROWDING_COST * Math.max(0, others));
}
