/**
 * The batch jobs of a coordinator: open jobs, and the state that ended jobs pass
 * on to later ones.
 */
import {BatchJob, JobResult, RunEnd, countEvents} from './batch_types';
import {CarryOver, DetachedRun} from './carry_over';
import {ItemRun, ItemState, createItemState, isObsolete} from './item_state';
import {JobState} from './job_state';
import type {Leftover} from './leftover_plan';
import {VersionForecast} from './version_forecast';

/** Maximum number of failed attempts of an item when the route sets none. */
const DEFAULT_MAX_FAILURES = 3;

/** Time after the end of a job within which its leftovers may start, in ms: shorter
 * than the limit for cancelling items, even if an agent executes the order late. */
const LEFTOVER_START_MS = 1_000;

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

/** The run of a leftover. */
export interface LeftoverRun {
  readonly runId: string;
  readonly endpointId: string;
  readonly itemId: string;
}

/** Is told of the end of an item's present run. */
export type RunEndListener = (
  job: JobState,
  item: ItemState,
  run: ItemRun,
  end: RunEnd,
) => void;

/** Open jobs by ID, and what is known of their models. */
export class JobRegistry {
  private readonly jobs = new Map<string, JobState>();
  private readonly newestVersions = new Map<string, AnnouncedVersion>();
  private readonly workByModel = new Map<string, number>();
  /** Difference between the minimum versions of a job and of the later job that
   * has its unfinished items, by model. */
  private readonly versionGaps = new Map<string, number>();
  private readonly versionForecast = VersionForecast.create();
  readonly carryOver = CarryOver.create();
  /** Items of ended jobs that may begin again for a later job, by item ID. */
  private readonly leftovers = new Map<string, Leftover>();

  private constructor(
    readonly findBounds: BoundsFinder,
    private readonly onRunEnded: RunEndListener,
  ) {}

  static create(
    findBounds: BoundsFinder,
    onRunEnded: RunEndListener = () => undefined,
  ): JobRegistry {
    return new JobRegistry(findBounds, onRunEnded);
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

  /** Returns the oldest version whose texts of surplus items the next job of the
   * model can probably reuse. */
  computeMinSurplusVersion(job: BatchJob): number {
    const newest = this.newestVersions.get(job.model)?.version ?? 0;
    const expected = this.versionForecast.predictMinVersion(job.model, newest);
    return Math.max(job.minVersion, expected);
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
    for (const {id} of job.items) this.leftovers.delete(id);
    const state = JobState.create(job, acceptedAtMs, carried);
    for (const results of records) state.applyResults(results);
    this.jobs.set(job.id, state);
    this.workByModel.set(job.model, job.items.length);
    this.setNewestVersion(job.model, job.minVersion, acceptedAtMs);
    const newest = this.newestVersions.get(job.model)?.version ?? 0;
    this.versionForecast.recordJob(job.model, job.minVersion, newest);
    return {state, ...this.carryOver.restoreInto(state, acceptedAtMs)};
  }

  /** Restores an ended job from its records, for readers of its log and for later
   * jobs, some of which may be open already. */
  restoreEnded(
    job: BatchJob,
    acceptedAtMs: number,
    records: ReadonlyArray<readonly JobResult[]>,
  ): JobState {
    const state = JobState.create(job, acceptedAtMs);
    for (const results of records) state.applyResults(results);
    state.isEnded = true;
    this.carryOver.recordEndedJob(state);
    for (const open of this.jobs.values()) this.restoreCarried(open, state);
    return state;
  }

  /** Passes the state of an ended job on to an open one that has items of it. */
  private restoreCarried(open: JobState, ended: JobState): void {
    if (!open.markCarried(new Set(ended.items.keys()))) return;
    const {model, minVersion} = open.job;
    this.versionGaps.set(model, minVersion - ended.job.minVersion);
    this.carryOver.restoreInto(open, open.acceptedAtMs);
  }

  /** Ends a job: its waiting items do not start for it any more, and its runs become
   * detached. Items that the next job probably has become leftovers. */
  end(id: string, nowMs: number): void {
    const state = this.jobs.get(id);
    if (state === undefined) return;
    this.jobs.delete(id);
    state.isEnded = true;
    const reusableFrom = this.hasRepeatedItems(state.job.model)
      ? this.computeMinSurplusVersion(state.job)
      : Infinity;
    if (reusableFrom !== Infinity) {
      this.addLeftovers(state, reusableFrom, nowMs);
    }
    for (const item of state.items.values()) {
      const isAwaited = hasUsableText(item, reusableFrom);
      this.carryOver.saveItem(item, state.job.minVersion, nowMs, isAwaited);
    }
  }

  /** Lists the leftovers that may still start. */
  listLeftovers(nowMs: number): Leftover[] {
    for (const [id, {startsUntilMs}] of this.leftovers) {
      if (startsUntilMs <= nowMs) this.leftovers.delete(id);
    }
    return [...this.leftovers.values()];
  }

  /** Records that a leftover has started in a run. Returns the run of its earlier
   * text, which must be stopped. */
  startLeftover(
    leftover: Leftover,
    run: LeftoverRun,
    nowMs: number,
  ): DetachedRun | undefined {
    const {job, item} = leftover;
    const {minVersion} = job;
    const {events} = item;
    this.leftovers.delete(item.item.id);
    return this.carryOver.replaceRun({...run, events, minVersion}, nowMs);
  }

  /** Returns whether a later job of a model had items of an earlier one. */
  private hasRepeatedItems(model: string): boolean {
    return this.versionGaps.has(model);
  }

  /** Adds the items of incomplete groups whose texts the next job cannot use. */
  private addLeftovers(
    {job, groups}: JobState,
    reusableFrom: number,
    nowMs: number,
  ): void {
    const startsUntilMs = nowMs + LEFTOVER_START_MS;
    const items = groups
      .filter(group => group.items.some(({phase}) => phase !== 'listed'))
      .flatMap(group => group.items)
      .filter(item => item.failures === 0)
      .filter(item => !hasUsableText(item, reusableFrom));
    for (const {item, observedLength, events, result} of items) {
      const state = createItemState(item);
      const isComplete = result?.state === 'completed';
      const length = isComplete ? countEvents(result) : events.length;
      state.observedLength = observedLength?.isComplete
        ? observedLength
        : {events: Math.max(length, observedLength?.events ?? 0), isComplete};
      this.leftovers.set(item.id, {job, item: state, startsUntilMs});
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
    const item = state.items.get(itemId);
    const run = item?.run;
    state.endRun(itemId, runId, end, nowMs, maxFailures);
    if (item !== undefined && run?.runId === runId) {
      this.onRunEnded(state, item, run, end);
    }
  }
}

/** Returns whether a later job that allows versions from `reusableFrom` on can use
 * the result or the text of an item. */
function hasUsableText(item: ItemState, reusableFrom: number): boolean {
  const {result, events} = item;
  if (result?.state === 'dead') return true;
  if (result !== undefined) return (result.versions[0] ?? 0) >= reusableFrom;
  return events.length > 0 && !isObsolete(item, reusableFrom);
}
