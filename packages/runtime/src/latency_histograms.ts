/** Latency histograms by name, in a form that other processes can merge. */
import {
  Histogram,
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
} from 'hdr-histogram-js';

/** Longest time that a histogram tells apart, in ms. */
export const HIGHEST_VALUE_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;

/** Percentiles of a latency in ms. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** Builds an empty histogram of times in ms. */
export function createHistogram(): Histogram {
  return build({
    highestTrackableValue: HIGHEST_VALUE_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });
}

/** Returns the percentiles of a histogram. */
export function summarizeHistogram(histogram: Histogram): LatencySummary {
  return {
    count: histogram.totalCount,
    p50: histogram.getValueAtPercentile(50),
    p90: histogram.getValueAtPercentile(90),
    p99: histogram.getValueAtPercentile(99),
    max: histogram.maxValue,
  };
}

/** Adds encoded histograms up. */
export function mergeHistograms(encoded: readonly string[]): LatencySummary {
  const sum = createHistogram();
  for (const text of encoded) sum.add(decodeFromCompressedBase64(text));
  return summarizeHistogram(sum);
}

/** Histograms of one process by name. */
export class LatencyHistograms {
  private readonly histograms = new Map<string, Histogram>();

  private constructor() {}

  /** Builds an empty set. */
  static create(): LatencyHistograms {
    return new LatencyHistograms();
  }

  /** Records a time in ms. */
  recordMs(name: string, valueMs: number): void {
    const histogram = this.histograms.get(name) ?? createHistogram();
    this.histograms.set(name, histogram);
    const rounded = Math.max(0, Math.round(valueMs));
    histogram.recordValue(Math.min(HIGHEST_VALUE_MS, rounded));
  }

  /** Returns every histogram, encoded, by name. */
  encodeAll(): Readonly<Record<string, string>> {
    return Object.fromEntries(
      [...this.histograms].map(([name, histogram]) => [
        name,
        encodeIntoCompressedBase64(histogram),
      ]),
    );
  }
}
