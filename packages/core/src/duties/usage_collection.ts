/**
 * What the coordinator knows of calls' starts, and which windows of true time it
 * can close. True time is the median of all nodes' wall clocks, so that a clock
 * that is set on under half of the VMs changes nothing.
 */
import {LEDGER_KEPT_MS, SPAN_MS, SpanCount} from './usage_ledger';

/** Time after a window's end up to which an entry's starts must be known, in ms:
 * two pushes and the answers that withdraw a start. */
const SETTLE_MS = 2_500;
/** Time after a window's end at which it is closed in any case, in ms: 2,500 ms
 * before the report is due. */
const LATEST_CLOSE_MS = 7_500;
/** Time for which starts are kept, in ms: 8 windows and the time to close. */
const KEPT_MS = 60_000;

/** A message of an entry, received at `atMs` on the coordinator's clock. */
export interface UsagePush {
  readonly entry: string;
  readonly incarnation: string;
  /** Sender's monotonic clock, in ms since the start of its process. */
  readonly nowMs: number;
  readonly wallMs: number;
  readonly counts: readonly SpanCount[];
}

interface EntryState {
  readonly name: string;
  readonly incarnation: string;
  /** Coordinator's minus sender's monotonic clock: the least difference seen,
   * which is that of the fastest message. */
  clockDifferenceMs: number;
  /** Sender's wall clock minus the coordinator's monotonic clock. */
  wallOffsetMs: number;
  /** Coordinator's time up to which the starts are complete. */
  completeUntilMs: number;
  readonly spans: Map<number, Map<string, number>>;
}

/** A window whose counts are final. */
export interface ClosedWindow {
  readonly number: number;
  readonly counts: Readonly<Record<string, number>>;
}

export interface CloseRequest {
  /** Coordinator's monotonic and wall clock. */
  readonly nowMs: number;
  readonly wallMs: number;
  /** Names of the registered entries. */
  readonly entries: readonly string[];
  /** First window to close; undefined: the first that began after a node. */
  readonly first: number | undefined;
}

export class UsageCollection {
  private readonly states = new Map<string, EntryState>();
  /** Last time at which a configuration had the customer. */
  private readonly customersSeen = new Map<string, number>();
  private customers: readonly string[] = [];
  private configuredAtMs = Infinity;

  private constructor(private readonly windowMs: number) {}

  static create(windowMs: number): UsageCollection {
    return new UsageCollection(windowMs);
  }

  /** Takes in the names of a new configuration's customers. */
  setCustomers(names: readonly string[], nowMs: number): void {
    for (const name of this.customers) this.customersSeen.set(name, nowMs);
    for (const name of names) this.customersSeen.set(name, nowMs);
    this.customers = names;
    this.configuredAtMs = Math.min(this.configuredAtMs, nowMs);
  }

  receive(push: UsagePush, atMs: number): void {
    const {entry, incarnation, nowMs, wallMs} = push;
    const differenceMs = atMs - nowMs;
    const state = this.states.get(incarnation) ?? {
      name: entry,
      incarnation,
      clockDifferenceMs: differenceMs,
      wallOffsetMs: 0,
      completeUntilMs: -Infinity,
      spans: new Map<number, Map<string, number>>(),
    };
    this.states.set(incarnation, state);
    state.clockDifferenceMs = Math.min(state.clockDifferenceMs, differenceMs);
    const sentAtMs = nowMs + state.clockDifferenceMs;
    state.wallOffsetMs = wallMs - sentAtMs;
    state.completeUntilMs = Math.max(state.completeUntilMs, sentAtMs);
    for (const {span, customer, count} of push.counts) {
      const counts = state.spans.get(span) ?? new Map<string, number>();
      state.spans.set(span, counts.set(customer, count));
    }
    this.prune(atMs);
  }

