/**
 * Estimate of how much load one endpoint, in one incarnation, takes well: base
 * time, knee, and present load and slowness, with age and confidence. Samples
 * are kept for long, so that noise averages out; a change of the base time is
 * detected by cumulative sums of residuals and discards what is older.
 */
import {
  KneeFit,
  KneeSums,
  NO_KNEE,
  KNEE_SHARES,
  addKneeSample,
  computeResidual,
  createKneeSums,
  computeKneeFit,
  scaleKneeSums,
} from './knee_fit';

/** Time in which the weight of a sample falls to 37%, in ms. */
const SAMPLE_LIFETIME_MS = 20_000;
/** The same for the mean load of an endpoint, in ms: short against changes of
 * the demand, long against the exchange between nodes. */
const LOAD_LIFETIME_MS = 3_000;
/** Time in which a reported slowness loses 63% of its meaning, in ms: periods
 * of about 90 ms were observed every 600 ms. */
const SLOWNESS_LIFETIME_MS = 150;
/** Residuals are cut to this many standard deviations; longer calls are part of
 * the tail of the work. */
const MAX_RESIDUAL = 2.5;
/** The same for shorter calls, which have no such tail. */
const MIN_RESIDUAL = -4;
/** Residual, in standard deviations, that is expected of noise. */
const CHANGE_DRIFT = 0.75;
/** Cumulative sum at which a change is detected: noise reaches it about once in
 * 40,000 samples, a change to four times the base time within 4. */
const CHANGE_THRESHOLD = 6;
/** Cumulative sum from which a further sample is worth more than usual; one of
 * 10 samples reaches it by noise. */
const SURPRISE = 0.5;
/** Samples that are needed to detect a change. */
const MIN_CHANGE_SAMPLES = 4;
/** Latest samples that are kept to start anew after a change. */
const RECENT_SAMPLES = 24;
/** Interval at which sums are discounted, in ms. */
const DISCOUNT_INTERVAL_MS = 250;
/** Weight of the assumption that an endpoint is not slowed down. */
const SLOWNESS_PRIOR = 3;

/** One call that was answered. */
export interface CapacitySample {
  readonly tookMs: number;
  /** Calls that ran or waited at the endpoint, with this one. */
  readonly concurrency: number;
  readonly slots: number;
  /** Reported slowness, 1 if work takes as long as usual; undefined if the
   * endpoint does not report it. */
  readonly slowness: number | undefined;
}

/** Transferable state of an estimate. */
export interface CapacityDigest {
  readonly id: string;
  readonly weight: number;
  readonly sums: readonly number[];
  readonly squares: readonly number[];
  readonly meanLoad: number;
  readonly meanSlowness: number;
  readonly slownessWeight: number;
  /** Time since the latest sample, in ms. */
  readonly ageMs: number;
}

interface RecentSample {
  readonly logTime: number;
  readonly concurrency: number;
  readonly slots: number;
}

export class EndpointEstimate {
  private sums: KneeSums = createKneeSums();
  private fit: KneeFit | undefined;
  private recent: RecentSample[] = [];
  private slowerSum = 0;
  private slowerCount = 0;
  private fasterSum = 0;
  private fasterCount = 0;
  private discountedAtMs = 0;
  private sampledAtMs = -Infinity;
  private meanLoad = 0;
  /** Mean load from this node's own calls at the times of its samples. */
  private ownLoad = 0;
  private loadAtMs = -Infinity;
  private reportedLoad = 0;
  private reportedAtMs = -Infinity;
  private meanSlowness = 1;
  private slownessWeight = 0;
  private reportedSlowness = 1;
  private slownessAtMs = -Infinity;

  private constructor() {}

  static create(): EndpointEstimate {
    return new EndpointEstimate();
  }

