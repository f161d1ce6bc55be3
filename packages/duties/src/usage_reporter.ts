/**
 * Reports the usage of closed windows to the cloud. Counts are in the store before
 * they are sent and never change afterwards, so that a report that is sent again,
 * by this node or another, is the same.
 */
import {
  Clock,
  UsageCollection,
  UsageHistory,
  UsageReport,
  appendWindows,
  findNextWindow,
  listOpen,
  parseHistory,
  withState,
} from '@sassafrasspan/core';
import {EventLog, Metrics, waitMs} from '@sassafrasspan/runtime';
import type {CloudAnswer, CloudPort, Permit} from './cloud_port';
import type {DutyHolder} from './duty_holder';

/** Interval at which windows are checked, in ms. */
const CHECK_INTERVAL_MS = 200;
/** First and longest delay before a report is sent again, in ms; two retries fit
 * between the usual close of a window and the due time of its report. */
const FIRST_RETRY_MS = 800;
const MAX_RETRY_MS = 5_000;
const MS_PER_SECOND = 1_000;
/** Time before a duty that was lost is claimed again, in ms: a coordinator that
 * was replaced learns of it by then. */
const LOST_PAUSE_MS = 2_000;
/** Statuses below 500 after which the same report may be accepted later. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([408, 425, 429]);

export interface UsageReporterOptions {
  readonly windowMs: number;
  /** Time after the end of a window at which its report is due, in ms. */
  readonly dueMs: number;
  readonly callsPerSecond: number;
  readonly collection: UsageCollection;
  readonly holder: DutyHolder;
  readonly cloud: CloudPort;
  readonly listEntries: () => readonly string[];
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

export class UsageReporter {
  /** Changes with each start and stop; a loop of an earlier run ends. */
  private run = 0;
  private isRunning = false;
  /** Undefined until the duty is claimed. */
  private history: UsageHistory | undefined;
  /** Final states that the store may not have yet, by window. */
  private readonly answered = new Map<number, UsageReport['state']>();
  /** Numbers of the windows that are in the store. */
  private readonly written = new Set<number>();
  private retryDelayMs = FIRST_RETRY_MS;
  private notBeforeMs = -Infinity;
  private lastResult = 'none';

  private constructor(private readonly options: UsageReporterOptions) {}

  static create(options: UsageReporterOptions): UsageReporter {
    return new UsageReporter(options);
  }

  start(): void {
    this.isRunning = true;
    this.run += 1;
    this.history = undefined;
    void this.runLoop(this.run);
  }

  stop(): void {
    this.isRunning = false;
    this.run += 1;
  }

  async release(): Promise<void> {
    this.stop();
    await this.options.holder.release();
  }

  describe(): object {
    const missing = this.history === undefined ? [] : listOpen(this.history);
    return {
      ...this.options.holder.describe(),
      isRunning: this.isRunning,
      lastResult: this.lastResult,
      windowsMissing: missing.map(report => report.number),
    };
  }

  private async runLoop(run: number): Promise<void> {
    while (this.run === run) {
      await this.step();
      await waitMs(CHECK_INTERVAL_MS);
    }
  }

  /** Claims the duty if needed, closes windows and sends what is due. */
  async step(): Promise<void> {
    const {clock, holder} = this.options;
    if (clock.readMonotonicMs() < this.notBeforeMs) return;
    if (this.history === undefined) {
      const claimed = await holder.claim();
      if (claimed.isErr()) return;
      this.history = this.readHistory(claimed.value);
    }
    const next = this.closeWindows(this.history);
    if (listOpen(next).length === 0) return;
    const acted = await holder.act(next, permit =>
      this.sendReports(next, permit),
    );
    if (acted.isOk()) return;
    // The store may hold another history, which then counts.
    this.history = undefined;
    if (acted.error.kind === 'conflict') this.pauseUntil(LOST_PAUSE_MS);
  }

  private readHistory(payload: unknown): UsageHistory {
    let history = parseHistory(payload);
    for (const [number, state] of this.answered) {
      history = withState(history, number, state);
    }
    return history;
  }

