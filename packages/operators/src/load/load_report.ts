/** What the load command prints. */
import {mergeHistograms} from '@sassafrasspan/runtime';
import {formatTable} from '../text_table';
import type {CallTally} from './load_callers';
import type {TrainerTally} from './load_trainer';

/** Writes the tallies of callers and trainers. */
export function formatLoadReport(
  calls: CallTally,
  trainers: readonly TrainerTally[],
): string {
  const parts = [formatCalls(calls)];
  if (trainers.length > 0) parts.push(formatTrainers(trainers));
  return parts.join('\n\n');
}

function formatCalls(tally: CallTally): string {
  const rows = Object.entries(tally.latencies.encodeAll()).map(
    ([target, encoded]) => {
      const {count, p50, p90, p99, max} = mergeHistograms([encoded]);
      return [target, ...[count, p50, p90, p99, max].map(String)];
    },
  );
  const head = ['calls', 'answered', 'p50 ms', 'p90 ms', 'p99 ms', 'max ms'];
  const failed = formatErrorCounts(tally.errorCounts);
  return [
    formatTable(head, rows.sort()),
    `${tally.answeredCalls} calls answered; refused or failed: ${failed}`,
  ].join('\n');
}

function formatErrorCounts(kinds: ReadonlyMap<string, number>): string {
  if (kinds.size === 0) return 'none';
  return [...kinds]
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
      `${tally.completedSteps} whole, ${tally.timedOutSteps} given up`,
      String(ages.length),
      String(tally.duplicateSamples),
      String(tally.failedSlots),
      `${(tally.idleMs / 1_000).toFixed(1)} s`,
      `${((100 * tally.idleMs) / totalMs).toFixed(0)}%`,
      `${mean.toFixed(2)} / ${p99} / ${ages.at(-1) ?? 0}`,
      formatErrorCounts(tally.errorCounts),
    ];
  });
  const head = [
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
  return formatTable(head, rows);
}
