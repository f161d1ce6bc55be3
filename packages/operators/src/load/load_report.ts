/** Formats the output of the load command. */
import {mergeHistograms} from '@sassafrasspan/runtime';
import {formatTable} from '../text_table';
import type {CallTally} from './load_callers';
import type {TrainerTally} from './load_trainer';

/** Formats a table of calls and, if there are trainers, one of trainers. */
export function formatLoadReport(
  calls: CallTally,
  trainers: readonly TrainerTally[],
): string {
  const tables = [formatCalls(calls)];
  if (trainers.length > 0) tables.push(formatTrainers(trainers));
  return tables.join('\n\n');
}

function formatCalls(tally: CallTally): string {
  const rows = Object.entries(tally.latencies.encodeAll()).map(
    ([target, encoded]) => {
      const {count, p50, p90, p99, max} = mergeHistograms([encoded]);
      return [target, ...[count, p50, p90, p99, max].map(String)];
    },
  );
  const header = ['calls', 'answered', 'p50 ms', 'p90 ms', 'p99 ms', 'max ms'];
  const errors = formatErrorCounts(tally.errorCounts);
  return [
    formatTable(header, rows.sort()),
    `${tally.answeredCalls} calls answered; refused or failed: ${errors}`,
  ].join('\n');
}

function formatErrorCounts(counts: ReadonlyMap<string, number>): string {
  if (counts.size === 0) return 'none';
  return [...counts]
    .sort()
    .map(([kind, count]) => `${count} ${kind}`)
    .join(', ');
}

function formatTrainers(trainers: readonly TrainerTally[]): string {
  const rows = trainers.map(tally => {
    const totalMs = Math.max(1, tally.idleMs + tally.trainingMs);
    const ages = [...tally.sampleAges].sort((a, b) => a - b);
    const mean = ages.reduce((sum, age) => sum + age, 0) / (ages.length || 1);
    const p99 = ages[Math.ceil(ages.length * 0.99) - 1] ?? 0;
    return [
      tally.trainer,
      `${tally.completedSteps} complete, ${tally.timedOutSteps} timed out`,
      String(ages.length),
      String(tally.duplicateSamples),
      String(tally.failedSlots),
      `${(tally.idleMs / 1_000).toFixed(1)} s`,
      `${((100 * tally.idleMs) / totalMs).toFixed(0)}%`,
      `${mean.toFixed(2)} / ${p99} / ${ages.at(-1) ?? 0}`,
      formatErrorCounts(tally.errorCounts),
    ];
  });
  const header = [
    'trainer',
    'steps',
    'samples',
    'duplicated',
    'failed',
    'idle',
    'idle share',
    'age mean / p99 / max',
    'refusals',
  ];
  return formatTable(header, rows);
}
