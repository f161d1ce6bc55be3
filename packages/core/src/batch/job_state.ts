/**
 * The state of one batch job at its home: what each item has generated, where
 * it runs, and the log of results. Positions of the log are given only by
 * records that the store has taken, so that no node ever sees another order.
 */
import {
  BatchJob,
  JobItem,
  JobResult,
  RunEnd,
  TextEvent,
  createDeadResult,
  createCompletedResult,
} from './batch_types';

/** Time before an item is tried again after a break or a rejection, in ms. */
const RETRY_DELAY_MS: Readonly<Partial<Record<RunEnd, number>>> = {
  'not-run': 40,
  broken: 20,
  failed: 100,
};
/** Events by which a run that an agent tells of must be ahead of the present
 * one to replace it: about a fifth of a second of generation. */
const MIN_LEAD_EVENTS = 5;
/** Endpoints that may break off an item, none having made an event of it,
 * before it counts as one that crashes endpoints. */
const MAX_BREAKING_ENDPOINTS = 5;
/** The same for breaks in a row, where there are few endpoints. */
const MAX_BREAKS = 8;
/** Breaks in a row after which it waits for longer, since it may have crashed
 * an endpoint each time. */
const BREAKS_BEFORE_DELAY = 3;
/** That wait, in ms: endpoints are back some seconds after a crash. */
const REPEATED_BREAK_DELAY_MS = 1_500;
/** Time for which an item avoids an endpoint that broke it off, in ms: longer
 * than its tries at others take. */
const AVOID_BROKEN_MS = 4_000;
/** The same where it failed or stalled, in ms. */
export const AVOID_FAILED_MS = 3_000;

/** Where an item runs. */
export interface ItemRun {
  /** Name of the run, unique among runs of all items. */
  readonly runId: string;
  readonly endpointId: string;
  readonly startedAtMs: number;
  /** Events that were there when it began. */
  readonly firstEvent: number;
}

/** What an earlier job has shown of the length of an item. */
export interface ObservedLength {
  readonly events: number;
  /** Whether that is all of it, or what there was when it was left. */
  readonly isComplete: boolean;
}

/** State of one item. */
export interface ItemState {
  readonly item: JobItem;
  /** What is known of its length; undefined for nothing. */
  observedLength: ObservedLength | undefined;
  phase: 'waiting' | 'running' | 'finished' | 'listed';
  events: TextEvent[];
  run: ItemRun | undefined;
  /** Result that waits for its place in the log. */
  result: JobResult | undefined;
  /** Not started again before this time. */
  retryAtMs: number;
  /** Answers by which an endpoint failed it. */
  failures: number;
  /** Breaks since it last made an event, and the endpoints of them. */
  consecutiveBreaks: number;
  breakingEndpoints: Set<string>;
  /** Endpoints to which it does not go now, and up to when. */
  readonly avoidedEndpoints: Map<string, number>;
  /** When the last event arrived. */
  lastEventAtMs: number;
}

/** A group of items that is worth something only when whole. */
export interface GroupState {
  readonly name: string;
  readonly items: readonly ItemState[];
  /** Whether the trainer waits for it whichever others are complete. */
  readonly isCarried: boolean;
}

/** A batch job at its home. */
export class JobState {
  readonly items: ReadonlyMap<string, ItemState>;
  readonly groups: readonly GroupState[];
  readonly results: JobResult[] = [];
  /** Number of the next record of the log. */
  nextRecord = 0;
  isEnded = false;

