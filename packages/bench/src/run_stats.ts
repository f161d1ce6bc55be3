/** Counters of a simulated run, and statistics over their values. */

const BYTES_PER_TOKEN = 40;
const BASE_ANSWER_BYTES = 4_000;

/** Counters of the serving calls of one pool, after the warm-up. */
export interface ServingStats {
  /** Calls that were sent. */
  offered: number;
  /** Successful answers within the caller's time budget. */
  inTime: number;
  /** Calls that ended with an error of any kind. */
  refused: number;
  /** Latencies of successful answers. */
  readonly latenciesMs: number[];
}

/** Counters of one trainer, after the warm-up. */
export interface TrainerStats {
  /** Time for which the trainer waited for samples. */
  idleMs: number;
  /** Samples that the trainer pulled. */
  delivered: number;
  /** Samples dropped as stale, by step. */
  readonly droppedByStep: Map<number, number>;
  /** Age of each delivered sample, in weight versions. */
  readonly staleness: number[];
}

/** All counters of a run. */
export class RunStats {
  retries = 0;
  prefixUses = 0;
  prefixHits = 0;
  costlyBytes = 0;
  readonly serving = new Map<string, ServingStats>();
  readonly trainers = new Map<string, TrainerStats>();

  private constructor() {}

  static create(): RunStats {
    return new RunStats();
  }

  /** Adds the estimated size of an answer that crossed a costly link. */
  addCostlyBytes(tokens: number): void {
    this.costlyBytes += BASE_ANSWER_BYTES + tokens * BYTES_PER_TOKEN;
  }

  /** Returns the counters of a service's pool, created at first use. */
  getServing(service: string): ServingStats {
    const existing = this.serving.get(service);
    if (existing !== undefined) return existing;
    const stats = {offered: 0, inTime: 0, refused: 0, latenciesMs: []};
    this.serving.set(service, stats);
    return stats;
  }

  /** Returns the counters of a trainer, created at first use. */
  getTrainer(trainer: string): TrainerStats {
    const existing = this.trainers.get(trainer);
    if (existing !== undefined) return existing;
    const stats = {
      idleMs: 0,
      delivered: 0,
      droppedByStep: new Map<number, number>(),
      staleness: [],
    };
    this.trainers.set(trainer, stats);
    return stats;
  }
}

/** Returns the quantile at a share from 0 to 1; 0 without values. */
export function computeQuantile(
  values: readonly number[],
  share: number,
): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, index)];
}

/** Returns 0 without values. */
export function computeMean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
