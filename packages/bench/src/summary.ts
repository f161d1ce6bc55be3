/** Computes the figures of a run that the tables and bounds use. */
import type {Deployment} from './deployments';
import {RunStats, computeMean, computeQuantile} from './run_stats';

const BYTES_PER_MB = 1_000_000;

/** Figures of one run, or their means over several runs. */
export interface RunSummary {
  /** Share of the run for which trainers waited; mean over the trainers. */
  readonly idleShare: number;
  /** Age of the delivered samples, in weight versions. */
  readonly stalenessMean: number;
  readonly stalenessP99: number;
  /** Samples dropped as stale. */
  readonly dropped: number;
  readonly delivered: number;
  readonly engineP50Ms: number;
  readonly engineP99Ms: number;
  /** Share of the calls that ended with an error. */
  readonly engineRefused: number;
  readonly plainP50Ms: number;
  readonly plainP99Ms: number;
  /** Share of the calls that ended with an error. */
  readonly plainRefused: number;
  /** Successful answers per second within the caller's time budget. */
  readonly engineGoodput: number;
  readonly plainGoodput: number;
  /** Share of the prompts whose prefix was cached at the endpoint. */
  readonly prefixHits: number;
  /** Traffic over costly links, in MB. */
  readonly costlyMb: number;
  readonly retries: number;
}

/** Computes the figures of a run of `durationMs` after its warm-up. */
export function summarizeRun(
  stats: RunStats,
  deployment: Deployment,
  durationMs: number,
): RunSummary {
  const trainers = [...stats.trainers.values()];
  const staleness = trainers.flatMap(trainer => trainer.staleness);
  const engine = stats.getServing(deployment.enginePool.service);
  const plain = stats.getServing(deployment.plainPool.service);
  const seconds = durationMs / 1_000;
  const dropped = trainers.flatMap(item => [...item.droppedByStep.values()]);
  return {
    idleShare: computeMean(trainers.map(item => item.idleMs / durationMs)),
    stalenessMean: computeMean(staleness),
    stalenessP99: computeQuantile(staleness, 0.99),
    dropped: dropped.reduce((sum, count) => sum + count, 0),
    delivered: trainers.reduce((sum, item) => sum + item.delivered, 0),
    engineP50Ms: computeQuantile(engine.latenciesMs, 0.5),
    engineP99Ms: computeQuantile(engine.latenciesMs, 0.99),
    engineRefused: engine.refused / Math.max(1, engine.offered),
    plainP50Ms: computeQuantile(plain.latenciesMs, 0.5),
    plainP99Ms: computeQuantile(plain.latenciesMs, 0.99),
    plainRefused: plain.refused / Math.max(1, plain.offered),
    engineGoodput: engine.inTime / seconds,
    plainGoodput: plain.inTime / seconds,
    prefixHits: stats.prefixHits / Math.max(1, stats.prefixUses),
    costlyMb: stats.costlyBytes / BYTES_PER_MB,
    retries: stats.retries,
  };
}

/** Returns the mean of each figure; needs at least one summary. */
export function computeMeanSummary(
  summaries: readonly RunSummary[],
): RunSummary {
  const mean: Record<keyof RunSummary, number> = {...summaries[0]};
  for (const key of Object.keys(mean) as (keyof RunSummary)[]) {
    mean[key] = computeMean(summaries.map(summary => summary[key]));
  }
  return mean;
}
