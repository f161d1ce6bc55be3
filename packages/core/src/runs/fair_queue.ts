/**
 * Start-time fair queuing of waiting work. The next work comes from the customer
 * that has received the fewest tokens in proportion to its share; within a
 * customer, work is ordered by priority, then by deadline.
 */

/** Work that waits for a slot. */
export interface QueuedWork {
  readonly requestId: string;
  readonly customer: string;
  /** Lower numbers are served first; 0 is the most urgent. */
  readonly priority: number;
  readonly expectedTokens: number;
  /** Agent time in ms by which the work must have finished. */
  readonly deadlineAtMs: number;
}

/** The waiting work of one customer. */
interface CustomerQueue {
  readonly waiting: QueuedWork[];
  /** Tokens served to the customer, divided by its share. */
  virtualTime: number;
}

/** Minimum share of a customer for which no share is set. */
const MIN_DEFAULT_SHARE = 0.05;

/** Returns the cost of work in tokens; a plain call without tokens costs 1. */
export function computeCost(work: QueuedWork): number {
  return Math.max(1, work.expectedTokens);
}

/** The waiting work of one endpoint, shared fairly between customers. */
export class FairQueue {
  private readonly queues = new Map<string, CustomerQueue>();
  private shares: ReadonlyMap<string, number> = new Map();
  private defaultShare = 1;
  /** Virtual time of the customer that was served last; never decreases. */
  private virtualNow = 0;

  private constructor() {}

  static create(): FairQueue {
    return new FairQueue();
  }

  /**
   * Sets customers' shares, from 0 to 1. Every other customer gets the
   * unassigned share, but at least `MIN_DEFAULT_SHARE`.
   */
  setShares(shares: ReadonlyMap<string, number>): void {
    const sum = [...shares.values()].reduce((total, share) => total + share, 0);
    this.shares = shares;
    this.defaultShare = Math.max(MIN_DEFAULT_SHARE, 1 - sum);
  }

  /** Adds work after work of the same customer, priority and deadline. */
  addWork(work: QueuedWork): void {
    const queue = this.activateQueue(work.customer);
    const index = queue.waiting.findIndex(other => isBefore(work, other));
    if (index < 0) queue.waiting.push(work);
    else queue.waiting.splice(index, 0, work);
  }

  /**
   * Returns a customer's queue. If it is empty, its virtual time advances to the
   * present, so that a customer gains no priority while it has no waiting work.
   */
  private activateQueue(customer: string): CustomerQueue {
    const existing = this.queues.get(customer);
    if (existing === undefined) {
      const queue = {waiting: [], virtualTime: this.virtualNow};
      this.queues.set(customer, queue);
      return queue;
    }
    if (existing.waiting.length === 0) {
      existing.virtualTime = Math.max(existing.virtualTime, this.virtualNow);
    }
    return existing;
  }

  /** Removes and returns the next work that satisfies the predicate. */
  takeNext(predicate: (work: QueuedWork) => boolean): QueuedWork | undefined {
    const nonEmptyQueues = [...this.queues.values()]
      .filter(queue => queue.waiting.length > 0)
      .sort((a, b) => a.virtualTime - b.virtualTime);
    for (const queue of nonEmptyQueues) {
      const index = queue.waiting.findIndex(predicate);
      if (index < 0) continue;
      const [work] = queue.waiting.splice(index, 1);
      this.chargeQueue(queue, work);
      return work;
    }
    return undefined;
  }

  private chargeQueue(queue: CustomerQueue, work: QueuedWork): void {
    const share = this.shares.get(work.customer) ?? this.defaultShare;
    this.virtualNow = Math.max(this.virtualNow, queue.virtualTime);
    queue.virtualTime += computeCost(work) / share;
  }

  /**
   * Estimates the tokens that are served before new work. Since customers
   * alternate, the estimate is at most the customer's own tokens, the new work
   * included, times the number of customers with waiting work.
   */
  sumTokensAhead(work: QueuedWork): number {
    let total = 0;
    for (const [customer, queue] of this.queues) {
      const workAhead =
        customer === work.customer
          ? queue.waiting.filter(other => !isBefore(work, other))
          : queue.waiting;
      total += sumTokens(workAhead);
    }
    const ownTokens = sumTokens(this.queues.get(work.customer)?.waiting ?? []);
    const fairBound =
      (ownTokens + computeCost(work)) * this.countActiveCustomers(work);
    return Math.min(total, fairBound);
  }

  /** Counts the customers with waiting work and the customer of new work. */
  private countActiveCustomers(work: QueuedWork): number {
    const active = [...this.queues].filter(
      ([customer, queue]) =>
        customer === work.customer || queue.waiting.length > 0,
    );
    return Math.max(1, active.length);
  }

  /** Removes and returns all work that satisfies the predicate. */
  removeMatching(predicate: (work: QueuedWork) => boolean): QueuedWork[] {
    const removed: QueuedWork[] = [];
    for (const queue of this.queues.values()) {
      const matching = queue.waiting.filter(predicate);
      for (const work of matching) {
        queue.waiting.splice(queue.waiting.indexOf(work), 1);
      }
      removed.push(...matching);
    }
    return removed;
  }

  /** Returns the number of waiting requests of all customers. */
  count(): number {
    let total = 0;
    for (const queue of this.queues.values()) total += queue.waiting.length;
    return total;
  }

  /** Returns the expected tokens of all waiting requests. */
  sumTokens(): number {
    const queues = [...this.queues.values()];
    return queues.reduce((sum, queue) => sum + sumTokens(queue.waiting), 0);
  }
}

/** Returns whether work is served before other work of the same customer. */
function isBefore(work: QueuedWork, other: QueuedWork): boolean {
  if (work.priority !== other.priority) return work.priority < other.priority;
  return work.deadlineAtMs < other.deadlineAtMs;
}

function sumTokens(works: readonly QueuedWork[]): number {
  return works.reduce((sum, work) => sum + computeCost(work), 0);
}
