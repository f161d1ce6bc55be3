/**
 * Writes checkpoints of one job. Each replaces the one before; a write that
 * fails is left out, since the next one brings more.
 */
import {
  Clock,
  JobState,
  PROGRESS_INTERVAL_MS,
  collectProgress,
} from '@sassafrasspan/core';
import type {JobLedger} from './job_ledger';

/** What a writer is built from. */
export interface ProgressWriterOptions {
  readonly state: JobState;
  readonly ledger: JobLedger;
  readonly clock: Clock;
}

/** The writer of one job's checkpoints. */
export class ProgressWriter {
  private version: number | undefined;
  private writtenAtMs: number;
  private isWriting = false;

  private constructor(private readonly options: ProgressWriterOptions) {
    this.writtenAtMs = options.clock.readMonotonicMs();
  }

  /** Builds a writer. */
  static create(options: ProgressWriterOptions): ProgressWriter {
    return new ProgressWriter(options);
  }

  /** Writes a checkpoint if one is due. */
  async advance(): Promise<void> {
    const {state, clock} = this.options;
    const nowMs = clock.readMonotonicMs();
    if (this.isWriting || nowMs - this.writtenAtMs < PROGRESS_INTERVAL_MS) {
      return;
    }
    this.writtenAtMs = nowMs;
    const progress = collectProgress(state);
    if (progress.items.length === 0) return;
    this.isWriting = true;
    const {ledger} = this.options;
    const {id} = state.job;
    const written = await ledger.writeProgress(id, progress, this.version);
    if (written.isOk()) this.version = written.value;
    else if (written.error.kind === 'conflict') {
      const found = await ledger.findProgressVersion(id);
      if (found.isOk()) this.version = found.value;
    }
    this.isWriting = false;
  }
}
