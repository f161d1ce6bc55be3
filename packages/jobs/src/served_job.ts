/** A batch job in the coordinator's memory, with its log writer and readers. */
import {
  Clock,
  JobResult,
  JobState,
  ReadPauses,
  computeReadHold,
  predictCompletion,
} from '@sassafrasspan/core';
import {Waiters} from '@sassafrasspan/runtime';
import type {EndedJob} from './job_eviction';
import type {JobWriter} from './job_writer';

/** Maximum size of the results in one answer, in characters. */
const MAX_ANSWER_CHARACTERS = 400_000;
/** Time after which it is decided again how long a read is held, in ms. */
const HOLD_INTERVAL_MS = 200;

export interface ServedJobOptions {
  readonly state: JobState;
  readonly writer: JobWriter;
  readonly clock: Clock;
  /** Returns the maximum number of tokens in one event; undefined when the route
   * is gone. */
  readonly findTokensPerEvent: () => number | undefined;
}

export class ServedJob {
  /** On the monotonic clock. */
  lastUsedAtMs = 0;
  /** Whether the end of the job is stored, the agents were notified, and no later
   * coordinator had read the job as open. */
  isEndConfirmed = false;
  readonly state: JobState;
  readonly writer: JobWriter;
  private readonly waiters = Waiters.create();
  private readonly pauses = ReadPauses.create();
  private isStopped = false;

  private constructor(private readonly options: ServedJobOptions) {
    this.state = options.state;
    this.writer = options.writer;
  }

  static create(options: ServedJobOptions): ServedJob {
    return new ServedJob(options);
  }

  /** Returns what eviction needs to know; the job must have ended. */
  describeEnded(): EndedJob {
    const {job, results} = this.state;
    const characters = results.reduce((sum, {text}) => sum + text.length, 0);
    return {id: job.id, lastUsedAtMs: this.lastUsedAtMs, characters};
  }

  /** Lets all reads go; called when the coordinator stops. */
  stop(): void {
    this.isStopped = true;
    this.writer.stop();
    this.wakeReaders();
  }

  /** Called when results were appended or the job ends. */
  wakeReaders(): void {
    this.waiters.wakeAll();
  }

  /**
   * Waits until there is a result at position `after`, the job ends, or
   * `limitMs` have passed; for less if the reader is then back in time for the end
   * of the step.
   */
  async waitForResult(
    after: number,
    limitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    if (this.canAnswer(after) || limitMs <= 0) return;
    const {clock} = this.options;
    const startedAtMs = clock.readMonotonicMs();
    this.pauses.recordRead(startedAtMs);
    while (!this.canAnswer(after) && !signal.aborted) {
      const nowMs = clock.readMonotonicMs();
      const holdMs = this.computeHold(startedAtMs + limitMs - nowMs, nowMs);
      if (holdMs <= 0) break;
      await this.waiters.wait(Math.min(HOLD_INTERVAL_MS, holdMs), signal);
    }
    this.pauses.recordAnswer(clock.readMonotonicMs());
  }

  private canAnswer(after: number): boolean {
    const {results, isEnded} = this.state;
    return after < results.length || isEnded || this.isStopped;
  }

  private computeHold(limitMs: number, nowMs: number): number {
    const tokensPerEvent = this.options.findTokensPerEvent();
    const completesAtMs =
      tokensPerEvent === undefined
        ? Infinity
        : predictCompletion(this.state, tokensPerEvent, nowMs);
    const longestPauseMs = this.pauses.findLongest();
    return computeReadHold({nowMs, limitMs, completesAtMs, longestPauseMs});
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
