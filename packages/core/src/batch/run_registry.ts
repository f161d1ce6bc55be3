/**
 * The runs of one agent, and how much of them its home has received. Ended
 * runs stay until the home releases them, since only then their results are
 * safe.
 */
import type {RunEnd, TextEvent} from './batch_types';
import type {RunOrder, RunUpdate} from './run_messages';

/** Time after which events that were not sent yet make an answer, in ms. */
const PROGRESS_DELAY_MS = 200;
/** Time for further ends to join the answer that tells of one, in ms. */
const END_DELAY_MS = 10;
/** Time after which a run that nobody releases is forgotten, in ms. */
const ENDED_RUN_TTL_MS = 30_000;

/** A run. */
export interface RegisteredRun {
  readonly order: RunOrder;
  readonly events: TextEvent[];
  end: RunEnd | undefined;
  /** Events that the home has acknowledged, and those sent last. */
  acknowledgedEvents: number;
  sentEvents: number;
  isEndAcknowledged: boolean;
  isEndSent: boolean;
  /** When something not yet sent happened first; undefined for nothing. */
  unsentSinceMs: number | undefined;
  endedAtMs: number;
}

/** Runs of an agent. */
export class RunRegistry {
  private readonly runs = new Map<string, RegisteredRun>();
  private sequence = 0;

  private constructor() {}

  /** Builds an empty book. */
  static create(): RunRegistry {
    return new RunRegistry();
  }

  /** Enters a run; false when it is there already. */
  add(order: RunOrder, nowMs: number): boolean {
    if (this.runs.has(order.runId)) return false;
    const prior = order.prior.map(([data, version]) => ({data, version}));
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

  /** Finds a run. */
  find(runId: string): RegisteredRun | undefined {
    return this.runs.get(runId);
  }

  /** Lists the runs that have not ended. */
  listActive(): RegisteredRun[] {
    return [...this.runs.values()].filter(run => run.end === undefined);
  }

  /** Adds an event to a run; true when the run had no other news. */
  addEvent(runId: string, event: TextEvent, nowMs: number): boolean {
    const run = this.runs.get(runId);
    if (run === undefined || run.end !== undefined) return false;
    const isFirst = run.unsentSinceMs === undefined;
    run.events.push(event);
    run.unsentSinceMs ??= nowMs;
    return isFirst;
  }

  /** Ends a run; false when it has ended already. */
  end(runId: string, end: RunEnd, nowMs: number): boolean {
    const run = this.runs.get(runId);
    if (run === undefined || run.end !== undefined) return false;
    run.end = end;
    run.endedAtMs = nowMs;
    run.unsentSinceMs ??= nowMs;
    return true;
  }

  /** Tells whether the home has received everything. */
  isAllAcknowledged(): boolean {
    return [...this.runs.values()].every(
      run =>
        run.acknowledgedEvents === run.events.length &&
        run.isEndAcknowledged === (run.end !== undefined),
    );
  }

  /** Forgets runs whose results are safe. */
  release(runIds: readonly string[]): void {
    for (const runId of runIds) {
      if (this.runs.get(runId)?.end !== undefined) this.runs.delete(runId);
    }
  }

  /** Forgets ended runs that nobody has released in time. */
  removeExpired(nowMs: number): void {
    for (const [runId, run] of this.runs) {
      const isOld = nowMs - run.endedAtMs > ENDED_RUN_TTL_MS;
      if (run.end !== undefined && isOld) this.runs.delete(runId);
    }
  }

  /** Begins anew for another home, which has received nothing. */
  resetAcknowledgements(): void {
    for (const run of this.runs.values()) {
      run.acknowledgedEvents = 0;
      run.sentEvents = 0;
      run.isEndAcknowledged = false;
      run.isEndSent = false;
      run.unsentSinceMs ??= 0;
    }
  }

  /** Takes the number of the last answer that the home has received. */
  acknowledge(after: number): void {
    const isReceived = after === this.sequence;
    for (const run of this.runs.values()) {
      if (isReceived) {
        run.acknowledgedEvents = run.sentEvents;
        run.isEndAcknowledged = run.isEndSent;
      } else {
        run.sentEvents = run.acknowledgedEvents;
        run.isEndSent = run.isEndAcknowledged;
        if (hasUnsentUpdates(run)) run.unsentSinceMs ??= 0;
      }
    }
  }

  /** Returns the time until the next answer is due, in ms; 0 for now. */
  computeAnswerDelayMs(nowMs: number): number {
    let dueMs = Infinity;
    for (const run of this.runs.values()) {
      if (run.unsentSinceMs === undefined) continue;
      const isEnd = run.end !== undefined && !run.isEndSent;
      const dueAtMs = isEnd
        ? run.endedAtMs + END_DELAY_MS
        : run.unsentSinceMs + PROGRESS_DELAY_MS;
      dueMs = Math.min(dueMs, dueAtMs - nowMs);
    }
    return Math.max(0, dueMs);
  }

  /** Returns what is new, and the number of the answer that carries it. */
  takeUpdates(): {sequence: number; updates: RunUpdate[]} {
    const updates: RunUpdate[] = [];
    for (const run of this.runs.values()) {
      if (run.unsentSinceMs === undefined) continue;
      run.unsentSinceMs = undefined;
      updates.push(createUpdate(run));
      run.sentEvents = run.events.length;
      run.isEndSent = run.end !== undefined;
    }
    this.sequence += 1;
    return {sequence: this.sequence, updates};
  }
}

function hasUnsentUpdates(run: RegisteredRun): boolean {
  const hasEnd = run.end !== undefined && !run.isEndSent;
  return hasEnd || run.events.length > run.sentEvents;
}

function createUpdate(run: RegisteredRun): RunUpdate {
  const {runId, jobId, itemId, endpointId, prior} = run.order;
  return {
    runId,
    jobId,
    itemId,
    endpointId,
    firstEvent: prior.length,
    from: run.sentEvents,
    events: run.events
      .slice(run.sentEvents)
      .map(event => [event.data, event.version]),
    end: run.end,
  };
}
