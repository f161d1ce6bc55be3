/**
 * The coordinator's state of one item of a batch job: its text, its present run,
 * and what its earlier runs have shown.
 */
import type {JobItem, JobResult, TextEvent} from './batch_types';
import type {ItemScoring} from './item_scoring';

/** The present run of an item. */
export interface ItemRun {
  /** Unique among the runs of all items. */
  readonly runId: string;
  readonly endpointId: string;
  readonly startedAtMs: number;
  /** Number of events of the text before the run. */
  readonly firstEvent: number;
}

/** Length of an item's text that was observed in an earlier job. */
export interface ObservedLength {
  readonly events: number;
  /** Whether the text was complete; if not, it was at least this long. */
  readonly isComplete: boolean;
}

/** State of an item of an open job. */
export interface ItemState {
  readonly item: JobItem;
  /** Length in an earlier job; undefined when unknown. */
  observedLength: ObservedLength | undefined;
  /** `scoring` has a complete text without its score, `finished` a result that is
   * not in the log yet, `listed` one that is. */
  phase: 'waiting' | 'running' | 'scoring' | 'finished' | 'listed';
  events: TextEvent[];
  run: ItemRun | undefined;
  /** Result of a finished or listed item; in phase `scoring` without its score. */
  result: JobResult | undefined;
  /** Defined in phase `scoring`. */
  scoring: ItemScoring | undefined;
  /** Time at which it was finished. */
  finishedAtMs: number;
  /** Earliest time of the next start. */
  retryAtMs: number;
  /** Whether it must not start, since endpoints have crashed under it. */
  isHeld: boolean;
  /** Number of failed attempts. */
  failures: number;
  /** Interruptions since the last event. */
  consecutiveBreaks: number;
  /** Endpoints where it must not start, and the times until which this holds. */
  readonly avoidedEndpoints: Map<string, number>;
  /** Time of the last event, or of the start of the present run or of the
   * restoration of the text if later. */
  lastEventAtMs: number;
}

/** Returns whether the text of an item begins with an older version. */
export function isObsolete(state: ItemState, minVersion: number): boolean {
  const first = state.events[0];
  return first !== undefined && first.version < minVersion;
}

/** Creates the state of an item that waits for its first run. */
export function createItemState(item: JobItem): ItemState {
  return {
    item,
    observedLength: undefined,
    phase: 'waiting',
    events: [],
    run: undefined,
    result: undefined,
    scoring: undefined,
    finishedAtMs: 0,
    retryAtMs: 0,
    isHeld: false,
    failures: 0,
    consecutiveBreaks: 0,
    avoidedEndpoints: new Map(),
    lastEventAtMs: 0,
  };
}

/** Clears the text of an item and remembers its length for predictions. */
export function clearText(state: ItemState): void {
  const {observedLength, events} = state;
  if (!observedLength?.isComplete) {
    const known = observedLength?.events ?? 0;
    const longest = Math.max(known, events.length);
    state.observedLength = {events: longest, isComplete: false};
  }
  state.events = [];
}
