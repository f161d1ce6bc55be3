/** The burn report as plain text. */
import type {BurnReport, PromiseBurn, WindowBurn} from './burn_report';
import {formatTable} from './text_table';

const LATENCY_HEADER = [
  'calls',
  'count',
  'p50 ms',
  'p90 ms',
  'p99 ms',
  'max ms',
];

/** Writes a report for a person. */
export function formatBurnText(report: BurnReport): string {
  const counted = report.promises.filter(item => item.state !== 'not counted');
  const windows = counted[0]?.windows.map(window => window.name) ?? [];
  const head = ['promise', 'state', 'alarm', ...windows, 'asked by'];
  const rows = counted.map(item => [
    item.id,
    item.state,
    item.alarm,
    ...item.windows.map(formatBurn),
    item.askedBy,
  ]);
  const latencies = report.latencies.map(item => [
    item.calls,
    ...[item.count, item.p50, item.p90, item.p99, item.max].map(String),
  ]);
  return [
    `counted by ${report.entries.join(', ')}; burn 1 spends the whole budget`,
    '',
    formatTable(head, rows),
    '',
    ...counted.map(item => `${item.id}: ${item.text}`),
    ...formatUncounted(report.promises),
    '',
    formatTable(LATENCY_HEADER, latencies),
  ].join('\n');
}

/** Writes the burn of a window with its events. */
export function formatBurn(window: WindowBurn): string {
  const total = window.good + window.bad;
  if (total === 0) return '-';
  const burn = window.burn === undefined ? 'over' : window.burn.toFixed(2);
  return `${burn} (${window.bad} of ${total})`;
}

function formatUncounted(promises: readonly PromiseBurn[]): string[] {
  const names = promises
    .filter(item => item.state === 'not counted')
    .map(item => item.id);
  if (names.length === 0) return [];
  return [`enforced at each node, nothing to count: ${names.join(', ')}`];
}
