/** Counts of one simulated run, and their summary. */

const BYTES_PER_TOKEN = 40;
const BASE_BYTES = 4_000;

/** Answers of one serving pool. */
export interface ServingStats {
  offered: number;
  inTime: number;
  refused: number;
  readonly latenciesMs: number[];
}

/** Counts of one trainer. */
export interface TrainerStats {
  idleMs: number;
  delivered: number;
  /** Samples dropped as stale, by step. */
  readonly droppedByStep: Map<number, number>;
  readonly staleness: number[];
}

/** All counts of a run. */
export class RunStats {
  retries = 0;
  prefixUses = 0;
  prefixHits = 0;
  costlyBytes = 0;
  readonly serving = new Map<string, ServingStats>();
  readonly trainers = new Map<string, TrainerStats>();

  private constructor() {}

  /** Builds counts at 0. */
  static create(): RunStats {
    return new RunStats();
  }

  /** Notes an answer over a costly link. */
  addCostlyBytes(tokens: number): void {
    this.costlyBytes += BASE_BYTES + tokens * BYTES_PER_TOKEN;
  }

  /** Returns the counts of a serving pool. */
  getServing(service: string): ServingStats {
    const known = this.serving.get(service);
    if (known !== undefined) return known;
    const fresh = {offered: 0, inTime: 0, refused: 0, latenciesMs: []};
    this.serving.set(service, fresh);
    return fresh;
  }

  /** Returns the counts of a trainer. */
  getTrainer(trainer: string): TrainerStats {
    const known = this.trainers.get(trainer);
    if (known !== undefined) return known;
    const fresh = {
      idleMs: 0,
      delivered: 0,
      droppedByStep: new Map<number, number>(),
      staleness: [],
    };
    this.trainers.set(trainer, fresh);
    return fresh;
  }
}

/** Returns the value at a share of the sorted values; 0 without values. */
export function computeQuantile(
  values: readonly number[],
  share: number,
): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, index)];
}

/** Returns the mean; 0 without values. */
export function computeMean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
