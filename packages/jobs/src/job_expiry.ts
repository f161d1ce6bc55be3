/**
 * Removes jobs from the store once their results need not be readable any more.
 */
import type {Clock} from '@sassafrasspan/core';
import type {EventLog} from '@sassafrasspan/runtime';
import type {JobStore} from './job_store';

export interface JobExpiryOptions {
  readonly jobStore: JobStore;
  /** Returns how long after acceptance results can be read, in ms. */
  readonly findRetentionMs: () => number;
  readonly clock: Clock;
  readonly log: EventLog;
}

export class JobExpiry {
  /** Wall-clock times of acceptance of all jobs in the store, by job id. */
  private readonly acceptedAtMs = new Map<string, number>();

  private constructor(private readonly options: JobExpiryOptions) {}

  static create(options: JobExpiryOptions): JobExpiry {
    return new JobExpiry(options);
  }

  /** Records a stored job and the wall-clock time of its acceptance. */
  add(id: string, acceptedAtMs: number): void {
    this.acceptedAtMs.set(id, acceptedAtMs);
  }

  /** Removes expired jobs from the store and returns their ids. A job whose
   * removal fails expires again. */
  removeExpired(): string[] {
    const {clock, findRetentionMs} = this.options;
    const expiredBeforeMs = clock.readWallMs() - findRetentionMs();
    const expired: string[] = [];
    for (const [id, acceptedAtMs] of this.acceptedAtMs) {
      if (acceptedAtMs >= expiredBeforeMs) continue;
      expired.push(id);
      void this.remove(id, acceptedAtMs);
    }
    return expired;
  }

  private async remove(id: string, acceptedAtMs: number): Promise<void> {
    this.acceptedAtMs.delete(id);
    const removed = await this.options.jobStore.removeJob(id);
    if (removed.isErr()) this.acceptedAtMs.set(id, acceptedAtMs);
    else this.options.log.writeEvent('job-removed', {requestId: id});
  }
}
