/** Stores that batch jobs have ended, and retries until the store has it. */
import type {ServiceError} from '@sassafrasspan/core';
import {waitMs} from '@sassafrasspan/runtime';
import type {Result} from 'neverthrow';
import type {JobStore} from './job_store';

/** Delay before a failed write of a job's end is retried, in ms. */
const RETRY_MS = 500;

export class JobEndWriter {
  /** Jobs whose end is not in the store yet. */
  private readonly unsaved = new Set<string>();
  private isStopped = false;

  private constructor(private readonly jobStore: JobStore) {}

  static create(jobStore: JobStore): JobEndWriter {
    return new JobEndWriter(jobStore);
  }

  /** Stores the end of a job. A failed write is retried in the background, even
   * if the caller disconnects. */
  async write(jobId: string): Promise<Result<void, ServiceError>> {
    const ended = await this.jobStore.endJob(jobId);
    if (ended.isErr()) void this.retry(jobId);
    return ended;
  }

  /** Makes no further retries. */
  stop(): void {
    this.isStopped = true;
  }

  private async retry(jobId: string): Promise<void> {
    if (this.unsaved.has(jobId)) return;
    this.unsaved.add(jobId);
    while (!this.isStopped) {
      await waitMs(RETRY_MS);
      const ended = await this.jobStore.endJob(jobId);
      if (ended.isOk() || ended.error.kind === 'not-found') break;
    }
    this.unsaved.delete(jobId);
  }
}
