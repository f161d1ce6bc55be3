/**
 * The coordinator's state of one batch job: the text and the run of each item,
 * and the results log. The order of results in the log is determined only by
 * records that the store has accepted, so all nodes see the same order.
 */
import {
  BatchJob,
  JobResult,
  RunEnd,
  TextEvent,
  ScoringCall,
  createDeadResult,
  createCompletedResult,
} from './batch_types';
import {adaptScore, settleItem} from './item_scoring';
import {
  ItemRun,
  ItemState,
  clearText,
  createItemState,
  isObsolete,
} from './item_state';

/** Delay before an item is retried, by how its run ended, in ms; 0 for other
 * ends. */
const RETRY_DELAY_MS: Readonly<Partial<Record<RunEnd, number>>> = {
  'not-run': 40,
  broken: 20,
  failed: 100,
};
/** Number of events by which a run reported by an agent must be ahead of the
 * item's present run to replace it: about 200 ms of generation. */
const MIN_LEAD_EVENTS = 5;
/** From this many interruptions in a row on without a new event, the item is retried
 * only after a longer delay: endpoints probably crash one after the other. */
const BREAKS_BEFORE_DELAY = 3;
/** That delay, in ms: an endpoint restarts within seconds of a crash. */
const REPEATED_BREAK_DELAY_MS = 1_500;
/** Time for which an item avoids an endpoint that interrupted it, in ms: longer
 * than its attempts at other endpoints take. */
const AVOID_BROKEN_MS = 4_000;
/** Time for which an item avoids an endpoint where it failed or stalled, in ms. */
export const AVOID_FAILED_MS = 3_000;

/** A group of items, which is usable only when complete. */
export interface GroupState {
  readonly name: string;
  readonly items: readonly ItemState[];
  /** Whether it was part of an earlier job; the trainer always waits for such
   * groups. A new coordinator learns it once it has loaded that job. */
  isCarried: boolean;
}

/** The coordinator's state of a batch job. */
export class JobState {
  readonly items: ReadonlyMap<string, ItemState>;
  readonly groups: readonly GroupState[];
  readonly results: JobResult[] = [];
  /** Number of the next record of the log. */
  nextRecord = 0;
  isEnded = false;

  private constructor(
    readonly job: BatchJob,
    /** Time of acceptance on the coordinator's monotonic clock. */
    readonly acceptedAtMs: number,
    carriedGroups: ReadonlySet<string>,
  ) {
    const items = job.items.map(createItemState);
    this.items = new Map(items.map(state => [state.item.id, state]));
    const byGroup = new Map<string, ItemState[]>();
    for (const state of items) {
      const members = byGroup.get(state.item.group) ?? [];
      members.push(state);
      byGroup.set(state.item.group, members);
    }
    this.groups = [...byGroup].map(([name, members]) => ({
      name,
      items: members,
      isCarried: carriedGroups.has(name),
    }));
  }

  /** Creates the state of an accepted job. `carriedGroups` names its groups that
   * were part of an earlier job. */
  static create(
    job: BatchJob,
    acceptedAtMs: number,
    carriedGroups: ReadonlySet<string> = new Set(),
  ): JobState {
    return new JobState(job, acceptedAtMs, carriedGroups);
  }

  /** Marks the groups that have any of the items as carried over; returns whether
   * there are any. */
  markCarried(itemIds: ReadonlySet<string>): boolean {
    const carried = this.groups.filter(group =>
      group.items.some(({item}) => itemIds.has(item.id)),
    );
    for (const group of carried) group.isCarried = true;
    return carried.length > 0;
  }

  /** Returns whether the results of all items are in the log. */
  isComplete(): boolean {
    return this.results.length === this.items.size;
  }

  /** Returns the number of groups whose results are all in the log. */
  countCompleteGroups(): number {
    return this.groups.filter(group =>
      group.items.every(state => state.phase === 'listed'),
    ).length;
  }

