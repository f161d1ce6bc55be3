/**
 * The batch jobs of a home: those that are open, and what ended ones have left
 * for the jobs after them.
 */
import type {BatchJob, JobResult, RunEnd} from './batch_types';
import {CarryOver, DetachedRun} from './carry_over';
import {JobState} from './job_state';

/** Attempts that an endpoint may fail where the route states none. */
const DEFAULT_MAX_FAILURES = 3;

/** What the route of a job says of it. */
export interface JobBounds {
  readonly service: string;
  readonly maxAttempts: number;
  readonly retentionMs: number;
  /** Time from acceptance to the last result, in ms. */
  readonly runDeadlineMs: number;
}

/** Finds the bounds of a job; undefined when its route is gone. */
export type BoundsFinder = (job: BatchJob) => JobBounds | undefined;

/** A job that was opened, and runs of earlier jobs that concern it. */
export interface OpenedJob {
  readonly state: JobState;
  /** Runs that go on for it. */
  readonly reusable: readonly DetachedRun[];
  /** Runs of its items that are of no use to it. */
  readonly obsolete: readonly DetachedRun[];
}

/** A version of a model that its trainer has named. */
export interface AnnouncedVersion {
  readonly version: number;
  /** When it was first heard of, on the monotonic clock. */
  readonly announcedAtMs: number;
}

/** Open jobs by id. */
export class JobRegistry {
  private readonly jobs = new Map<string, JobState>();
  private readonly newestVersions = new Map<string, AnnouncedVersion>();
  private readonly workByModel = new Map<string, number>();
  /** Versions from a job to the one that has its left items, by model. */
  private readonly versionGaps = new Map<string, number>();
  readonly carryOver = CarryOver.create();

  private constructor(readonly findBounds: BoundsFinder) {}

  /** Builds a book without jobs. */
  static create(findBounds: BoundsFinder): JobRegistry {
    return new JobRegistry(findBounds);
  }

  /** Lists the open jobs. */
  list(): JobState[] {
    return [...this.jobs.values()];
  }

  /** Returns the newest version of each model. */
  getNewestVersions(): ReadonlyMap<string, AnnouncedVersion> {
    return this.newestVersions;
  }

  /** Returns the items of the last job of each model. */
  getWorkByModel(): ReadonlyMap<string, number> {
    return this.workByModel;
  }

  /** Returns the oldest version under which spare items of a job are useful. */
  computeMinSurplusVersion(job: BatchJob): number {
    return job.minVersion + (this.versionGaps.get(job.model) ?? 0);
  }

  /** Notes the newest version that a trainer has named. */
  setNewestVersion(model: string, version: number, atMs: number): void {
    const known = this.newestVersions.get(model)?.version ?? 0;
    if (version > known) {
      this.newestVersions.set(model, {version, announcedAtMs: atMs});
    }
  }

  /** Opens a job with the records that its log has. */
  open(
    job: BatchJob,
    acceptedAtMs: number,
    records: ReadonlyArray<readonly JobResult[]>,
  ): OpenedJob {
    const known = this.jobs.get(job.id);
    if (known !== undefined) return {state: known, reusable: [], obsolete: []};
    const lead = this.carryOver.findVersionGap(job);
    if (lead !== undefined) this.versionGaps.set(job.model, lead);
    const carried = this.carryOver.findCarriedGroups(job);
    const state = JobState.create(job, acceptedAtMs, carried);
    for (const results of records) state.applyResults(results);
    this.jobs.set(job.id, state);
    this.workByModel.set(job.model, job.items.length);
    this.setNewestVersion(job.model, job.minVersion, acceptedAtMs);
    return {state, ...this.carryOver.restoreInto(state)};
  }

  /** Takes up a job that has ended, for its readers and for later jobs. */
  restoreEnded(
    job: BatchJob,
    acceptedAtMs: number,
    records: ReadonlyArray<readonly JobResult[]>,
  ): JobState {
    const state = JobState.create(job, acceptedAtMs);
    for (const results of records) state.applyResults(results);
    state.isEnded = true;
    this.carryOver.recordEndedJob(state);
    return state;
  }

  /** Ends a job: nothing of it starts from now on. */
  end(id: string, nowMs: number): void {
    const state = this.jobs.get(id);
    if (state === undefined) return;
    this.jobs.delete(id);
    state.isEnded = true;
    for (const item of state.items.values()) {
      this.carryOver.saveItem(item, state.job.minVersion, nowMs);
    }
  }

  /** Finds an open job. */
  find(id: string): JobState | undefined {
    return this.jobs.get(id);
  }

  /** Finds the job whose item a run works on, or could work on. */
  findJobOfRun(
    runId: string,
    jobId: string,
    itemId: string,
  ): JobState | undefined {
    for (const state of this.jobs.values()) {
      if (state.items.get(itemId)?.run?.runId === runId) return state;
    }
    const named = this.jobs.get(jobId);
    return named?.items.get(itemId)?.phase === 'waiting' ? named : undefined;
  }

  /** Takes the end of a run. */
  finishRun(
    runId: string,
    jobId: string,
    itemId: string,
    end: RunEnd,
    nowMs: number,
  ): void {
    if (this.carryOver.finishRun(runId)) return;
    const state = this.jobs.get(jobId);
    if (state === undefined) return;
    const bounds = this.findBounds(state.job);
    const maxFailures = bounds?.maxAttempts ?? DEFAULT_MAX_FAILURES;
    state.endRun(itemId, runId, end, nowMs, maxFailures);
  }
}
