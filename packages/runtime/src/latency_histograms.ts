/** Latency histograms that can be encoded and merged by other processes. */
import {
  Histogram,
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
} from 'hdr-histogram-js';

/** Largest recordable time; longer ones are recorded as this value. */
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

/** Creates a histogram of times in ms, up to `HIGHEST_VALUE_MS`. */
export function createHistogram(): Histogram {
  return build({
    highestTrackableValue: HIGHEST_VALUE_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });
}

/** Returns the count, percentiles and maximum; all 0 when it is empty. */
export function summarizeHistogram(histogram: Histogram): LatencySummary {
  return {
    count: histogram.totalCount,
    p50: histogram.getValueAtPercentile(50),
    p90: histogram.getValueAtPercentile(90),
    p99: histogram.getValueAtPercentile(99),
    max: histogram.maxValue,
  };
}

/** Sums histograms that `encodeAll` encoded, and summarizes the result. */
export function mergeHistograms(encoded: readonly string[]): LatencySummary {
  const merged = createHistogram();
  for (const text of encoded) merged.add(decodeFromCompressedBase64(text));
  return summarizeHistogram(merged);
}

/** Histograms of one process by name. */
export class LatencyHistograms {
  private readonly histograms = new Map<string, Histogram>();

  private constructor() {}

  static create(): LatencyHistograms {
    return new LatencyHistograms();
  }

  /** Records a time, rounded to ms; creates the histogram on first use. */
  recordMs(name: string, valueMs: number): void {
    const histogram = this.histograms.get(name) ?? createHistogram();
    this.histograms.set(name, histogram);
    const rounded = Math.max(0, Math.round(valueMs));
    histogram.recordValue(Math.min(HIGHEST_VALUE_MS, rounded));
  }

  /** Returns every histogram by name, as compressed base64. */
  encodeAll(): Readonly<Record<string, string>> {
    return Object.fromEntries(
      [...this.histograms].map(([name, histogram]) => [
        name,
        encodeIntoCompressedBase64(histogram),
      ]),
    );
  }
}
