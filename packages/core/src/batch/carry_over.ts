/**
 * State that ended batch jobs pass on to later jobs: results, partial texts, and
 * detached runs, which continue for a while after their job ended. A trainer
 * resubmits the groups that were incomplete at the end of a job in a later job,
 * which reuses this state if the weight versions allow it. The trainer always
 * waits for resubmitted groups, so an item is remembered even when it has no
 * text to reuse.
 */
import {
  BatchJob,
  JobResult,
  ScoringCall,
  TextEvent,
  countEvents,
  createCompletedResult,
} from './batch_types';
import type {ItemState, ObservedLength} from './item_state';
import type {JobState} from './job_state';
import {RunUpdate, decodeEvents} from './run_messages';

/** Maximum number of saved items; the oldest are evicted. */
const MAX_SAVED_ITEMS = 4_000;
/** Time for which the runs of an ended job continue, in ms: longer than the
 * pause of a trainer between two steps. */
const MAX_DETACHED_MS = 1_500;
/** Time for which they continue if the next job can probably use their texts, in
 * ms: a trainer submits its steps at regular times, so that the next one may be due
 * only seconds after the end of one that was fast. */
const MAX_AWAITED_MS = 6_000;

/** Saved state of an item: its result, or the text of its last run. */
interface SavedItem {
  readonly result: JobResult | undefined;
  readonly events: readonly TextEvent[];
  readonly length: ObservedLength | undefined;
  /** Oldest weight version that its job allowed. */
  readonly minVersion: number;
  /** Call that obtained the score of the result, if it has one. */
  readonly scoringCall: ScoringCall | undefined;
}

/** Properties of a saved item apart from its result or text. */
interface SavedItemDetails {
  readonly length?: ObservedLength;
  readonly minVersion: number;
  readonly scoringCall?: ScoringCall;
}

/** A run that continues after its job ended. */
export interface DetachedRun {
  readonly runId: string;
  readonly endpointId: string;
  readonly itemId: string;
  readonly events: TextEvent[];
  /** Time at which it is stopped unless a later job reuses it. */
  readonly endsAtMs: number;
  /** Oldest weight version that its job allowed. */
  readonly minVersion: number;
}

/** Saved items and detached runs of ended jobs. */
export class CarryOver {
  private readonly items = new Map<string, SavedItem>();
  private readonly runs = new Map<string, DetachedRun>();
  private readonly runsByItem = new Map<string, DetachedRun>();

  private constructor() {}

  static create(): CarryOver {
    return new CarryOver();
  }

  /** Saves an item of a job that ends. Its current run becomes detached, and
   * continues for longer if the next job can probably use its text. */
  saveItem(
    state: ItemState,
    minVersion: number,
    nowMs: number,
    isAwaited: boolean,
  ): void {
    const {id} = state.item;
    const {run, events, result} = state;
    if (state.phase === 'running' && run !== undefined) {
      const {runId, endpointId} = run;
      const endsAtMs = nowMs + (isAwaited ? MAX_AWAITED_MS : MAX_DETACHED_MS);
      const base = {runId, endpointId, itemId: id, events, minVersion};
      return this.storeRun({...base, endsAtMs});
    }
    this.storeItem(id, result ?? events, {
      length: state.observedLength,
      minVersion,
      scoringCall: state.item.scoringCall,
    });
  }

  /** Adds a run of an item of an ended job, which a later job is expected to
   * use. Returns the run that it replaces, which must be stopped. */
  replaceRun(
    run: Omit<DetachedRun, 'endsAtMs'>,
    nowMs: number,
  ): DetachedRun | undefined {
    const replaced = this.runsByItem.get(run.itemId);
    if (replaced !== undefined) this.finishRun(replaced.runId);
    this.storeRun({...run, endsAtMs: nowMs + MAX_AWAITED_MS});
    return replaced;
  }

  /** Records the items of a job that ended under an earlier coordinator. */
  recordEndedJob(state: JobState): void {
    for (const {item, result} of state.items.values()) {
      if (this.items.has(item.id)) continue;
      const {minVersion} = state.job;
      const {scoringCall} = item;
      this.storeItem(item.id, result ?? [], {minVersion, scoringCall});
    }
  }

  /** Returns the groups of a job that were part of an earlier job. */
  findCarriedGroups(job: BatchJob): Set<string> {
    const known = job.items.filter(
      item => this.items.has(item.id) || this.runsByItem.has(item.id),
    );
    return new Set(known.map(item => item.group));
  }