  /** Restores text of an item from an earlier run. Returns false when the item
   * does not wait or the versions of the text are not allowed. */
  restoreText(
    itemId: string,
    events: readonly TextEvent[],
    nowMs: number,
  ): boolean {
    const state = this.items.get(itemId);
    const isWaiting = state?.phase === 'waiting';
    if (!isWaiting || !this.hasAllowedVersions(events)) return false;
    state.events = [...events];
    state.lastEventAtMs = nowMs;
    return true;
  }

  /** Restores a result from an earlier job, whose item had the given scoring
   * call. Returns false when the item does not wait or the versions of the result
   * are not allowed. */
  restoreResult(
    result: JobResult,
    scoringCall: ScoringCall | undefined,
    nowMs: number,
  ): boolean {
    const state = this.items.get(result.itemId);
    const {minVersion, isSingleVersion} = this.job;
    const isFresh = result.versions.every(version => version >= minVersion);
    const isMixed = isSingleVersion && result.versions.length > 1;
    if (state?.phase !== 'waiting' || !isFresh || isMixed) return false;
    const adapted = adaptScore(result, scoringCall, state.item.scoringCall);
    settleItem(state, adapted, nowMs);
    return true;
  }

  /** Restores a complete text, and its score if there is one. Returns false like
   * `restoreText`. */
  restoreCompleteText(
    itemId: string,
    events: readonly TextEvent[],
    score: string | undefined,
    nowMs: number,
  ): boolean {
    const state = this.items.get(itemId);
    if (state === undefined) return false;
    if (!this.restoreText(itemId, events, nowMs)) return false;
    const result = createCompletedResult(itemId, events);
    settleItem(state, {...result, score}, nowMs);
    return true;
  }

  /** Returns whether no event is from a weight version that is too old, all are
   * from the same one if the job requires that, and all are from the same
   * software, since the output of two software versions does not fit together. */
  hasAllowedVersions(events: readonly TextEvent[]): boolean {
    const {minVersion, isSingleVersion} = this.job;
    const [first] = events;
    return events.every(
      ({version, software}) =>
        version >= minVersion &&
        (!isSingleVersion || version === first.version) &&
        software === first.software,
    );
  }

  /** Clears the text of an item if a run with this weight and software version
   * must not continue it; its length is remembered for predictions. */
  clearMixedText(itemId: string, version: number, software: string): void {
    const state = this.items.get(itemId);
    const last = state?.events.at(-1);
    if (state === undefined || last === undefined) return;
    const isMixed = this.job.isSingleVersion && last.version !== version;
    if (isMixed || last.software !== software) clearText(state);
  }

  /** Clears the text of an item if its oldest version is below `minVersion`; its
   * length is remembered for predictions. */
  clearObsoleteText(itemId: string, minVersion: number): void {
    const state = this.items.get(itemId);
    if (state !== undefined && isObsolete(state, minVersion)) clearText(state);
  }

  /** Records the start of a run; without effect unless the item waits. */
  startRun(itemId: string, run: ItemRun, nowMs: number): void {
    const state = this.items.get(itemId);
    if (state?.phase !== 'waiting') return;
    state.phase = 'running';
    state.run = run;
    state.lastEventAtMs = nowMs;
  }

  /**
   * Appends events of a run to the item's text. `firstEvent` is the position of
   * the first one in the complete text, starting at 0. Returns false when the run
   * must be stopped: it is not the item's present run, events are missing before
   * `firstEvent`, or versions of events are not allowed.
   */
  addEvents(
    itemId: string,
    runId: string,
    firstEvent: number,
    events: readonly TextEvent[],
    nowMs: number,
  ): boolean {
    const state = this.items.get(itemId);
    if (state?.phase !== 'running' || state.run?.runId !== runId) return false;
    if (firstEvent > state.events.length) return false;
    const fresh = events.slice(state.events.length - firstEvent);
    if (!this.hasAllowedVersions([...state.events.slice(-1), ...fresh])) {
      return false;
    }
    if (fresh.length === 0) return true;
    state.events.push(...fresh);
    state.lastEventAtMs = nowMs;
    state.consecutiveBreaks = 0;
    return true;
  }

