/**
 * Simulates a scoring service in virtual time, and the part of a coordinator that
 * calls it. The service has a number of slots that it shares with other callers;
 * calls beyond them wait. Tests inject the faults and read what truly happened.
 */
import type {
  BatchScheduler,
  JobResult,
  PlannedScoring,
  ScoringCall,
  ScoringOutcome,
  ScoringTarget,
} from '../index';

/** Number of failures after which an item is dead. */
export const SCORING_MAX_FAILURES = 3;

/**
 * How the service treats calls. `lost`: it works on them and no answer arrives;
 * `shed`: it refuses them; `unroutable`: no route leads to it.
 */
export type ScoringServiceMode = 'up' | 'lost' | 'shed' | 'unroutable';

/** A call that has reached the service. */
export interface ServedCall {
  readonly callId: string;
  readonly atMs: number;
  /** Signature of the answer; unique to the call. */
  readonly score: string;
}

export interface ScoringSimulationOptions {
  readonly slots: number;
  /** Time that the service works on a call, in ms. */
  readonly computeWorkMs: (callId: string) => number;
  /** Whether the service always answers a call with a failure. */
  readonly isAlwaysFailing?: (callId: string) => boolean;
  /** Other callers of the service. */
  readonly callers?: {readonly intervalMs: number; readonly workMs: number};
}

/** Work at the service, which ends after `remainingMs` in a slot. */
interface PendingWork {
  remainingMs: number;
  readonly end: (scheduler: BatchScheduler, nowMs: number) => void;
}

interface PendingCall {
  readonly planned: PlannedScoring;
  readonly scheduler: BatchScheduler;
  readonly served: ServedCall;
  /** How the service treated the call when it arrived. */
  readonly mode: ScoringServiceMode;
}

/** The service and the calls of coordinators. */
export class ScoringSimulation {
  mode: ScoringServiceMode = 'up';
  /** Factor by which the service takes longer than usual. */
  slowdown = 1;
  /** Every call that has reached the service. */
  readonly served: ServedCall[] = [];
  /** Greatest number of calls in progress at once. */
  maxInProgress = 0;
  /** Time from each other caller's call to its answer, in ms. */
  readonly callerTimesMs: number[] = [];
  private calls: PendingCall[] = [];
  /** Work in slots and, beyond the number of slots, in the queue. */
  private pending: PendingWork[] = [];

  private constructor(private readonly options: ScoringSimulationOptions) {}

  static create(options: ScoringSimulationOptions): ScoringSimulation {
    return new ScoringSimulation(options);
  }

  /** Starts the calls that the coordinator plans, and works on those in progress
   * for `durationMs`. */
  advance(scheduler: BatchScheduler, nowMs: number, durationMs: number): void {
    const planned = scheduler.planScoring(
      call => this.findTarget(call),
      new Map([['scorer', this.countOf(scheduler)]]),
      nowMs,
    );
    for (const scoring of planned) this.startCall(scoring, scheduler, nowMs);
    this.maxInProgress = Math.max(this.maxInProgress, this.calls.length);
    this.startCaller(nowMs);
    const active = this.pending.slice(0, this.options.slots);
    for (const work of active) work.remainingMs -= durationMs / this.slowdown;
    const ended = active.filter(work => work.remainingMs <= 0);
    this.pending = this.pending.filter(work => !ended.includes(work));
    for (const work of ended) work.end(scheduler, nowMs);
  }

  private startCaller(nowMs: number): void {
    const {callers} = this.options;
    if (callers === undefined || nowMs % callers.intervalMs !== 0) return;
    this.pending.push({
      remainingMs: callers.workMs,
      end: (_scheduler, endMs) => this.callerTimesMs.push(endMs - nowMs),
    });
  }

  private findTarget(call: ScoringCall): ScoringTarget | undefined {
    if (this.mode === 'unroutable' || call.host !== 'scorer') return undefined;
    return {key: 'scorer', slots: this.options.slots};
  }

  private countOf(scheduler: BatchScheduler): number {
    return this.calls.filter(call => call.scheduler === scheduler).length;
  }

  private startCall(
    planned: PlannedScoring,
    scheduler: BatchScheduler,
    nowMs: number,
  ): void {
    const callId = planned.call.id;
    const score = `${callId}@${this.served.length}`;
    const served = {callId, atMs: nowMs, score};
    if (this.mode !== 'shed') this.served.push(served);
    const call = {planned, scheduler, served, mode: this.mode};
    this.calls.push(call);
    this.pending.push({
      remainingMs: this.options.computeWorkMs(callId),
      end: (current, endMs) => this.endCall(call, current, endMs),
    });
  }

  /** Ends a call; its answer is dropped if another coordinator has taken over. */
  private endCall(
    call: PendingCall,
    scheduler: BatchScheduler,
    nowMs: number,
  ): void {
    this.calls = this.calls.filter(other => other !== call);
    if (call.scheduler !== scheduler) return;
    const {job, item} = call.planned;
    scheduler.applyScoring(
      job.job.id,
      item.id,
      this.createOutcome(call),
      nowMs,
      SCORING_MAX_FAILURES,
    );
  }

  private createOutcome({mode, served}: PendingCall): ScoringOutcome {
    const base = {
      score: undefined,
      failures: 0,
      maxFailures: SCORING_MAX_FAILURES,
      detail: mode,
    };
    if (mode === 'shed' || this.mode === 'lost') return base;
    const isFailing = this.options.isAlwaysFailing?.(served.callId) ?? false;
    return isFailing ? {...base, failures: 1} : {...base, score: served.score};
  }
}

/** Creates the scoring call of an item of a test job. */
export function createScoringCall(itemId: string): ScoringCall {
  return {
    id: `score-${itemId}`,
    host: 'scorer',
    path: '/score',
    body: Buffer.from(itemId).toString('base64'),
  };
}

/** Lists what is wrong with the scores of results: a completed result must have
 * the score of a call of its own item that was made after its text was. */
export function listScoreFaults(
  results: readonly JobResult[],
  served: readonly ServedCall[],
  textMadeAtMs: ReadonlyMap<string, number>,
): string[] {
  return results
    .filter(result => result.state === 'completed')
    .flatMap(({itemId, score}) => {
      const call = served.find(candidate => candidate.score === score);
      if (call === undefined) return [`${itemId} has no score of a call`];
      if (call.callId !== createScoringCall(itemId).id) {
        return [`${itemId} has the score of ${call.callId}`];
      }
      const isEarly = call.atMs < (textMadeAtMs.get(itemId) ?? Infinity);
      return isEarly ? [`${itemId} was scored before its text was made`] : [];
    });
}