  /**
   * Returns the difference between the minimum versions of a job and of the
   * most recent earlier job with the same items; undefined when the job has no
   * item of an earlier job.
   */
  findVersionGap(job: BatchJob): number | undefined {
    const gaps = job.items
      .map(item => this.items.get(item.id) ?? this.runsByItem.get(item.id))
      .filter(saved => saved !== undefined)
      .map(saved => job.minVersion - saved.minVersion);
    return gaps.length === 0 ? undefined : Math.min(...gaps);
  }

  /**
   * Transfers the saved state of its items to a new job. Returns the detached
   * runs that the job reuses, and the obsolete ones, which must be stopped.
   */
  restoreInto(
    state: JobState,
    nowMs: number,
  ): {
    reusable: DetachedRun[];
    obsolete: DetachedRun[];
  } {
    const reusable: DetachedRun[] = [];
    const obsolete: DetachedRun[] = [];
    for (const [id, item] of state.items) {
      const saved = this.items.get(id);
      this.items.delete(id);
      if (saved !== undefined) {
        item.observedLength = saved.length;
        if (saved.result === undefined) {
          state.restoreText(id, saved.events, nowMs);
        } else state.restoreResult(saved.result, saved.scoringCall, nowMs);
      }
      const run = this.runsByItem.get(id);
      if (run === undefined) continue;
      this.removeRun(run);
      const isUsed =
        run.events.length >= item.events.length &&
        state.restoreText(id, run.events, nowMs);
      if (isUsed) reusable.push(run);
      else obsolete.push(run);
    }
    return {reusable, obsolete};
  }

  /** Applies an update of a run. Returns false when the run is not detached, or not
   * any more because events are missing before the update; its text so far is saved. */
  applyUpdate(update: RunUpdate): boolean {
    const run = this.runs.get(update.runId);
    if (run === undefined) return false;
    if (update.from > run.events.length) {
      this.finishRun(run.runId);
      return false;
    }
    const fresh = update.events.slice(run.events.length - update.from);
    run.events.push(...decodeEvents(fresh, update.software));
    if (update.end !== undefined) {
      this.finishRun(run.runId, update.end === 'completed');
    }
    return true;
  }

  /** Ends a run and saves its text; returns false when it is not detached. */
  finishRun(runId: string, isComplete = false): boolean {
    const run = this.runs.get(runId);
    if (run === undefined) return false;
    this.removeRun(run);
    const {itemId, events, minVersion} = run;
    const output = isComplete ? createCompletedResult(itemId, events) : events;
    this.storeItem(itemId, output, {minVersion});
    return true;
  }

  /** Ends the runs whose time is over and returns them, to be stopped. */
  expireRuns(nowMs: number): DetachedRun[] {
    const expired = [...this.runs.values()].filter(
      run => run.endsAtMs <= nowMs,
    );
    for (const run of expired) this.finishRun(run.runId);
    return expired;
  }

  private storeRun(run: DetachedRun): void {
    this.runs.set(run.runId, run);
    this.runsByItem.set(run.itemId, run);
  }

  private removeRun(run: DetachedRun): void {
    this.runs.delete(run.runId);
    this.runsByItem.delete(run.itemId);
  }

  private storeItem(
    itemId: string,
    output: JobResult | readonly TextEvent[],
    details: SavedItemDetails,
  ): void {
    this.items.delete(itemId);
    this.items.set(itemId, createSavedItem(output, details));
    for (const oldest of this.items.keys()) {
      if (this.items.size <= MAX_SAVED_ITEMS) return;
      this.items.delete(oldest);
    }
  }
}

function createSavedItem(
  output: JobResult | readonly TextEvent[],
  details: SavedItemDetails,
): SavedItem {
  const {length, minVersion, scoringCall} = details;
  const base = {
    result: undefined,
    events: [],
    minVersion,
    scoringCall,
  };
  if (!('state' in output)) {
    const isLonger =
      output.length > (length?.events ?? 0) && !length?.isComplete;
    const observed = isLonger
      ? {events: output.length, isComplete: false}
      : length;
    return {...base, events: output, length: observed};
  }
  if (output.state === 'dead') return {...base, length};
  const events = countEvents(output);
  return {...base, result: output, length: {events, isComplete: true}};
}
