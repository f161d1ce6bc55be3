/**
 * How many endpoints a service should have in one failure domain. Addresses load
 * that rises faster than endpoints start, and load that swings: a number that is
 * ordered too late costs calls, one that follows each swing costs starts.
 */

/** Time for which demand must have been lower before fewer endpoints are ordered,
 * in ms: several times the time that an endpoint usually takes to start. */
const LOWER_AFTER_MS = 30_000;
/** Shortest time over which the trend of demand is taken, in ms: shorter ones
 * follow noise. */
const MIN_TREND_MS = 4_000;
/** Share of the slots that expected demand may take; the rest is for bursts. */
const TARGET_SHARE = 0.8;

export interface ScalingBounds {
  /** Fewest and most endpoints of the service in the failure domain. */
  readonly min: number;
  readonly max: number;
  /** Time from an order until a new endpoint serves, in ms. */
  readonly bootMs: number;
}

export interface ScalingInput {
  readonly nowMs: number;
  /** Requests that run or wait, all in slots. */
  readonly demand: number;
  /** Slots of one endpoint. */
  readonly slots: number;
  /** Endpoints that stand, also those that are starting. */
  readonly standing: number;
}

interface Sample {
  readonly atMs: number;
  readonly demand: number;
  /** Endpoints that demand and its trend needed. */
  readonly needed: number;
}

export class ScalingPlan {
  private samples: Sample[] = [];
  private firstAtMs: number | undefined;

  private constructor(private readonly bounds: ScalingBounds) {}

  static create(bounds: ScalingBounds): ScalingPlan {
    return new ScalingPlan(bounds);
  }

  /** Returns the number of endpoints to have, from a sample of demand. */
  decide(input: ScalingInput): number {
    const {nowMs, demand, standing} = input;
    this.firstAtMs ??= nowMs;
    const keptMs = Math.max(LOWER_AFTER_MS, this.getTrendMs());
    this.samples = this.samples.filter(({atMs}) => atMs >= nowMs - keptMs);
    const needed = this.computeNeeded(input);
    this.samples.push({atMs: nowMs, demand, needed});
    const recent = this.samples.filter(
      ({atMs}) => atMs >= nowMs - LOWER_AFTER_MS,
    );
    const highest = Math.max(...recent.map(sample => sample.needed));
    // Demand from before the first sample is not known; what stands stays.
    const isKnown = nowMs - this.firstAtMs >= LOWER_AFTER_MS;
    return this.clamp(isKnown ? highest : Math.max(highest, standing));
  }

  private computeNeeded({nowMs, demand, slots}: ScalingInput): number {
    const trend = Math.max(0, this.computeTrend(nowMs, demand));
    const expected = demand + trend * this.bounds.bootMs;
    return this.clamp(Math.ceil(expected / (slots * TARGET_SHARE)));
  }

  /** Returns the slope of demand over the last time, in slots per ms. */
  private computeTrend(nowMs: number, demand: number): number {
    const trendMs = this.getTrendMs();
    const points = [
      ...this.samples.filter(({atMs}) => atMs >= nowMs - trendMs),
      {atMs: nowMs, demand},
    ];
    const spanMs = nowMs - points[0].atMs;
    if (spanMs < MIN_TREND_MS / 2) return 0;
    const meanAtMs = computeMean(points.map(({atMs}) => atMs));
    const meanDemand = computeMean(points.map(point => point.demand));
    let covariance = 0;
    let variance = 0;
    for (const point of points) {
      const distanceMs = point.atMs - meanAtMs;
      covariance += distanceMs * (point.demand - meanDemand);
      variance += distanceMs * distanceMs;
    }
    return variance === 0 ? 0 : covariance / variance;
  }

  private getTrendMs(): number {
    return Math.max(MIN_TREND_MS, this.bounds.bootMs);
  }

  private clamp(count: number): number {
    const {min, max} = this.bounds;
    return Math.min(max, Math.max(min, count));
  }
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
