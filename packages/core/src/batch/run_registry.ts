/**
 * The runs of one agent, and what the coordinator has acknowledged of them. An
 * ended run remains until the coordinator releases it, since its result is
 * stored only then.
 */
import type {RunEnd, TextEvent} from './batch_types';
import {RunOrder, RunUpdate, decodeEvents} from './run_messages';

/** Maximum time for which unsent events wait for an answer, in ms. */
const PROGRESS_DELAY_MS = 200;
/** Time for which the end of a run waits for further ends to share its answer,
 * in ms. */
const END_DELAY_MS = 10;
/** Time after its end at which an unreleased run is removed, in ms. */
const ENDED_RUN_TTL_MS = 30_000;

/** A run of the agent and the progress of its transfer to the coordinator. */
export interface RegisteredRun {
  readonly order: RunOrder;
  readonly events: TextEvent[];
  end: RunEnd | undefined;
  /** Number of events that the coordinator has acknowledged, and number of events
   * that were sent. */
  acknowledgedEvents: number;
  sentEvents: number;
  isEndAcknowledged: boolean;
  isEndSent: boolean;
  /** Time of the oldest unsent update; undefined when there is none. */
  unsentSinceMs: number | undefined;
  endedAtMs: number;
}

/** The runs of an agent by run ID. */
export class RunRegistry {
  private readonly runs = new Map<string, RegisteredRun>();
  private sequence = 0;

  private constructor() {}

  static create(): RunRegistry {
    return new RunRegistry();
  }

  /** Adds a run; returns false when it exists already. */
  add(order: RunOrder, nowMs: number): boolean {
    if (this.runs.has(order.runId)) return false;
    const prior = decodeEvents(order.prior, order.software);
    this.runs.set(order.runId, {
      order,
      events: prior,
      end: undefined,
      acknowledgedEvents: prior.length,
      sentEvents: prior.length,
      isEndAcknowledged: false,
      isEndSent: false,
      unsentSinceMs: nowMs,
      endedAtMs: 0,
    });
    return true;
  }

  find(runId: string): RegisteredRun | undefined {
    return this.runs.get(runId);
  }

  /** Returns the runs that have not ended. */
  listActive(): RegisteredRun[] {
    return [...this.runs.values()].filter(run => run.end === undefined);
  }

  /** Appends an event to an active run; returns true when the run had no other
   * unsent update. */
  addEvent(runId: string, event: TextEvent, nowMs: number): boolean {
    const run = this.runs.get(runId);
    if (run === undefined || run.end !== undefined) return false;
    const isFirst = run.unsentSinceMs === undefined;
    run.events.push(event);
    run.unsentSinceMs ??= nowMs;
    return isFirst;
  }

  /** Ends a run; returns false when it is unknown or has ended already. */
  end(runId: string, end: RunEnd, nowMs: number): boolean {
    const run = this.runs.get(runId);
    if (run === undefined || run.end !== undefined) return false;
    run.end = end;
    run.endedAtMs = nowMs;
    run.unsentSinceMs ??= nowMs;
    return true;
  }

  /** Returns whether the coordinator has acknowledged all events and ends. */
  isAllAcknowledged(): boolean {
    return [...this.runs.values()].every(isAcknowledged);
  }

  /** Removes those of the runs that have ended, since their results are stored. */
  release(runIds: readonly string[]): void {
    for (const runId of runIds) {
      if (this.runs.get(runId)?.end !== undefined) this.runs.delete(runId);
    }
  }

  /** Removes ended runs that were not released in time. */
  removeExpired(nowMs: number): void {
    for (const [runId, run] of this.runs) {
      const isOld = nowMs - run.endedAtMs > ENDED_RUN_TTL_MS;
      if (run.end !== undefined && isOld) this.runs.delete(runId);
    }
  }

  /** Marks everything as unsent, for a coordinator that has received nothing. */
  resetAcknowledgements(): void {
    for (const run of this.runs.values()) {
      run.acknowledgedEvents = 0;
      run.sentEvents = 0;
      run.isEndAcknowledged = false;
      run.isEndSent = false;
      run.unsentSinceMs ??= 0;
    }
  }

  /** Applies the number of the last answer that the coordinator received. Unless
   * it is that of the latest answer, what was not acknowledged is sent again. */
  acknowledge(after: number): void {
    const isLatest = after === this.sequence;
    for (const run of this.runs.values()) {
      if (isLatest) {
        run.acknowledgedEvents = run.sentEvents;
        run.isEndAcknowledged = run.isEndSent;
      } else {
        run.sentEvents = run.acknowledgedEvents;
        run.isEndSent = run.isEndAcknowledged;
        if (hasUnsentUpdates(run)) run.unsentSinceMs ??= 0;
      }
    }
  }

  /** Returns the time until the next answer must be sent, in ms; 0 for now, and
   * Infinity when there is nothing to send. */
  computeAnswerDelayMs(nowMs: number): number {
    let delayMs = Infinity;
    for (const run of this.runs.values()) {
      if (run.unsentSinceMs === undefined) continue;
      const isEnd = run.end !== undefined && !run.isEndSent;
      const dueAtMs = isEnd
        ? run.endedAtMs + END_DELAY_MS
        : run.unsentSinceMs + PROGRESS_DELAY_MS;
      delayMs = Math.min(delayMs, dueAtMs - nowMs);
    }
    return Math.max(0, delayMs);
  }

  /** Returns the updates that the coordinator has not acknowledged and the number of
   * the answer with them, and marks them as sent. Updates of an earlier answer are
   * among them, since a call that is no longer read may have taken it. */
  takeUpdates(): {sequence: number; updates: RunUpdate[]} {
    const updates: RunUpdate[] = [];
    for (const run of this.runs.values()) {
      const isSettled = run.unsentSinceMs === undefined && isAcknowledged(run);
      if (isSettled) continue;
      run.unsentSinceMs = undefined;
      updates.push(createUpdate(run));
      run.sentEvents = run.events.length;
      run.isEndSent = run.end !== undefined;
    }
    this.sequence += 1;
    return {sequence: this.sequence, updates};
  }
}

function isAcknowledged(run: RegisteredRun): boolean {
  return (
    run.acknowledgedEvents === run.events.length &&
    run.isEndAcknowledged === (run.end !== undefined)
  );
}

function hasUnsentUpdates(run: RegisteredRun): boolean {
  const hasEnd = run.end !== undefined && !run.isEndSent;
  return hasEnd || run.events.length > run.sentEvents;
}

function createUpdate(run: RegisteredRun): RunUpdate {
  const {runId, jobId, itemId, endpointId, software, prior} = run.order;
  return {
    runId,
    jobId,
    itemId,
    endpointId,
    software,
    firstEvent: prior.length,
    from: run.acknowledgedEvents,
    events: run.events
      .slice(run.acknowledgedEvents)
      .map(event => [event.data, event.version]),
    end: run.end,
  };
}
