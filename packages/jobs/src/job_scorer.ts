/**
 * Obtains the scores of complete texts: starts the scoring calls that the
 * scheduler plans, and applies their outcomes. Scoring calls are idempotent, so a
 * coordinator that takes over repeats those whose outcome was not stored.
 */
import {setMaxListeners} from 'node:events';
import type {
  BatchScheduler,
  Clock,
  JobState,
  PlannedScoring,
  ScoringOutcome,
  ScoringTargetFinder,
} from '@sassafrasspan/core';
import type {EventLog, Metrics} from '@sassafrasspan/runtime';
import type {ScoringCaller} from './scoring_caller';

export interface JobScorerOptions {
  readonly scheduler: BatchScheduler;
  readonly caller: ScoringCaller;
  /** Returns after how many failures an item of the job is dead. */
  readonly findMaxFailures: (job: JobState) => number;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Called when an item has a result or can be called for again. */
  readonly onChanged: () => void;
}

export class JobScorer {
  /** Calls in progress by key of their target. */
  private readonly inProgress = new Map<string, number>();
  /** Cancels the calls in progress of a job, by job id. */
  private readonly controllers = new Map<string, AbortController>();
  private isStopped = false;

  private constructor(private readonly options: JobScorerOptions) {}

  static create(options: JobScorerOptions): JobScorer {
    return new JobScorer(options);
  }

  /** Starts the calls that are due; must be called often. */
  startCalls(): void {
    if (this.isStopped) return;
    const {scheduler, caller, clock} = this.options;
    const findTarget = caller.createTargetFinder();
    const planned = scheduler.planScoring(
      findTarget,
      this.inProgress,
      clock.readMonotonicMs(),
    );
    for (const scoring of planned) void this.runCall(scoring);
    this.reportUnroutable(findTarget);
  }

  /** Cancels the calls of an ended job. */
  endJob(jobId: string): void {
    this.controllers.get(jobId)?.abort();
    this.controllers.delete(jobId);
  }

  /** Cancels all calls and starts no more. */
  stop(): void {
    this.isStopped = true;
    for (const controller of this.controllers.values()) controller.abort();
    this.controllers.clear();
  }

  private async runCall(planned: PlannedScoring): Promise<void> {
    const {caller, clock, log} = this.options;
    const {job, item, call, target, mayHedge} = planned;
    const {rank, missingItems, ageMs, earlierCalls} = planned;
    const inProgress = this.countCall(target.key, 1);
    log.writeEvent('scoring-started', {
      requestId: item.id,
      job: job.job.id,
      call: call.id,
      rank,
      missingItems,
      ageMs,
      earlierCalls,
      inProgress,
      slots: target.slots,
    });
    const startedAtMs = clock.readMonotonicMs();
    const outcome = await caller.callScorer({
      call,
      customer: job.job.customer,
      mayHedge,
      signal: this.getSignal(job.job.id),
    });
    this.countCall(target.key, -1);
    if (this.isStopped || job.isEnded) return;
    this.applyOutcome(planned, outcome, clock.readMonotonicMs() - startedAtMs);
  }

  private applyOutcome(
    {job, item, call}: PlannedScoring,
    outcome: ScoringOutcome,
    tookMs: number,
  ): void {
    const {scheduler, clock, log, metrics, findMaxFailures} = this.options;
    const state = scheduler.applyScoring(
      job.job.id,
      item.id,
      outcome,
      clock.readMonotonicMs(),
      Math.max(outcome.maxFailures, findMaxFailures(job)),
    );
    if (state === undefined) return;
    const {score, failures, detail} = outcome;
    const {result, scoring} = state;
    const end = scoring === undefined ? (result?.state ?? '') : 'retried';
    metrics.recordMs('scoring_ms', {}, tookMs);
    metrics.addCount('scorings_total', {end});
    const fields = {requestId: item.id, job: job.job.id, call: call.id, tookMs};
    if (end === 'completed') log.writeEvent('item-scored', {...fields, score});
    else if (end === 'dead') {
      log.writeEvent('scoring-given-up', {...fields, failures, detail});
    } else {
      const retryInMs = (scoring?.retryAtMs ?? 0) - clock.readMonotonicMs();
      const retry = {failures: scoring?.failures, detail, retryInMs};
      log.writeEvent('scoring-retried', {...fields, ...retry});
    }
    this.options.onChanged();
  }

  /** Logs items whose scoring call can't be sent, once each: they wait for a
   * configuration with a route, and are dead after their retention time. */
  private reportUnroutable(findTarget: ScoringTargetFinder): void {
    const {scheduler, log} = this.options;
    for (const {job, item} of scheduler.takeUnroutable(findTarget)) {
      log.writeEvent('scoring-unroutable', {
        requestId: item.id,
        job: job.job.id,
        call: item.scoringCall?.id,
        host: item.scoringCall?.host,
        path: item.scoringCall?.path,
      });
    }
  }

  private countCall(key: string, change: number): number {
    const count = (this.inProgress.get(key) ?? 0) + change;
    if (count === 0) this.inProgress.delete(key);
    else this.inProgress.set(key, count);
    return count;
  }

  private getSignal(jobId: string): AbortSignal {
    const existing = this.controllers.get(jobId);
    if (existing !== undefined) return existing.signal;
    const controller = new AbortController();
    // Each call in progress listens to the signal of its job.
    setMaxListeners(0, controller.signal);
    this.controllers.set(jobId, controller);
    return controller.signal;
  }
}
