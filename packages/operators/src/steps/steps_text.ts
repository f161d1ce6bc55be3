/** Formats what steps waited for as plain text. */
import {formatTable} from '../text_table';
import {STEP_CAUSES, StepWaits, StepsReport} from './step_waits';

const BEFORE_CAUSES = ['accepted', 'step', 'job', 'took', 'bound'];
const HEADER = [...BEFORE_CAUSES, ...STEP_CAUSES, 'last item'];

/** Formats the report; times are in seconds. */
export function formatSteps(report: StepsReport, droppedLines: number): string {
  const rows = report.steps.map(step => [
    step.acceptedAt.slice(11, 23),
    String(step.step),
    step.job,
    formatSeconds(step.tookMs),
    step.boundMs === undefined ? '-' : formatSeconds(step.boundMs),
    ...formatWaits(step.waits),
    `${step.lastItem} (${step.rank}, ${step.events} events, ${step.runs} runs)`,
  ]);
  const tookMs = report.steps.reduce((sum, step) => sum + step.tookMs, 0);
  const total = ['all', '', '', formatSeconds(tookMs), ''];
  rows.push([...total, ...formatWaits(report.totals), '']);
  const lines = [formatTable(HEADER, rows)];
  if (report.unexplained.length > 0) {
    const ids = report.unexplained.join(', ');
    lines.push(`the last item is not in the logs: ${ids}`);
  }
  if (droppedLines > 0) {
    lines.push(`${droppedLines} lines were dropped by the nodes' logs`);
  }
  return lines.join('\n');
}

function formatWaits(waits: StepWaits): string[] {
  return STEP_CAUSES.map(cause => formatSeconds(waits[cause]));
}

function formatSeconds(ms: number): string {
  return (ms / 1_000).toFixed(2);
}
