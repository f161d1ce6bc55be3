/**
 * Counters, gauges and histograms of a process, written as Prometheus text.
 */
import {Histogram, build} from 'hdr-histogram-js';

const PERCENTILES = [50, 90, 99, 99.9];
const HIGHEST_VALUE = 3_600_000;
const SIGNIFICANT_DIGITS = 2;

/** Labels of a series. */
export type Labels = Readonly<Record<string, string>>;

/** The metrics of one process. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly gauges = new Map<string, number>();
  private readonly histograms = new Map<string, Histogram>();

  private constructor() {}

  /** Builds an empty set. */
  static create(): Metrics {
    return new Metrics();
  }

  /** Adds to a counter. */
  addCount(name: string, labels: Labels = {}, by = 1): void {
    const key = formatSeries(name, labels);
    this.counters.set(key, (this.counters.get(key) ?? 0) + by);
  }

  /** Sets a gauge. */
  setGauge(name: string, labels: Labels, value: number): void {
    this.gauges.set(formatSeries(name, labels), value);
  }

  /** Records a duration in ms. */
  recordMs(name: string, labels: Labels, valueMs: number): void {
    const key = formatSeries(name, labels);
    let histogram = this.histograms.get(key);
    if (histogram === undefined) {
      histogram = build({
        highestTrackableValue: HIGHEST_VALUE,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
        useWebAssembly: false,
      });
      this.histograms.set(key, histogram);
    }
    histogram.recordValue(Math.min(HIGHEST_VALUE, Math.round(valueMs)));
  }

  /** Returns the value of a counter. */
  getCount(name: string, labels: Labels = {}): number {
    return this.counters.get(formatSeries(name, labels)) ?? 0;
  }

  /** Writes every series in Prometheus text format. */
  formatPrometheus(): string {
    const lines: string[] = [];
    for (const [series, value] of this.counters) {
      lines.push(`sassafrasspan_${series} ${value}`);
    }
    for (const [series, value] of this.gauges) {
      lines.push(`sassafrasspan_${series} ${value}`);
    }
    for (const [series, histogram] of this.histograms) {
      lines.push(...formatHistogram(series, histogram));
    }
    return `${lines.sort().join('\n')}\n`;
  }
}

function formatSeries(name: string, labels: Labels): string {
  const parts = Object.entries(labels).map(([key, value]) => {
    const escaped = value.replaceAll('\\', '\\\\').replaceAll('"', '\\"');
    return `${key}="${escaped}"`;
  });
  return parts.length === 0 ? name : `${name}{${parts.join(',')}}`;
}

function formatHistogram(series: string, histogram: Histogram): string[] {
  const brace = series.indexOf('{');
  const name = brace < 0 ? series : series.slice(0, brace);
  const labels = brace < 0 ? '' : `${series.slice(brace + 1, -1)},`;
  const suffix = brace < 0 ? '' : series.slice(brace);
  const lines = PERCENTILES.map(percentile => {
    const quantile = percentile / 100;
    const value = histogram.getValueAtPercentile(percentile);
    return `sassafrasspan_${name}{${labels}quantile="${quantile}"} ${value}`;
  });
  const count = `sassafrasspan_${name}_count${suffix} ${histogram.totalCount}`;
  return [...lines, count];
}
