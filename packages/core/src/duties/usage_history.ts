/** Reports of the latest windows, as the usage duty's object holds them. */
import * as z from 'zod/mini';
import type {ClosedWindow} from './usage_collection';

/** Number of windows that are kept and still reported late. */
export const HISTORY_WINDOWS = 8;

const REPORT_SCHEMA = z.object({
  number: z.int(),
  counts: z.record(z.string(), z.int()),
  /** `refused`: the cloud rejects it for good. */
  state: z.enum(['open', 'accepted', 'refused']),
});

const HISTORY_SCHEMA = z.object({reports: z.array(REPORT_SCHEMA)});

export type UsageReport = z.infer<typeof REPORT_SCHEMA>;
export type UsageHistory = z.infer<typeof HISTORY_SCHEMA>;

/** Reads the payload of the duty's object; an absent one is empty. */
export function parseHistory(payload: unknown): UsageHistory {
  const parsed = HISTORY_SCHEMA.safeParse(payload);
  return parsed.success ? parsed.data : {reports: []};
}

/** Returns the first window that has no report yet; undefined if none has. */
export function findNextWindow(
  history: UsageHistory,
  currentWindow: number,
): number | undefined {
  const last = history.reports.at(-1);
  if (last === undefined) return undefined;
  return Math.max(last.number + 1, currentWindow - HISTORY_WINDOWS);
}

/** Returns a history with the newly closed windows and without the oldest. */
export function appendWindows(
  history: UsageHistory,
  windows: readonly ClosedWindow[],
): UsageHistory {
  const added = windows.map(({number, counts}) => ({
    number,
    counts: {...counts},
    state: 'open' as const,
  }));
  return {reports: [...history.reports, ...added].slice(-HISTORY_WINDOWS)};
}

/** Returns a history in which a report has a new state. */
export function withState(
  history: UsageHistory,
  number: number,
  state: UsageReport['state'],
): UsageHistory {
  const reports = history.reports.map(report =>
    report.number === number ? {...report, state} : report,
  );
  return {reports};
}

/** Lists the reports that the cloud has not answered for good, oldest first. */
export function listOpen(history: UsageHistory): UsageReport[] {
  return history.reports.filter(report => report.state === 'open');
}