  private closeWindows(history: UsageHistory): UsageHistory {
    const {clock, collection, listEntries} = this.options;
    const nowMs = clock.readMonotonicMs();
    const wallMs = clock.readWallMs();
    const current = collection.computeCurrent(nowMs, wallMs);
    const first = findNextWindow(history, current);
    const entries = listEntries();
    const closed = collection.close({nowMs, wallMs, entries, first});
    return appendWindows(history, closed);
  }

  private async sendReports(
    written: UsageHistory,
    permit: Permit,
  ): Promise<void> {
    this.history = written;
    this.recordWritten(written);
    const intervalMs = MS_PER_SECOND / this.options.callsPerSecond;
    for (const [index, report] of listOpen(written).entries()) {
      if (index > 0) await waitMs(intervalMs);
      if (!permit.isValid()) return;
      const answer = await this.options.cloud.reportUsage(report, permit);
      const isAnswered = this.recordAnswer(report, answer);
      this.pauseUntil(isAnswered ? intervalMs : this.advanceRetryDelay());
      if (!isAnswered) return;
    }
  }

  private pauseUntil(delayMs: number): void {
    this.notBeforeMs = this.options.clock.readMonotonicMs() + delayMs;
  }

  private advanceRetryDelay(): number {
    const delayMs = this.retryDelayMs;
    this.retryDelayMs = Math.min(MAX_RETRY_MS, 2 * delayMs);
    return delayMs;
  }

  private recordWritten(history: UsageHistory): void {
    for (const {number, counts, state} of listOpen(history)) {
      if (state !== 'open' || this.written.has(number)) continue;
      this.written.add(number);
      const total = Object.values(counts).reduce((a, b) => a + b, 0);
      const fields = {window: number, total, ageMs: this.computeAge(number)};
      this.options.log.writeEvent('usage-written', fields);
    }
    const oldest = history.reports[0]?.number ?? 0;
    for (const number of this.written) {
      if (number < oldest) this.written.delete(number);
    }
    for (const number of this.answered.keys()) {
      if (number < oldest) this.answered.delete(number);
    }
  }

  /** Returns whether the cloud has answered for good. */
  private recordAnswer(report: UsageReport, answer: CloudAnswer): boolean {
    const {log, metrics, dueMs} = this.options;
    const {status, detail} = answer;
    const {number} = report;
    const ageMs = this.computeAge(number);
    const path = 'usage';
    metrics.addCount('cloud_calls_total', {path, status: String(status ?? 0)});
    this.lastResult = `${status ?? 'no answer'} for window ${number}`;
    const isAccepted = status === 200;
    const isRefused = isFinalRefusal(status);
    if (isAccepted) {
      const isLate = ageMs > dueMs;
      log.writeEvent(isLate ? 'usage-late' : 'usage-accepted', {
        window: number,
        ageMs,
      });
      this.retryDelayMs = FIRST_RETRY_MS;
    } else {
      const fields = {window: number, status, detail, ageMs, final: isRefused};
      log.writeEvent('usage-refused', fields);
    }
    if (this.history !== undefined && (isAccepted || isRefused)) {
      const state = isAccepted ? 'accepted' : 'refused';
      this.history = withState(this.history, number, state);
      this.answered.set(number, state);
    }
    const missing =
      this.history === undefined ? 0 : listOpen(this.history).length;
    metrics.setGauge('usage_windows_missing', {}, missing);
    return isAccepted || isRefused;
  }

  /** Returns the time since the end of a window, by this node's wall clock. */
  private computeAge(number: number): number {
    const endMs = (number + 1) * this.options.windowMs;
    return Math.round(this.options.clock.readWallMs() - endMs);
  }
}

/** Returns whether the same report would be refused again. */
function isFinalRefusal(status: number | undefined): boolean {
  if (status === undefined || status < 400 || status >= 500) return false;
  return !RETRIED_STATUSES.has(status);
}
