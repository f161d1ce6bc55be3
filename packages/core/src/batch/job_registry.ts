/**
 * The batch jobs of a coordinator: open jobs, and the state that ended jobs pass
 * on to later ones.
 */
import type {BatchJob, JobResult, RunEnd} from './batch_types';
import {CarryOver, DetachedRun} from './carry_over';
import {JobState} from './job_state';

/** Maximum number of failed attempts of an item when the route sets none. */
const DEFAULT_MAX_FAILURES = 3;

/** Service and limits that the route of a job sets. */
export interface JobBounds {
  readonly service: string;
  readonly maxAttempts: number;
  /** Time from acceptance after which unfinished items are abandoned, in ms. */
  readonly retentionMs: number;
  /** Time from acceptance to the deadline of the last result, in ms. */
  readonly runDeadlineMs: number;
  /** Maximum number of tokens in one event of the service's texts. */
  readonly tokensPerEvent: number;
}

/** Returns the limits of a job; undefined when its route no longer exists. */
export type BoundsFinder = (job: BatchJob) => JobBounds | undefined;

/** An opened job, and detached runs of its items. */
export interface OpenedJob {
  readonly state: JobState;
  /** Runs that continue for the job. */
  readonly reusable: readonly DetachedRun[];
  /** Runs whose texts the job cannot use; they must be stopped. */
  readonly obsolete: readonly DetachedRun[];
}

/** A weight version of a model that its trainer has announced. */
export interface AnnouncedVersion {
  readonly version: number;
  /** Time at which the coordinator first learned of it, on the monotonic clock. */
  readonly announcedAtMs: number;
}

/** Open jobs by ID, and what is known of their models. */
export class JobRegistry {
  private readonly jobs = new Map<string, JobState>();
  private readonly newestVersions = new Map<string, AnnouncedVersion>();
  private readonly workByModel = new Map<string, number>();
  /** Difference between the minimum versions of a job and of the later job that
   * has its unfinished items, by model. */
  private readonly versionGaps = new Map<string, number>();
  readonly carryOver = CarryOver.create();

  private constructor(readonly findBounds: BoundsFinder) {}

  static create(findBounds: BoundsFinder): JobRegistry {
    return new JobRegistry(findBounds);
  }

  /** Lists the open jobs. */
  list(): JobState[] {
    return [...this.jobs.values()];
  }

  /** Returns the newest announced version of each model. */
  getNewestVersions(): ReadonlyMap<string, AnnouncedVersion> {
    return this.newestVersions;
  }

  /** Returns the number of items of the latest job of each model. */
  getWorkByModel(): ReadonlyMap<string, number> {
    return this.workByModel;
  }

  /** Returns the oldest version whose texts of surplus items a later job can
   * probably reuse. */
  computeMinSurplusVersion(job: BatchJob): number {
    return job.minVersion + (this.versionGaps.get(job.model) ?? 0);
  }

  /** Returns whether later jobs with the same items may allow the texts of this one:
   * none of its model has shown that they do not. */
  canReuseTexts(job: BatchJob): boolean {
    return (this.versionGaps.get(job.model) ?? 0) <= 0;
  }

  /** Records a version that a trainer has announced; older ones are ignored. */
  setNewestVersion(
    model: string,
    version: number,
    announcedAtMs: number,
  ): void {
    const newest = this.newestVersions.get(model)?.version ?? 0;
    if (version > newest) {
      this.newestVersions.set(model, {version, announcedAtMs});
    }
  }

  /** Opens a job, given the records of its results log. Returns the existing state
   * when the job is open already. */
  open(
    job: BatchJob,
    acceptedAtMs: number,
    records: ReadonlyArray<readonly JobResult[]>,
  ): OpenedJob {
    const existing = this.jobs.get(job.id);
    if (existing !== undefined) {
      return {state: existing, reusable: [], obsolete: []};
    }
    const gap = this.carryOver.findVersionGap(job);
    if (gap !== undefined) this.versionGaps.set(job.model, gap);
    const carried = this.carryOver.findCarriedGroups(job);
    const state = JobState.create(job, acceptedAtMs, carried);
    for (const results of records) state.applyResults(results);
    this.jobs.set(job.id, state);
    this.workByModel.set(job.model, job.items.length);
    this.setNewestVersion(job.model, job.minVersion, acceptedAtMs);
    return {state, ...this.carryOver.restoreInto(state, acceptedAtMs)};
  }

  /** Restores an ended job from its records, for readers of its log and for later
   * jobs. */
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

  /** Ends a job: its waiting items never start, and its runs become detached. */
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

  /** Finds the open job whose item a run generates, or else the job of that ID if
   * the item waits and the run could generate it. */
  findJobOfRun(
    runId: string,
    jobId: string,
    itemId: string,
  ): JobState | undefined {
    for (const state of this.jobs.values()) {
      if (state.items.get(itemId)?.run?.runId === runId) return state;
    }
    const candidate = this.jobs.get(jobId);
    return candidate?.items.get(itemId)?.phase === 'waiting'
      ? candidate
      : undefined;
  }

  /** Ends a run, whether it is detached or belongs to an open job. */
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