  private constructor(
    readonly job: BatchJob,
    /** Time of acceptance on the home's monotonic clock. */
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

  /** Builds the state of an accepted job. */
  static create(
    job: BatchJob,
    acceptedAtMs: number,
    carriedGroups: ReadonlySet<string> = new Set(),
  ): JobState {
    return new JobState(job, acceptedAtMs, carriedGroups);
  }

  /** Tells whether every item is listed. */
  isComplete(): boolean {
    return this.results.length === this.items.size;
  }

  /** Counts the groups whose items are all listed. */
  countCompleteGroups(): number {
    return this.groups.filter(group =>
      group.items.every(state => state.phase === 'listed'),
    ).length;
  }

  /** Takes over text that an earlier job has left of an item. */
  restoreText(itemId: string, events: readonly TextEvent[]): boolean {
    const state = this.items.get(itemId);
    const isWaiting = state?.phase === 'waiting';
    if (!isWaiting || !this.hasAllowedVersions(events)) return false;
    state.events = [...events];
    return true;
  }

  /** Takes over a result of an earlier job, if its versions fit. */
  restoreResult(result: JobResult): boolean {
    const state = this.items.get(result.itemId);
    const {minVersion, isSingleVersion} = this.job;
    const isFresh = result.versions.every(version => version >= minVersion);
    const isMixed = isSingleVersion && result.versions.length > 1;
    if (state?.phase !== 'waiting' || !isFresh || isMixed) return false;
    finishItem(state, result);
    return true;
  }

  /** Tells whether text may be used: no event is of too old a version, and
   * all are of one where the job asks for that. */
  hasAllowedVersions(events: readonly TextEvent[]): boolean {
    const {minVersion, isSingleVersion} = this.job;
    const first = events[0]?.version;
    return events.every(
      ({version}) =>
        version >= minVersion && (!isSingleVersion || version === first),
    );
  }

  /** Drops text that an endpoint of a version could not go on with. */
  clearMixedText(itemId: string, version: number): void {
    const state = this.items.get(itemId);
    const isMixed = state?.events.at(-1)?.version !== version;
    if (state !== undefined && this.job.isSingleVersion && isMixed) {
      state.events = [];
    }
  }

  /** Notes that a run was sent to an endpoint. */
  startRun(itemId: string, run: ItemRun, nowMs: number): void {
    const state = this.items.get(itemId);
    if (state?.phase !== 'waiting') return;
    state.phase = 'running';
    state.run = run;
    state.lastEventAtMs = nowMs;
  }

  /**
   * Takes events of a run, numbered from 0 over the whole text. Returns false
   * when the run must be stopped: it is not the item's, leaves a gap, or
   * generates with weights that are too old.
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
    state.breakingEndpoints.clear();
    return true;
  }

  /** Takes the end of a run; a run that is not the item's changes nothing. */
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
      finishItem(state, createCompletedResult(itemId, state.events));
    } else if (end === 'impossible') {
      finishItem(state, createDeadResult(itemId));
    } else if (end === 'failed') {
      state.failures += 1;
      state.avoidedEndpoints.set(endpointId, nowMs + AVOID_FAILED_MS);
      if (state.failures >= maxFailures) {
        finishItem(state, createDeadResult(itemId));
      }
    } else if (end === 'broken' && !hasProgress) {
      state.breakingEndpoints.add(endpointId);
      state.avoidedEndpoints.set(endpointId, nowMs + AVOID_BROKEN_MS);
      state.consecutiveBreaks += 1;
      const isCareful = state.consecutiveBreaks >= BREAKS_BEFORE_DELAY;
      if (isCareful) state.retryAtMs = nowMs + REPEATED_BREAK_DELAY_MS;
    }
  }

  /** Lets items go again to endpoints that they have avoided for long. */
  expireAvoidedEndpoints(nowMs: number): void {
    for (const {avoidedEndpoints: avoided} of this.items.values()) {
      for (const [endpointId, untilMs] of avoided) {
        if (untilMs <= nowMs) avoided.delete(endpointId);
      }
    }
  }

  /**
   * Takes an item from its present run in favour of another with this text,
   * if that is whole or well ahead. Returns the run that is given up.
   */
  releaseRun(
    itemId: string,
    events: readonly TextEvent[],
    isWhole: boolean,
  ): ItemRun | undefined {
    const state = this.items.get(itemId);
    if (state?.phase !== 'running') return undefined;
    const lead = events.length - state.events.length;
    const isAhead = isWhole || lead >= MIN_LEAD_EVENTS;
    if (!isAhead || !this.hasAllowedVersions(events)) return undefined;
    const {run} = state;
    state.run = undefined;
    state.phase = 'waiting';
    return run;
  }

  /** Lists results that wait for their place in the log. */
  listUnlistedResults(): JobResult[] {
    const unlisted: JobResult[] = [];
    for (const state of this.items.values()) {
      if (state.phase === 'finished' && state.result !== undefined) {
        unlisted.push(state.result);
      }
    }
    return unlisted;
  }

  /** Takes results that a record of the log lists, in its order. */
  applyResults(results: readonly JobResult[]): void {
    this.nextRecord += 1;
    for (const result of results) {
      const state = this.items.get(result.itemId);
      if (state === undefined || state.phase === 'listed') continue;
      state.phase = 'listed';
      state.run = undefined;
      state.result = result;
      state.events = [];
      this.results.push(result);
    }
  }

  /** Gives up items that have not ended; they are listed as dead. */
  abandonUnfinished(): string[] {
    const given: string[] = [];
    for (const state of this.items.values()) {
      if (state.phase === 'finished' || state.phase === 'listed') continue;
      finishItem(state, createDeadResult(state.item.id));
      given.push(state.item.id);
    }
    return given;
  }
}

/** Tells whether an item breaks every endpoint that begins to run it. */
export function isSuspect(state: ItemState): boolean {
  const {consecutiveBreaks: breaks, breakingEndpoints: brokenAt} = state;
  return brokenAt.size >= MAX_BREAKING_ENDPOINTS || breaks >= MAX_BREAKS;
}

function createItemState(item: JobItem): ItemState {
  return {
    item,
    observedLength: undefined,
    phase: 'waiting',
    events: [],
    run: undefined,
    result: undefined,
    retryAtMs: 0,
    failures: 0,
    consecutiveBreaks: 0,
    breakingEndpoints: new Set(),
    avoidedEndpoints: new Map(),
    lastEventAtMs: 0,
  };
}

function finishItem(state: ItemState, result: JobResult): void {
  state.phase = 'finished';
  state.run = undefined;
  state.result = result;
}
