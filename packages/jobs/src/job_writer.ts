/**
 * Writes the log of one batch job: one record at a time, each under the next
 * number. A record that another node wrote first is applied like an own one.
 */
import {
  Clock,
  JobResult,
  JobState,
  computeFlushDelay,
} from '@sassafrasspan/core';
import {EventLog, waitMs} from '@sassafrasspan/runtime';
import type {JobStore, LogRecord} from './job_store';

/** Largest text of one record, in characters: below the store's bound even
 * when each takes two bytes. */
const MAX_RECORD_CHARACTERS = 400_000;
/** Time before a failed write is tried again, in ms; doubles up to a bound. */
const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 600;

/** What a writer is built from. */
export interface JobWriterOptions {
  readonly state: JobState;
  readonly jobStore: JobStore;
  /** Names this home in the records that it writes. */
  readonly writer: string;
  /** Returns the time from acceptance to the last result, in ms. */
  readonly findRunDeadline: () => number;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Hears of results that have got their places. */
  readonly onListed: (results: readonly JobResult[]) => void;
}

/** The writer of one log. */
export class JobWriter {
  private lastFlushAtMs = 0;
  private isWriting = false;
  private isStopped = false;
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: JobWriterOptions) {}

  /** Builds a writer. */
  static create(options: JobWriterOptions): JobWriter {
    return new JobWriter(options);
  }

  /** Writes what is finished, now or when enough has been collected. */
  schedule(): void {
    if (this.isWriting || this.timer !== undefined) return;
    if (this.isStopped || this.options.state.isEnded) return;
    const {state, clock} = this.options;
    const nowMs = clock.readMonotonicMs();
    const delayMs = computeFlushDelay(
      state,
      this.lastFlushAtMs,
      nowMs,
      this.options.findRunDeadline(),
    );
    if (delayMs === undefined) return;
    if (delayMs <= 0) return void this.flush();
    this.timer = setTimeout(() => {
      this.timer = undefined;
      void this.flush();
    }, delayMs);
  }

  /** Writes nothing more. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private async flush(): Promise<void> {
    this.isWriting = true;
    let retryMs = MIN_RETRY_MS;
    while (!this.isStopped && !this.options.state.isEnded) {
      const record = this.createRecord();
      if (record === undefined) break;
      const written = await this.options.jobStore.appendRecord(
        this.options.state.job.id,
        record,
      );
      if (this.isStopped) break;
      if (written.isErr()) {
        await waitMs(retryMs);
        retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
        continue;
      }
      this.applyRecord(written.value);
      if (written.value.writer === record.writer) break;
    }
    this.isWriting = false;
    this.lastFlushAtMs = this.options.clock.readMonotonicMs();
    this.schedule();
  }

  private createRecord(): LogRecord | undefined {
    const {state, writer} = this.options;
    const results = limitResults(state.listUnlistedResults());
    if (results.length === 0) return undefined;
    return {sequence: state.nextRecord, results, writer};
  }

  private applyRecord(record: LogRecord): void {
    const {state, log, onListed} = this.options;
    state.applyResults(record.results);
    log.writeEvent('results-listed', {
      requestId: state.job.id,
      record: record.sequence,
      results: record.results.length,
      total: state.results.length,
      groups: state.countCompleteGroups(),
    });
    onListed(record.results);
  }
}

function limitResults(results: readonly JobResult[]): JobResult[] {
  const limited: JobResult[] = [];
  let characters = 0;
  for (const result of results) {
    characters += result.text.length;
    if (characters > MAX_RECORD_CHARACTERS && limited.length > 0) break;
    limited.push(result);
  }
  return limited;
}