  /** Takes in an answered call; returns whether it shows a change of the base
   * time. `ownOutstanding` counts the other calls of this node. */
  learnSample(
    sample: CapacitySample,
    ownOutstanding: number,
    nowMs: number,
  ): boolean {
    this.scaleByAge(nowMs);
    this.learnLoad(sample.concurrency, ownOutstanding, nowMs);
    if (sample.slowness !== undefined) {
      this.learnSlowness(sample.slowness, nowMs);
    }
    const {concurrency, slots} = sample;
    const workMs = Math.max(0.1, sample.tookMs) / (sample.slowness ?? 1);
    const item = {logTime: Math.log(workMs), concurrency, slots};
    this.recent.push(item);
    if (this.recent.length > RECENT_SAMPLES) this.recent.shift();
    const isChange = this.detectChange(item);
    if (!isChange) addKneeSample(this.sums, item.logTime, concurrency, slots);
    this.fit = computeKneeFit(this.sums);
    this.sampledAtMs = nowMs;
    return isChange;
  }

  /** Takes in that a call has taken this long and has not ended; ignored if
   * that is no longer than expected. */
  learnSlowCall(tookMs: number, slots: number, nowMs: number): boolean {
    if (this.fit === undefined) return false;
    if (Math.log(tookMs) <= this.fit.logBase) return false;
    const concurrency = Math.max(1, this.meanLoad + 1);
    const sample = {tookMs, concurrency, slots, slowness: undefined};
    return this.learnSample(sample, 0, nowMs);
  }

  getWeight(): number {
    return this.sums.weight;
  }

  getFit(): KneeFit | undefined {
    return this.fit;
  }

  /** Returns whether the endpoint reports its slowness. */
  hasSlowness(): boolean {
    return this.slownessWeight > 0;
  }

  computeAgeMs(nowMs: number): number {
    return nowMs - this.sampledAtMs;
  }

  /** Returns the logarithm of the base time without any prior, lowered to that
   * of the latest samples if these suggest that the endpoint became faster. */
  computeHopefulLogBase(): number {
    const {fit, fasterCount} = this;
    if (fit === undefined) return 0;
    if (fasterCount === 0) return fit.logBase;
    const shift = this.fasterSum / fasterCount + CHANGE_DRIFT;
    return fit.logBase - shift * Math.sqrt(fit.variance);
  }

  /** Returns the expected slowness now. */
  computeSlowness(nowMs: number): number {
    if (this.slownessWeight === 0) return 1;
    const share = computeRemainingShare(
      nowMs - this.slownessAtMs,
      SLOWNESS_LIFETIME_MS,
    );
    return (
      this.meanSlowness + (this.reportedSlowness - this.meanSlowness) * share
    );
  }

  /** Returns the mean slowness. */
  getMeanSlowness(): number {
    return this.meanSlowness;
  }

  /**
   * Returns the calls of other nodes that are expected at the endpoint now. A
   * report loses its meaning as fast as the calls that it counts end.
   */
  computeOthersLoad(baseMs: number, nowMs: number): number {
    const mean = this.computeMeanOthersLoad(nowMs);
    const share = computeRemainingShare(nowMs - this.reportedAtMs, baseMs);
    return mean + (this.reportedLoad - mean) * share;
  }

  /** Returns the mean load of other nodes; it falls while no call ends. */
  computeMeanOthersLoad(nowMs: number): number {
    const mean = Math.max(0, this.meanLoad - this.ownLoad);
    return (
      mean * computeRemainingShare(nowMs - this.sampledAtMs, LOAD_LIFETIME_MS)
    );
  }

  /** Returns whether the latest samples suggest that the endpoint has become
   * faster. */
  isSurprisinglyFast(): boolean {
    return this.fasterSum > SURPRISE;
  }

  /** Discounts what is old; called by every sample and before each export. */
  scaleByAge(nowMs: number): void {
    const elapsedMs = nowMs - this.discountedAtMs;
    if (elapsedMs < DISCOUNT_INTERVAL_MS) return;
    this.discountedAtMs = nowMs;
    const factor = Math.exp(-elapsedMs / SAMPLE_LIFETIME_MS);
    scaleKneeSums(this.sums, factor);
    this.slownessWeight *= factor;
  }

