/** A batch job at its home, with what is written and who waits for it. */
import type {JobResult, JobState} from '@sassafrasspan/core';
import {Waiters} from '@sassafrasspan/runtime';
import type {EndedJob} from './job_eviction';
import type {JobWriter} from './job_writer';

/** Largest text of one answer to a read, in characters. */
const MAX_ANSWER_CHARACTERS = 400_000;

/** A job with its writer. */
export class ServedJob {
  /** When it was last asked for, on the monotonic clock. */
  lastUsedAtMs = 0;
  /** Whether the store and the agents know that the job has ended. */
  isEndConfirmed = false;
  private readonly waiters = Waiters.create();

  private constructor(
    readonly state: JobState,
    readonly writer: JobWriter,
  ) {}

  /** Builds a job that nobody waits for. */
  static create(state: JobState, writer: JobWriter): ServedJob {
    return new ServedJob(state, writer);
  }

  /** Describes the job once it has ended. */
  describeEnded(): EndedJob {
    const {job, results} = this.state;
    const characters = results.reduce((sum, {text}) => sum + text.length, 0);
    return {id: job.id, lastUsedAtMs: this.lastUsedAtMs, characters};
  }

  /** Wakes the readers that wait. */
  wakeReaders(): void {
    this.waiters.wakeAll();
  }

  /** Waits for a result from a position on, at most for a time in ms. */
  async waitForResult(
    after: number,
    limitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    if (after < this.state.results.length || this.state.isEnded) return;
    if (limitMs <= 0) return;
    await this.waiters.wait(limitMs, signal);
  }

  /** Returns results from a position on, as many as one answer holds. */
  listResults(after: number): JobResult[] {
    const limited: JobResult[] = [];
    let characters = 0;
    for (const result of this.state.results.slice(after)) {
      characters += result.text.length;
      if (characters > MAX_ANSWER_CHARACTERS && limited.length > 0) break;
      limited.push(result);
    }
    return limited;
  }
}
