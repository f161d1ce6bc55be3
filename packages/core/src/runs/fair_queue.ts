/**
 * Waiting work in start-time fair order: customers take turns by the tokens
 * that they have been given, each in proportion to its share; a customer's
 * own work goes by priority, then by deadline.
 */

/** Work that waits for a slot. */
export interface QueuedWork {
  readonly requestId: string;
  readonly customer: string;
  /** 0 is served first. */
  readonly priority: number;
  readonly expectedTokens: number;
  /** Tick in ms by which the work must have ended. */
  readonly deadlineTick: number;
}

/** One customer's waiting work, and the tokens given to it by its share. */
interface CustomerLine {
  readonly waiting: QueuedWork[];
  virtualTokens: number;
}

/** Least weight of customers without a share beside those that have one. */
const MIN_OTHER_SHARE = 0.05;

/** Returns what work counts for; a plain call, without tokens, counts 1. */
export function countCost(work: QueuedWork): number {
  return Math.max(1, work.expectedTokens);
}

/** Waiting work of one endpoint. */
export class FairQueue {
  private readonly lines = new Map<string, CustomerLine>();
  private shares: ReadonlyMap<string, number> = new Map();
  private otherShare = 1;
  private virtualNow = 0;

  private constructor() {}

  /** Builds an empty queue. */
  static create(): FairQueue {
    return new FairQueue();
  }

  /** Sets shares from 0 to 1; each other customer weighs what is left. */
  setShares(shares: ReadonlyMap<string, number>): void {
    const sum = [...shares.values()].reduce((total, part) => total + part, 0);
    this.shares = shares;
    this.otherShare = Math.max(MIN_OTHER_SHARE, 1 - sum);
  }

  /** Adds work behind that of the same customer, priority and deadline. */
  addWork(work: QueuedWork): void {
    const line = this.openLine(work.customer);
    const index = line.waiting.findIndex(other => isBefore(work, other));
    if (index < 0) line.waiting.push(work);
    else line.waiting.splice(index, 0, work);
  }

  /** A customer without waiting work saves up no turns. */
  private openLine(customer: string): CustomerLine {
    const known = this.lines.get(customer);
    if (known === undefined) {
      const line = {waiting: [], virtualTokens: this.virtualNow};
      this.lines.set(customer, line);
      return line;
    }
    if (known.waiting.length === 0) {
      known.virtualTokens = Math.max(known.virtualTokens, this.virtualNow);
    }
    return known;
  }

  /** Takes the next work that passes a test. */
  takeNext(test: (work: QueuedWork) => boolean): QueuedWork | undefined {
    const open = [...this.lines.values()]
      .filter(line => line.waiting.length > 0)
      .sort((a, b) => a.virtualTokens - b.virtualTokens);
    for (const line of open) {
      const index = line.waiting.findIndex(test);
      if (index < 0) continue;
      const [work] = line.waiting.splice(index, 1);
      this.chargeLine(line, work);
      return work;
    }
    return undefined;
  }

  private chargeLine(line: CustomerLine, work: QueuedWork): void {
    const share = this.shares.get(work.customer) ?? this.otherShare;
    this.virtualNow = Math.max(this.virtualNow, line.virtualTokens);
    line.virtualTokens += countCost(work) / share;
  }

  /** Returns the tokens that are served before new work of a customer. */
  sumTokensBefore(work: QueuedWork): number {
    let total = 0;
    for (const [customer, line] of this.lines) {
      const ahead =
        customer === work.customer
          ? line.waiting.filter(other => !isBefore(work, other))
          : line.waiting;
      total += sumTokens(ahead);
    }
    const own = sumTokens(this.lines.get(work.customer)?.waiting ?? []);
    const fairBound = (own + countCost(work)) * this.countOpenLines(work);
    return Math.min(total, fairBound);
  }

  /** Counts customers with waiting work, that of new work among them. */
  private countOpenLines(work: QueuedWork): number {
    const open = [...this.lines].filter(
      ([customer, line]) =>
        customer === work.customer || line.waiting.length > 0,
    );
    return Math.max(1, open.length);
  }

  /** Removes and returns the work that passes a test. */
  takeWhere(test: (work: QueuedWork) => boolean): QueuedWork[] {
    const taken: QueuedWork[] = [];
    for (const line of this.lines.values()) {
      const found = line.waiting.filter(test);
      for (const work of found) {
        line.waiting.splice(line.waiting.indexOf(work), 1);
      }
      taken.push(...found);
    }
    return taken;
  }

  /** Returns the number of waiting requests. */
  count(): number {
    let total = 0;
    for (const line of this.lines.values()) total += line.waiting.length;
    return total;
  }

  /** Returns the expected tokens of waiting requests. */
  sumTokens(): number {
    const lines = [...this.lines.values()];
    return lines.reduce((sum, line) => sum + sumTokens(line.waiting), 0);
  }
}

function isBefore(work: QueuedWork, other: QueuedWork): boolean {
  if (work.priority !== other.priority) return work.priority < other.priority;
  return work.deadlineTick < other.deadlineTick;
}

function sumTokens(works: readonly QueuedWork[]): number {
  return works.reduce((sum, work) => sum + countCost(work), 0);
}