  /** Lists the windows that can be closed, oldest first. */
  close(request: CloseRequest): ClosedWindow[] {
    const {nowMs, wallMs} = request;
    const trueOffsetMs = this.computeTrueOffset(nowMs, wallMs);
    const {windowMs} = this;
    const trueNowMs = nowMs + trueOffsetMs;
    const first = request.first ?? this.findFirst(trueNowMs, trueOffsetMs);
    const completeUntilMs = this.findCompleteUntil(request.entries);
    const closed: ClosedWindow[] = [];
    for (let number = first; ; number++) {
      const trueEndMs = (number + 1) * windowMs;
      const isSettled =
        completeUntilMs + trueOffsetMs >= trueEndMs + SETTLE_MS &&
        trueNowMs >= trueEndMs + SETTLE_MS;
      if (!isSettled && trueNowMs < trueEndMs + LATEST_CLOSE_MS) return closed;
      const endMs = trueEndMs - trueOffsetMs;
      closed.push({number, counts: this.sumCounts(endMs - windowMs, endMs)});
    }
  }

  /** Returns the number of the window that true time is in. */
  computeCurrent(nowMs: number, wallMs: number): number {
    const trueMs = nowMs + this.computeTrueOffset(nowMs, wallMs);
    return Math.floor(trueMs / this.windowMs);
  }

  /** Returns true time minus the coordinator's monotonic clock. */
  private computeTrueOffset(nowMs: number, wallMs: number): number {
    const newest = new Map<string, EntryState>();
    for (const state of this.states.values()) {
      if (state.completeUntilMs < nowMs - LEDGER_KEPT_MS) continue;
      const other = newest.get(state.name);
      if (other && other.completeUntilMs > state.completeUntilMs) continue;
      newest.set(state.name, state);
    }
    const offsets = [...newest.values()].map(state => state.wallOffsetMs);
    const sorted = [...offsets, wallMs - nowMs].sort((a, b) => a - b);
    const upper = sorted[Math.floor(sorted.length / 2)];
    const lower = sorted[Math.floor((sorted.length - 1) / 2)];
    return (upper + lower) / 2;
  }

  /** Returns the first window that began after a node has started, of those for
   * which starts are kept. */
  private findFirst(trueNowMs: number, trueOffsetMs: number): number {
    const startMs = this.findStart() + trueOffsetMs;
    const keptFromMs = trueNowMs - KEPT_MS;
    return Math.ceil(Math.max(startMs, keptFromMs) / this.windowMs);
  }

  /** Returns the start of the node that has run longest, on this clock. */
  private findStart(): number {
    // The coordinator's own process started at 0 of its clock.
    const starts = [...this.states.values()].map(s => s.clockDifferenceMs);
    return Math.min(0, ...starts);
  }

  /** Returns the time up to which all of the entries are complete. */
  private findCompleteUntil(entries: readonly string[]): number {
    const latest = new Map<string, number>();
    for (const {name, completeUntilMs} of this.states.values()) {
      const known = latest.get(name) ?? -Infinity;
      latest.set(name, Math.max(known, completeUntilMs));
    }
    return Math.min(...entries.map(name => latest.get(name) ?? -Infinity));
  }

  private sumCounts(beginMs: number, endMs: number): Record<string, number> {
    const sums = new Map<string, number>();
    for (const {spans, clockDifferenceMs} of this.states.values()) {
      for (const [span, counts] of spans) {
        const atMs = (span + 0.5) * SPAN_MS + clockDifferenceMs;
        if (atMs < beginMs || atMs >= endMs) continue;
        for (const [customer, count] of counts) {
          sums.set(customer, (sums.get(customer) ?? 0) + count);
        }
      }
    }
    const counted = [...sums].filter(
      ([customer, count]) => count > 0 && this.hasExisted(customer, beginMs),
    );
    return Object.fromEntries(counted.sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  /** Returns whether a configuration since a time may have had a customer. A
   * coordinator does not know the customers from before its own start. */
  private hasExisted(customer: string, sinceMs: number): boolean {
    if (this.customers.includes(customer)) return true;
    const seenAtMs = this.customersSeen.get(customer);
    if (seenAtMs !== undefined) return seenAtMs >= sinceMs;
    return this.configuredAtMs > sinceMs;
  }

  private prune(nowMs: number): void {
    const oldestMs = nowMs - KEPT_MS;
    for (const state of this.states.values()) {
      for (const span of state.spans.keys()) {
        const atMs = span * SPAN_MS + state.clockDifferenceMs;
        if (atMs < oldestMs) state.spans.delete(span);
      }
      if (state.completeUntilMs < oldestMs) {
        this.states.delete(state.incarnation);
      }
    }
  }
}
