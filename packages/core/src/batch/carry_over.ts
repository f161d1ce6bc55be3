/**
 * What ended batch jobs have left of their items: results, text, and runs that
 * go on for a while. A trainer sends the groups that it did not see whole again
 * in a later job, which starts from there if the versions fit. It always waits
 * for such a group, so that it must be known even where nothing is left of it.
 */
import {
  BatchJob,
  JobResult,
  TextEvent,
  createCompletedResult,
} from './batch_types';
import type {ItemState, JobState, ObservedLength} from './job_state';
import type {RunUpdate} from './run_messages';

/** Items that are remembered; the oldest are dropped. */
const MAX_ITEMS = 4_000;
/** Time for which runs of an ended job go on, in ms: longer than trainers
 * take between two steps, shorter than the bound on cancelling. */
const MAX_DETACHED_MS = 1_500;

/** What is left of an item: its result, or the text of a run that ended. */
interface SavedItem {
  readonly result: JobResult | undefined;
  readonly events: readonly TextEvent[];
  readonly length: ObservedLength | undefined;
  /** Oldest version that its job took. */
  readonly minVersion: number;
  /** Endpoints that broke it off without an event. */
  readonly brokenAt: ReadonlySet<string>;
}

/** What is known of an item beside what is left of it. */
interface SavedItemDetails {
  readonly length?: ObservedLength;
  readonly minVersion: number;
  readonly brokenAt?: ReadonlySet<string>;
}

/** A run of an ended job. */
export interface DetachedRun {
  readonly runId: string;
  readonly endpointId: string;
  readonly itemId: string;
  readonly events: TextEvent[];
  readonly endsAtMs: number;
  /** Oldest version that its job took. */
  readonly minVersion: number;
}

/** What ended jobs have left. */
export class CarryOver {
  private readonly items = new Map<string, SavedItem>();
  private readonly runs = new Map<string, DetachedRun>();
  private readonly runsByItem = new Map<string, DetachedRun>();

  private constructor() {}

  /** Builds an empty one. */
  static create(): CarryOver {
    return new CarryOver();
  }

  /** Keeps what a job that ends has of an item. */
  saveItem(state: ItemState, minVersion: number, nowMs: number): void {
    const {id} = state.item;
    const {run, events, result} = state;
    if (state.phase === 'running' && run !== undefined) {
      const {runId, endpointId} = run;
      const endsAtMs = nowMs + MAX_DETACHED_MS;
      const itemId = id;
      const lingering = {
        runId,
        endpointId,
        itemId,
        events,
        endsAtMs,
        minVersion,
      };
      this.runs.set(runId, lingering);
      this.runsByItem.set(id, lingering);
      return;
    }
    this.saveProgress(id, result ?? events, {
      length: state.observedLength,
      minVersion,
      brokenAt: state.breakingEndpoints,
    });
  }

  /** Notes the items of a job that ended under an earlier home. */
  recordEndedJob(state: JobState): void {
    for (const {item, result} of state.items.values()) {
      if (this.items.has(item.id)) continue;
      const {minVersion} = state.job;
      this.saveProgress(item.id, result ?? [], {minVersion});
    }
  }

  /** Returns the groups of a job that an earlier one had. */
  findCarriedGroups(job: BatchJob): Set<string> {
    const known = job.items.filter(
      item => this.items.has(item.id) || this.runsByItem.has(item.id),
    );
    return new Set(known.map(item => item.group));
  }

  /**
   * Returns by how many versions a job lies after the one that had its items;
   * undefined when it has none of an earlier job.
   */
  findVersionGap(job: BatchJob): number | undefined {
    const leads = job.items
      .map(item => this.items.get(item.id) ?? this.runsByItem.get(item.id))
      .filter(left => left !== undefined)
      .map(left => job.minVersion - left.minVersion);
    return leads.length === 0 ? undefined : Math.min(...leads);
  }

  /**
   * Gives a new job what is left of its items. Returns the runs that go on for
   * it, and those that are of no use to it.
   */
  restoreInto(state: JobState): {
    reusable: DetachedRun[];
    obsolete: DetachedRun[];
  } {
    const reusable: DetachedRun[] = [];
    const obsolete: DetachedRun[] = [];
    for (const [id, item] of state.items) {
      const left = this.items.get(id);
      this.items.delete(id);
      if (left !== undefined) {
        item.observedLength = left.length;
        item.breakingEndpoints = new Set(left.brokenAt);
        if (left.result !== undefined) state.restoreResult(left.result);
        else state.restoreText(id, left.events);
      }
      const run = this.runsByItem.get(id);
      if (run === undefined) continue;
      this.dropRun(run);
      const isUsed = state.restoreText(id, run.events);
      if (isUsed) reusable.push(run);
      else obsolete.push(run);
    }
    return {reusable, obsolete};
  }

  /** Takes news of a run; false when it is not one of these. */
  applyUpdate(update: RunUpdate): boolean {
    const run = this.runs.get(update.runId);
    if (run === undefined) return false;
    const fresh = update.events.slice(run.events.length - update.from);
    run.events.push(...fresh.map(([data, version]) => ({data, version})));
    if (update.end !== undefined) {
      this.finishRun(run.runId, update.end === 'completed');
    }
    return true;
  }

  /** Ends a run and keeps its text; false when it is not one of these. */
  finishRun(runId: string, isComplete = false): boolean {
    const run = this.runs.get(runId);
    if (run === undefined) return false;
    this.dropRun(run);
    const {itemId, events, minVersion} = run;
    const left = isComplete ? createCompletedResult(itemId, events) : events;
    this.saveProgress(itemId, left, {minVersion});
    return true;
  }

  /** Ends the runs whose time is up. */
  expireRuns(nowMs: number): DetachedRun[] {
    const expired = [...this.runs.values()].filter(
      run => run.endsAtMs <= nowMs,
    );
    for (const run of expired) this.finishRun(run.runId);
    return expired;
  }

  private dropRun(run: DetachedRun): void {
    this.runs.delete(run.runId);
    this.runsByItem.delete(run.itemId);
  }

  private saveProgress(
    itemId: string,
    left: JobResult | readonly TextEvent[],
    known: SavedItemDetails,
  ): void {
    this.items.delete(itemId);
    this.items.set(itemId, createSavedItem(left, known));
    for (const oldest of this.items.keys()) {
      if (this.items.size <= MAX_ITEMS) return;
      this.items.delete(oldest);
    }
  }
}

function createSavedItem(
  left: JobResult | readonly TextEvent[],
  {length, minVersion, brokenAt = new Set()}: SavedItemDetails,
): SavedItem {
  const nothing = {result: undefined, events: [], minVersion, brokenAt};
  if (!('state' in left)) {
    const isMore = left.length > (length?.events ?? 0) && !length?.isComplete;
    const seen = isMore ? {events: left.length, isComplete: false} : length;
    return {...nothing, events: left, length: seen};
  }
  if (left.state === 'dead') return {...nothing, length};
  const events = left.text.split('\n').length;
  return {...nothing, result: left, length: {events, isComplete: true}};
}
