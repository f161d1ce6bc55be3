/**
 * Writes the checkpoint of a home's open jobs. Each part replaces the one
 * before; a write that fails is left out, since the next one brings more.
 */
import {
  Clock,
  JobProgress,
  JobState,
  PROGRESS_INTERVAL_MS,
  collectProgress,
} from '@sassafrasspan/core';
import type {JobStore} from './job_store';

/** What a writer is built from. */
export interface CheckpointWriterOptions {
  readonly listJobs: () => readonly JobState[];
  readonly jobStore: JobStore;
  readonly clock: Clock;
}

/** The writer of a home's checkpoint. */
export class CheckpointWriter {
  /** Version in the store of each part that is there. */
  private versions: Array<number | undefined> = [];
  private writtenAtMs: number;
  private isWriting = false;

  private constructor(private readonly options: CheckpointWriterOptions) {
    this.writtenAtMs = options.clock.readMonotonicMs();
  }

  /** Builds a writer. */
  static create(options: CheckpointWriterOptions): CheckpointWriter {
    return new CheckpointWriter(options);
  }

  /** Writes a checkpoint if one is due. */
  async writeIfDue(): Promise<void> {
    const {listJobs, clock} = this.options;
    const nowMs = clock.readMonotonicMs();
    if (this.isWriting || nowMs - this.writtenAtMs < PROGRESS_INTERVAL_MS) {
      return;
    }
    this.writtenAtMs = nowMs;
    this.isWriting = true;
    const parts = collectProgress(listJobs());
    await Promise.all(parts.map((part, at) => this.writePart(part, at)));
    this.isWriting = false;
  }

  private async writePart(part: JobProgress, at: number): Promise<void> {
    const {jobStore} = this.options;
    const written = await jobStore.writeCheckpointPart(
      at,
      part,
      this.versions[at],
    );
    if (written.isOk()) this.versions[at] = written.value;
    else if (written.error.kind === 'conflict') {
      const found = await jobStore.findCheckpointVersion(at);
      if (found.isOk()) this.versions[at] = found.value;
    }
  }
}
