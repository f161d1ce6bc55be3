/**
 * Writes the checkpoint of the coordinator's open jobs to the store, split into
 * parts. Each write replaces the stored part; a failed write is not retried,
 * since the next checkpoint contains the same progress and more.
 */
import {
  Clock,
  JobProgress,
  JobState,
  PROGRESS_INTERVAL_MS,
  collectProgress,
} from '@sassafrasspan/core';
import type {JobStore} from './job_store';

export interface CheckpointWriterOptions {
  readonly listJobs: () => readonly JobState[];
  readonly jobStore: JobStore;
  readonly clock: Clock;
}

/** Writes checkpoints at a fixed interval. */
export class CheckpointWriter {
  /** Version of each stored part; undefined for a part that is not stored. */
  private versions: Array<number | undefined> = [];
  private writtenAtMs: number;
  private isWriting = false;

  private constructor(private readonly options: CheckpointWriterOptions) {
    this.writtenAtMs = options.clock.readMonotonicMs();
  }

  static create(options: CheckpointWriterOptions): CheckpointWriter {
    return new CheckpointWriter(options);
  }

  /** Writes a checkpoint if the interval has passed; must be called often. */
  async writeIfDue(): Promise<void> {
    const {listJobs, clock} = this.options;
    const nowMs = clock.readMonotonicMs();
    if (this.isWriting || nowMs - this.writtenAtMs < PROGRESS_INTERVAL_MS) {
      return;
    }
    this.writtenAtMs = nowMs;
    this.isWriting = true;
    const parts = collectProgress(listJobs());
    await Promise.all(parts.map((part, index) => this.writePart(part, index)));
    this.isWriting = false;
  }

  private async writePart(part: JobProgress, index: number): Promise<void> {
    const {jobStore} = this.options;
    const written = await jobStore.writeCheckpointPart(
      index,
      part,
      this.versions[index],
    );
    if (written.isOk()) this.versions[index] = written.value;
    else if (written.error.kind === 'conflict') {
      const version = await jobStore.findCheckpointVersion(index);
      if (version.isOk()) this.versions[index] = version.value;
    }
  }
}
