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
  readonly deadlineAtMs: number;
}

/** One customer's waiting work, and the tokens given to it by its share. */
interface CustomerQueue {
  readonly waiting: QueuedWork[];
  virtualTime: number;
}

/** Least weight of customers without a share beside those that have one. */
const MIN_DEFAULT_SHARE = 0.05;

/** Returns what work counts for; a plain call, without tokens, counts 1. */
export function computeCost(work: QueuedWork): number {
  return Math.max(1, work.expectedTokens);
}

/** Waiting work of one endpoint. */
export class FairQueue {
  private readonly queues = new Map<string, CustomerQueue>();
  private shares: ReadonlyMap<string, number> = new Map();
  private defaultShare = 1;
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
    this.defaultShare = Math.max(MIN_DEFAULT_SHARE, 1 - sum);
  }

  /** Adds work behind that of the same customer, priority and deadline. */
  addWork(work: QueuedWork): void {
    const line = this.activateQueue(work.customer);
    const index = line.waiting.findIndex(other => isBefore(work, other));
    if (index < 0) line.waiting.push(work);
    else line.waiting.splice(index, 0, work);
  }

  /** A customer without waiting work saves up no turns. */
  private activateQueue(customer: string): CustomerQueue {
    const known = this.queues.get(customer);
    if (known === undefined) {
      const line = {waiting: [], virtualTime: this.virtualNow};
      this.queues.set(customer, line);
      return line;
    }
    if (known.waiting.length === 0) {
      known.virtualTime = Math.max(known.virtualTime, this.virtualNow);
    }
    return known;
  }

  /** Takes the next work that passes a test. */
  takeNext(test: (work: QueuedWork) => boolean): QueuedWork | undefined {
    const open = [...this.queues.values()]
      .filter(line => line.waiting.length > 0)
      .sort((a, b) => a.virtualTime - b.virtualTime);
    for (const line of open) {
      const index = line.waiting.findIndex(test);
      if (index < 0) continue;
      const [work] = line.waiting.splice(index, 1);
      this.chargeQueue(line, work);
      return work;
    }
    return undefined;
  }

  private chargeQueue(line: CustomerQueue, work: QueuedWork): void {
    const share = this.shares.get(work.customer) ?? this.defaultShare;
    this.virtualNow = Math.max(this.virtualNow, line.virtualTime);
    line.virtualTime += computeCost(work) / share;
  }

  /** Returns the tokens that are served before new work of a customer. */
  sumTokensAhead(work: QueuedWork): number {
    let total = 0;
    for (const [customer, line] of this.queues) {
      const ahead =
        customer === work.customer
          ? line.waiting.filter(other => !isBefore(work, other))
          : line.waiting;
      total += sumTokens(ahead);
    }
    const own = sumTokens(this.queues.get(work.customer)?.waiting ?? []);
    const fairBound =
      (own + computeCost(work)) * this.countActiveCustomers(work);
    return Math.min(total, fairBound);
  }

  /** Counts customers with waiting work, that of new work among them. */
  private countActiveCustomers(work: QueuedWork): number {
    const open = [...this.queues].filter(
      ([customer, line]) =>
        customer === work.customer || line.waiting.length > 0,
    );
    return Math.max(1, open.length);
  }

  /** Removes and returns the work that passes a test. */
  removeMatching(test: (work: QueuedWork) => boolean): QueuedWork[] {
    const taken: QueuedWork[] = [];
    for (const line of this.queues.values()) {
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
    for (const line of this.queues.values()) total += line.waiting.length;
    return total;
  }

  /** Returns the expected tokens of waiting requests. */
  sumTokens(): number {
    const lines = [...this.queues.values()];
    return lines.reduce((sum, line) => sum + sumTokens(line.waiting), 0);
  }
}

function isBefore(work: QueuedWork, other: QueuedWork): boolean {
  if (work.priority !== other.priority) return work.priority < other.priority;
  return work.deadlineAtMs < other.deadlineAtMs;
}

function sumTokens(works: readonly QueuedWork[]): number {
  return works.reduce((sum, work) => sum + computeCost(work), 0);
}
