/**
 * Counters, gauges and histograms of a process, exported as Prometheus text.
 * Histograms are exported as summaries with quantiles, sum and count.
 */
import type {Histogram} from 'hdr-histogram-js';
import {HIGHEST_VALUE_MS, createHistogram} from './latency_histograms';
import {METRIC_HELP} from './metric_table';

const PREFIX = 'sassafrasspan_';
/** Percentiles of a summary by their `quantile` label. */
const QUANTILES: Readonly<Record<string, number>> = {
  '0.5': 50,
  '0.9': 90,
  '0.99': 99,
  '0.999': 99.9,
};

/** Labels that identify a series within its family. */
export type Labels = Readonly<Record<string, string>>;

/** A counter or gauge with one set of labels. */
interface NumberSeries {
  readonly labels: Labels;
  value: number;
}

/** A histogram with one set of labels. */
interface HistogramSeries {
  readonly labels: Labels;
  readonly histogram: Histogram;
  /** Sum of the recorded times in ms. */
  sum: number;
}

/** All series of one metric, by their formatted labels. */
type Family<T> = Map<string, T>;

/** The metrics of one process. */
export class Metrics {
  private readonly counters = new Map<string, Family<NumberSeries>>();
  private readonly gauges = new Map<string, Family<NumberSeries>>();
  private readonly histograms = new Map<string, Family<HistogramSeries>>();

  private constructor() {}

  static create(): Metrics {
    return new Metrics();
  }

  /** Increases a counter, which starts at 0. */
  addCount(name: string, labels: Labels = {}, by = 1): void {
    findOrCreateSeries(this.counters, name, labels, createNumber).value += by;
  }

  setGauge(name: string, labels: Labels, value: number): void {
    findOrCreateSeries(this.gauges, name, labels, createNumber).value = value;
  }

  /** Records a duration, rounded to ms, in a histogram. */
  recordMs(name: string, labels: Labels, valueMs: number): void {
    const series = findOrCreateSeries(
      this.histograms,
      name,
      labels,
      createSummary,
    );
    const rounded = Math.max(0, Math.round(valueMs));
    series.histogram.recordValue(Math.min(HIGHEST_VALUE_MS, rounded));
    series.sum += rounded;
  }

  /** Returns the value of a counter; 0 if it was never increased. */
  getCount(name: string, labels: Labels = {}): number {
    return this.counters.get(name)?.get(formatLabels(labels))?.value ?? 0;
  }

  /** Formats every series in the Prometheus text format. */
  formatPrometheus(): string {
    const families = [
      ...formatFamilies(this.counters, 'counter', formatNumber),
      ...formatFamilies(this.gauges, 'gauge', formatNumber),
      ...formatFamilies(this.histograms, 'summary', formatSummary),
    ];
    return families.sort().join('');
  }
}

function findOrCreateSeries<T>(
  families: Map<string, Family<T>>,
  name: string,
  labels: Labels,
  create: (labels: Labels) => T,
): T {
  const family = families.get(name) ?? new Map<string, T>();
  families.set(name, family);
  const key = formatLabels(labels);
  const series = family.get(key) ?? create(labels);
  family.set(key, series);
  return series;
}

function createNumber(labels: Labels): NumberSeries {
  return {labels, value: 0};
}

function createSummary(labels: Labels): HistogramSeries {
  return {labels, histogram: createHistogram(), sum: 0};
}

/** Returns one text for each family, with its help and type lines. */
function formatFamilies<T>(
  families: ReadonlyMap<string, Family<T>>,
  type: string,
  formatSeries: (name: string, series: T) => string[],
): string[] {
  return [...families].map(([name, family]) => {
    const fullName = PREFIX + name;
    const help = METRIC_HELP[name] ?? name.replaceAll('_', ' ');
    const lines = [...family.values()].flatMap(series =>
      formatSeries(fullName, series),
    );
    const header = [`# HELP ${fullName} ${help}`, `# TYPE ${fullName} ${type}`];
    return [...header, ...lines.sort(), ''].join('\n');
  });
}

function formatNumber(name: string, series: NumberSeries): string[] {
  return [`${name}${formatLabels(series.labels)} ${series.value}`];
}

function formatSummary(name: string, series: HistogramSeries): string[] {
  const {labels, histogram, sum} = series;
  const quantiles = Object.entries(QUANTILES).map(([quantile, percentile]) => {
    const value = histogram.getValueAtPercentile(percentile);
    return `${name}${formatLabels({...labels, quantile})} ${value}`;
  });
  const suffix = formatLabels(labels);
  return [
    ...quantiles,
    `${name}_sum${suffix} ${sum}`,
    `${name}_count${suffix} ${histogram.totalCount}`,
  ];
}

function formatLabels(labels: Labels): string {
  const parts = Object.entries(labels).map(
    ([key, value]) => `${key}="${escapeLabel(value)}"`,
  );
  return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}

function escapeLabel(value: string): string {
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}
