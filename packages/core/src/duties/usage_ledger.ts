/**
 * Starts of calls that one entry has seen, counted by customer in short spans of
 * its monotonic clock. Counts of a span replace earlier ones at the receiver, so
 * that a push may be repeated or lost.
 */

/** Length of a span, in ms: 0.2% of a window of 5 s. */
export const SPAN_MS = 10;
/** Time for which starts are kept for a new coordinator, in ms. */
export const LEDGER_KEPT_MS = 30_000;

/** Starts of one customer's calls in one span. */
export interface SpanCount {
  /** Number of the span; it begins at `span * SPAN_MS`. */
  readonly span: number;
  readonly customer: string;
  readonly count: number;
}

interface RecordedStart {
  readonly span: number;
  readonly customer: string;
}

interface Span {
  readonly counts: Map<string, number>;
  /** Number of the ledger's latest change of this span. */
  change: number;
}

export class UsageLedger {
  private readonly starts = new Map<string, RecordedStart>();
  private readonly spans = new Map<number, Span>();
  private changes = 0;

  private constructor() {}

  static create(): UsageLedger {
    return new UsageLedger();
  }

  /** Counts a call that is sent to an endpoint, unless it is counted already. */
  recordStart(callId: string, customer: string, nowMs: number): void {
    this.prune(nowMs);
    if (this.starts.has(callId)) return;
    const span = Math.floor(nowMs / SPAN_MS);
    this.starts.set(callId, {span, customer});
    this.addCount({span, customer}, 1);
  }

  /** Takes back the start of a call that no endpoint ran. */
  withdrawStart(callId: string): void {
    const start = this.starts.get(callId);
    if (start === undefined) return;
    this.starts.delete(callId);
    this.addCount(start, -1);
  }

  /** Returns the number of the latest change. */
  getChange(): number {
    return this.changes;
  }

  /** Lists the counts of all spans that have changed after a change. */
  listCounts(afterChange: number): SpanCount[] {
    return [...this.spans]
      .filter(([, {change}]) => change > afterChange)
      .flatMap(([span, {counts}]) =>
        [...counts].map(([customer, count]) => ({span, customer, count})),
      );
  }

  /** Removes what is older than the time for which starts are kept. */
  prune(nowMs: number): void {
    const oldest = Math.floor((nowMs - LEDGER_KEPT_MS) / SPAN_MS);
    // Both maps are in the order of time.
    for (const [callId, {span}] of this.starts) {
      if (span >= oldest) break;
      this.starts.delete(callId);
    }
    for (const span of this.spans.keys()) {
      if (span >= oldest) break;
      this.spans.delete(span);
    }
  }

  private addCount({span, customer}: RecordedStart, by: number): void {
    this.changes += 1;
    const known = this.spans.get(span);
    const {counts} = known ?? {counts: new Map<string, number>()};
    counts.set(customer, (counts.get(customer) ?? 0) + by);
    if (known === undefined) {
      this.spans.set(span, {counts, change: this.changes});
    } else known.change = this.changes;
  }
}
