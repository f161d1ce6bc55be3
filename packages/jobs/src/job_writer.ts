/**
 * Appends the results of one batch job to its log in the store, one record at a
 * time, each under the next sequence number. If another node has already
 * written a record under that number, its record is applied instead.
 */
import {
  Clock,
  FlushBounds,
  JobResult,
  JobState,
  computeFlushDelay,
} from '@sassafrasspan/core';
import {EventLog, waitMs} from '@sassafrasspan/runtime';
import type {JobStore, LogRecord} from './job_store';

/** Maximum size of one record, in characters: within the store's limit on an
 * object even at two bytes per character. */
const MAX_RECORD_CHARACTERS = 400_000;
/** Delay before a failed write is retried, in ms; doubles up to the maximum. */
const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 600;

/** Bounds of a job whose route is gone. */
const UNBOUNDED: FlushBounds = {runDeadlineMs: Infinity, tokensPerEvent: 1};

export interface JobWriterOptions {
  readonly state: JobState;
  readonly jobStore: JobStore;
  /** Identifies this coordinator in the records that it writes. */
  readonly writer: string;
  /** Returns the bounds of the job; undefined when its route is gone. */
  readonly findBounds: () => FlushBounds | undefined;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Called with results that were appended to the log, by any node. */
  readonly onListed: (results: readonly JobResult[]) => void;
}

export class JobWriter {
  private lastFlushAtMs = 0;
  private isWriting = false;
  private isStopped = false;
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: JobWriterOptions) {}

  static create(options: JobWriterOptions): JobWriter {
    return new JobWriter(options);
  }

  /** Writes finished results, now or after a delay that collects more. Must be
   * called again when items were finished, since that may shorten the delay. */
  schedule(): void {
    if (this.isWriting) return;
    if (this.isStopped || this.options.state.isEnded) return;
    const {state, clock} = this.options;
    const nowMs = clock.readMonotonicMs();
    const delayMs = computeFlushDelay(
      state,
      this.lastFlushAtMs,
      nowMs,
      this.options.findBounds() ?? UNBOUNDED,
    );
    clearTimeout(this.timer);
    if (delayMs === undefined) return;
    if (delayMs <= 0) return void this.flush();
    this.timer = setTimeout(() => void this.flush(), delayMs);
  }

  /** Stops further writes; a write in progress isn't cancelled. */
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
