/**
 * Estimates when items can end at the endpoints of a service, from their stated
 * limits, slots, token times and runs.
 *
 * Endpoints with a limit and endpoints without one are each taken as one lane, so
 * that the estimate of a large site costs a few operations for each item.
 */
import type {BatchEndpointView} from './start_plan';
import {SLOWDOWN_PER_RUN} from './token_time_estimator';

const MS_PER_SECOND = 1_000;

/** Endpoints that are estimated together. */
interface Lane {
  /** Times at which slots become free, as a binary heap. */
  readonly freeAtMs: number[];
  /** Time per token with most slots in use, in ms. */
  readonly msPerToken: number;
  /** Time between starts, in ms; 0 without a limit. */
  readonly startIntervalMs: number;
  /** Earliest time of the next start under the limit; in the past if several may
   * start at once. */
  nextStartAtMs: number;
}

/** Capacity of a service's endpoints from now on. */
export class ServiceCapacity {
  private constructor(
    private readonly lanes: readonly Lane[],
    private readonly nowMs: number,
  ) {}

  static create(
    endpoints: readonly BatchEndpointView[],
    nowMs: number,
  ): ServiceCapacity {
    const open = endpoints.filter(({isOpen}) => isOpen);
    const limited = open.filter(
      endpoint => endpoint.startsPerSecond < Infinity,
    );
    const unlimited = open.filter(
      endpoint => endpoint.startsPerSecond === Infinity,
    );
    const lanes = [limited, unlimited]
      .filter(list => list.length > 0)
      .map(list => createLane(list, nowMs));
    return new ServiceCapacity(lanes, nowMs);
  }

  /** Returns the number of items of a mean length that can run within a time in
   * ms, as far as slots and limits allow. */
  countItems(meanTokens: number, withinMs: number): number {
    return this.lanes.reduce((sum, lane) => {
      const itemMs = Math.max(1, meanTokens * lane.msPerToken);
      const bySlots = (lane.freeAtMs.length * withinMs) / itemMs;
      const leftMs = this.nowMs + withinMs - lane.nextStartAtMs;
      const byLimit =
        lane.startIntervalMs === 0
          ? Infinity
          : Math.max(0, leftMs / lane.startIntervalMs + 1);
      return sum + Math.min(bySlots, byLimit);
    }, 0);
  }

  /** Places items with these numbers of remaining tokens, the longest first, where
   * they end first. Returns whether all can end in time; if not, none is placed. */
  tryPlace(tokens: readonly number[], deadlineAtMs: number): boolean {
    const undo: Array<() => void> = [];
    const ordered = [...tokens].sort((a, b) => b - a);
    const isInTime = ordered.every(count => {
      const best = this.findEarliest(count);
      if (best === undefined || best.endAtMs > deadlineAtMs) return false;
      undo.push(useSlot(best.lane, best.endAtMs));
      return true;
    });
    if (!isInTime) for (const restore of undo.reverse()) restore();
    return isInTime;
  }

  private findEarliest(tokens: number) {
    let best: {lane: Lane; endAtMs: number} | undefined;
    for (const lane of this.lanes) {
      const startAtMs = Math.max(lane.freeAtMs[0], lane.nextStartAtMs);
      const endAtMs = startAtMs + tokens * lane.msPerToken;
      if (endAtMs < (best?.endAtMs ?? Infinity)) best = {lane, endAtMs};
    }
    return best;
  }
}

function createLane(endpoints: readonly BatchEndpointView[], nowMs: number) {
  const freeAtMs: number[] = [];
  let perSecond = 0;
  let startsLeft = 0;
  let msPerToken = 0;
  for (const endpoint of endpoints) {
    const {slots, runs, memory} = endpoint;
    const slowMs = endpoint.msPerToken * (1 + SLOWDOWN_PER_RUN * (slots - 1));
    msPerToken += slowMs / endpoints.length;
    perSecond += endpoint.startsPerSecond;
    startsLeft += endpoint.startsLeft;
    for (let slot = 0; slot < slots; slot++) {
      const remaining = memory[slot]?.remainingTokens ?? 0;
      // A reserved slot has no run yet; its item is placed by the plan.
      freeAtMs.push(nowMs + (slot < runs ? remaining * slowMs : 0));
    }
  }
  freeAtMs.sort((a, b) => a - b);
  const isLimited = perSecond < Infinity;
  const startIntervalMs = isLimited
    ? MS_PER_SECOND / Math.max(perSecond, Number.MIN_VALUE)
    : 0;
  const nextStartAtMs = isLimited
    ? nowMs + startIntervalMs * (1 - startsLeft)
    : nowMs;
  return {freeAtMs, msPerToken, startIntervalMs, nextStartAtMs};
}

/** Takes the slot of a lane that is free first; returns a function that undoes
 * it. */
function useSlot(lane: Lane, endAtMs: number): () => void {
  const {nextStartAtMs} = lane;
  const before = replaceFirst(lane.freeAtMs, endAtMs);
  lane.nextStartAtMs += lane.startIntervalMs;
  return () => {
    lane.nextStartAtMs = nextStartAtMs;
    for (const [index, value] of before) lane.freeAtMs[index] = value;
  };
}

/** Replaces the least value of a heap; returns the values that changed. */
function replaceFirst(heap: number[], value: number): Array<[number, number]> {
  const before: Array<[number, number]> = [];
  let index = 0;
  for (;;) {
    let child = 2 * index + 1;
    if (child + 1 < heap.length && heap[child + 1] < heap[child]) child += 1;
    before.push([index, heap[index]]);
    if (child >= heap.length || heap[child] >= value) break;
    heap[index] = heap[child];
    index = child;
  }
  heap[index] = value;
  return before;
}