  /** Ends a run and decides on a retry; without effect unless it is the item's
   * present run. */
  endRun(
    itemId: string,
    runId: string,
    end: RunEnd,
    nowMs: number,
    maxFailures: number,
  ): void {
    const state = this.items.get(itemId);
    if (state?.phase !== 'running' || state.run?.runId !== runId) return;
    const hasProgress = state.events.length > state.run.firstEvent;
    const {endpointId} = state.run;
    state.run = undefined;
    state.phase = 'waiting';
    state.retryAtMs = nowMs + (RETRY_DELAY_MS[end] ?? 0);
    if (end === 'completed') {
      settleItem(state, createCompletedResult(itemId, state.events), nowMs);
    } else if (end === 'impossible') {
      settleItem(state, createDeadResult(itemId), nowMs);
    } else if (end === 'failed') {
      state.failures += 1;
      state.avoidedEndpoints.set(endpointId, nowMs + AVOID_FAILED_MS);
      if (state.failures >= maxFailures) {
        settleItem(state, createDeadResult(itemId), nowMs);
      }
    } else if (end === 'broken' && !hasProgress) {
      state.avoidedEndpoints.set(endpointId, nowMs + AVOID_BROKEN_MS);
      state.consecutiveBreaks += 1;
      const isDelayed = state.consecutiveBreaks >= BREAKS_BEFORE_DELAY;
      if (isDelayed) state.retryAtMs = nowMs + REPEATED_BREAK_DELAY_MS;
    }
  }

  /** Ends the avoidance of endpoints whose time is over. */
  expireAvoidedEndpoints(nowMs: number): void {
    for (const {avoidedEndpoints} of this.items.values()) {
      for (const [endpointId, untilMs] of avoidedEndpoints) {
        if (untilMs <= nowMs) avoidedEndpoints.delete(endpointId);
      }
    }
  }

  /**
   * Detaches an item from its present run in favor of a run with the given text,
   * if that text is complete or well ahead. Returns the replaced run, which must
   * be stopped; undefined when the item keeps its run.
   */
  releaseRun(
    itemId: string,
    events: readonly TextEvent[],
    isComplete: boolean,
  ): ItemRun | undefined {
    const state = this.items.get(itemId);
    if (state?.phase !== 'running') return undefined;
    const lead = events.length - state.events.length;
    const isAhead = isComplete || lead >= MIN_LEAD_EVENTS;
    if (!isAhead || !this.hasAllowedVersions(events)) return undefined;
    const {run} = state;
    state.run = undefined;
    state.phase = 'waiting';
    return run;
  }

  /** Returns the results that are not in the log yet. */
  listUnlistedResults(): JobResult[] {
    const unlisted: JobResult[] = [];
    for (const state of this.items.values()) {
      if (state.phase === 'finished' && state.result !== undefined) {
        unlisted.push(state.result);
      }
    }
    return unlisted;
  }

  /** Applies a record that was appended to the log: its results are listed in its
   * order. */
  applyResults(results: readonly JobResult[]): void {
    this.nextRecord += 1;
    for (const result of results) {
      const state = this.items.get(result.itemId);
      if (state === undefined || state.phase === 'listed') continue;
      state.phase = 'listed';
      state.run = undefined;
      state.scoring = undefined;
      state.result = result;
      state.events = [];
      this.results.push(result);
    }
  }

  /** Marks unfinished items as dead and returns their IDs. */
  abandonUnfinished(nowMs: number): string[] {
    const abandoned: string[] = [];
    for (const state of this.items.values()) {
      if (state.phase === 'finished' || state.phase === 'listed') continue;
      settleItem(state, createDeadResult(state.item.id), nowMs);
      abandoned.push(state.item.id);
    }
    return abandoned;
  }
}
