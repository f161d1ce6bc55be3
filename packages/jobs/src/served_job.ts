/** A batch job in the coordinator's memory, with its log writer and readers. */
import type {JobResult, JobState} from '@sassafrasspan/core';
import {Waiters} from '@sassafrasspan/runtime';
import type {EndedJob} from './job_eviction';
import type {JobWriter} from './job_writer';

/** Maximum size of the results in one answer, in characters. */
const MAX_ANSWER_CHARACTERS = 400_000;

export class ServedJob {
  /** On the monotonic clock. */
  lastUsedAtMs = 0;
  /** Whether the end of the job is stored and the agents were notified. */
  isEndConfirmed = false;
  private readonly waiters = Waiters.create();

  private constructor(
    readonly state: JobState,
    readonly writer: JobWriter,
  ) {}

  static create(state: JobState, writer: JobWriter): ServedJob {
    return new ServedJob(state, writer);
  }

  /** Returns what eviction needs to know; the job must have ended. */
  describeEnded(): EndedJob {
    const {job, results} = this.state;
    const characters = results.reduce((sum, {text}) => sum + text.length, 0);
    return {id: job.id, lastUsedAtMs: this.lastUsedAtMs, characters};
  }

  /** Called when results were appended, or the job or coordinator ends. */
  wakeReaders(): void {
    this.waiters.wakeAll();
  }

  /**
   * Waits until there is a result at position `after`, the job ends, or
   * `limitMs` have passed.
   */
  async waitForResult(
    after: number,
    limitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    if (after < this.state.results.length || this.state.isEnded) return;
    if (limitMs <= 0) return;
    await this.waiters.wait(limitMs, signal);
  }

  /** Returns the results from position `after`, limited to one answer's size. */
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