  exportDigest(id: string, nowMs: number): CapacityDigest {
    this.scaleByAge(nowMs);
    return {
      id,
      weight: this.sums.weight,
      sums: [...this.sums.sums],
      squares: [...this.sums.squares],
      meanLoad: this.meanLoad,
      meanSlowness: this.meanSlowness,
      slownessWeight: this.slownessWeight,
      ageMs: Math.max(0, Math.round(nowMs - this.sampledAtMs)),
    };
  }

  /** Replaces the estimate by that of a node that has received the samples of
   * all nodes. */
  importDigest(digest: CapacityDigest, nowMs: number): void {
    this.discountedAtMs = nowMs;
    this.sums = {
      weight: digest.weight,
      sums: [...digest.sums],
      squares: [...digest.squares],
    };
    this.fit = computeKneeFit(this.sums);
    this.clearChange();
    this.sampledAtMs = nowMs - digest.ageMs;
    this.meanLoad = digest.meanLoad;
    this.loadAtMs = nowMs;
    if (digest.slownessWeight === 0) return;
    this.meanSlowness = digest.meanSlowness;
    this.slownessWeight = digest.slownessWeight;
  }

  private learnLoad(
    concurrency: number,
    ownOutstanding: number,
    nowMs: number,
  ): void {
    const others = Math.max(0, concurrency - 1);
    const elapsedMs = Math.min(1_000, nowMs - this.loadAtMs);
    const share = 1 - Math.exp(-elapsedMs / LOAD_LIFETIME_MS);
    this.meanLoad += share * (others - this.meanLoad);
    this.ownLoad += share * (ownOutstanding - this.ownLoad);
    this.loadAtMs = nowMs;
    this.reportedLoad = Math.max(0, others - ownOutstanding);
    this.reportedAtMs = nowMs;
  }

  private learnSlowness(slowness: number, nowMs: number): void {
    this.slownessWeight += 1;
    const share = 1 / (this.slownessWeight + SLOWNESS_PRIOR);
    this.meanSlowness += share * (slowness - this.meanSlowness);
    this.reportedSlowness = slowness;
    this.slownessAtMs = nowMs;
  }

  /** Advances the cumulative sums; on a change, starts anew from the samples
   * since it. */
  private detectChange(sample: RecentSample): boolean {
    const {fit, sums} = this;
    if (fit === undefined || sums.weight < MIN_CHANGE_SAMPLES) return false;
    const {logTime, concurrency, slots} = sample;
    const residual =
      computeResidual(sums, fit, logTime, concurrency, slots) /
      Math.sqrt(fit.variance);
    const cut = Math.max(MIN_RESIDUAL, Math.min(MAX_RESIDUAL, residual));
    this.slowerSum = Math.max(0, this.slowerSum + cut - CHANGE_DRIFT);
    this.slowerCount = this.slowerSum > 0 ? this.slowerCount + 1 : 0;
    this.fasterSum = Math.max(0, this.fasterSum - cut - CHANGE_DRIFT);
    this.fasterCount = this.fasterSum > 0 ? this.fasterCount + 1 : 0;
    const isSlower = this.slowerSum > CHANGE_THRESHOLD;
    const isFaster = this.fasterSum > CHANGE_THRESHOLD;
    if (!isSlower && !isFaster) return false;
    const count = isSlower ? this.slowerCount : this.fasterCount;
    this.sums = createKneeSums();
    for (const item of this.recent.slice(-count)) {
      addKneeSample(this.sums, item.logTime, item.concurrency, item.slots);
    }
    this.clearChange();
    return true;
  }

  private clearChange(): void {
    this.slowerSum = 0;
    this.slowerCount = 0;
    this.fasterSum = 0;
    this.fasterCount = 0;
  }
}

/** Returns the knee of a fit as a share of the slots; 1 if there is none. */
export function getKneeShare(fit: KneeFit | undefined): number {
  return KNEE_SHARES[fit?.knee ?? NO_KNEE];
}

/** Returns the remaining meaning of a report: a cheap approximation of an
 * exponential, since every decision needs it for every endpoint. */
function computeRemainingShare(ageMs: number, lifetimeMs: number): number {
  const half = 1 + Math.max(0, ageMs) / (2 * lifetimeMs);
  return 1 / (half * half);
}
