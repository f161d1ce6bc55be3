/** Formats the burn report as plain text. */
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

export function formatBurnText(report: BurnReport): string {
  const counted = report.promises.filter(
    promise => promise.state !== 'not counted',
  );
  const windows = counted[0]?.windows.map(window => window.name) ?? [];
  const header = ['promise', 'state', 'alarm', ...windows, 'requested by'];
  const rows = counted.map(promise => [
    promise.id,
    promise.state,
    promise.alarm,
    ...promise.windows.map(formatBurn),
    promise.askedBy,
  ]);
  const latencies = report.latencies.map(latency => [
    latency.calls,
    ...[latency.count, latency.p50, latency.p90, latency.p99, latency.max].map(
      String,
    ),
  ]);
  return [
    `counted by ${report.entries.join(', ')}; a burn rate of 1 uses up the error budget exactly`,
    '',
    formatTable(header, rows),
    '',
    ...counted.map(promise => `${promise.id}: ${promise.text}`),
    ...formatUncounted(report.promises),
    '',
    formatTable(LATENCY_HEADER, latencies),
  ].join('\n');
}

/**
 * Formats the burn rate of a window and its bad events of all events, as in
 * `0.67 (10 of 1500)`. The rate is `over` when the objective allows no bad
 * events.
 */
export function formatBurn(window: WindowBurn): string {
  const total = window.good + window.bad;
  if (total === 0) return '-';
  const burn = window.burn === undefined ? 'over' : window.burn.toFixed(2);
  return `${burn} (${window.bad} of ${total})`;
}

function formatUncounted(promises: readonly PromiseBurn[]): string[] {
  const names = promises
    .filter(promise => promise.state === 'not counted')
    .map(promise => promise.id);
  if (names.length === 0) return [];
  return [`enforced at each node, not measured: ${names.join(', ')}`];
}
