/**
 * Accounts for the bytes that a node holds for its callers: request bodies and
 * answers that the caller has not read yet. Decides which bodies are not read
 * on, which new requests are refused and which connections are cut.
 *
 * The load it answers: callers that read answers of up to 1 MB slowly or not at
 * all, on a VM of 202 MB, beside callers that read normally; and one customer
 * with many slow readers beside other customers.
 */
import {MeasuredMemory} from './measured_memory';

/** Weight of the newest sample in the mean of what a request leaves unread. */
const UNREAD_WEIGHT = 1 / 16;
/** Age of an answer at which it counts as read slowly; a caller that reads
 * normally has read 1 MB by then, also between regions. */
const SLOW_ANSWER_MS = 250;
/** Weight of the newest tick in the mean rate at which bytes are released. */
const RELEASE_WEIGHT = 0.3;
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 5_000;
const MS_PER_SECOND = 1_000;

export interface MemoryLimits {
  /** Above this, bodies are read one at a time, and new requests of customers
   * that hold their share are refused. */
  readonly softBytes: number;
  /** Above this, every new request is refused and connections are cut. */
  readonly hardBytes: number;
  /** While requests are refused above the soft limit, a connection that has
   * read nothing for this time is cut; undefined for no such time. */
  readonly stallMs: number | undefined;
}

/** What a request does: `body` is being received, `running` at an endpoint,
 * `streaming` an unfinished answer, `finished` a complete answer. */
export type HeldStage = 'body' | 'running' | 'streaming' | 'finished';

/** Stages in the order in which they are cut. Running requests are never cut:
 * the endpoint's work would be lost, and their bodies do not grow. */
const CUT_RANKS: Readonly<Record<HeldStage, number | undefined>> = {
  body: 0,
  streaming: 1,
  finished: 2,
  running: undefined,
};

/** What is held for one request and so for its connection. */
interface HeldRequest {
  readonly customer: string;
  /** Number of the connection. */
  readonly connection: number;
  bytes: number;
  stage: HeldStage;
  /** When the caller last sent or read something. */
  progressAtMs: number;
  answeredAtMs: number;
  /** Whether the mean of unread bytes has a sample of this request. */
  isSampled: boolean;
}

/** What is held for all requests of one connection. */
interface HeldConnection {
  bytes: number;
  progressAtMs: number;
}

/** What is held for one customer. */
interface HeldCustomer {
  bytes: number;
  running: number;
  requests: number;
}

export interface MemoryRefusal {
  /** Bytes that are held or expected, for all customers. */
  readonly heldBytes: number;
  /** The same for the customer. */
  readonly customerBytes: number;
  readonly softBytes: number;
  readonly retryAfterMs: number;
}

export interface MemoryCut {
  /** Number of the request for which the connection is cut. */
  readonly id: number;
  readonly stage: HeldStage;
  /** Bytes held for the connection. */
  readonly bytes: number;
  /** Time since the caller last sent or read something, in ms. */
  readonly idleMs: number;
  /** `hard-limit` or, above the soft limit, `stalled`. */
  readonly reason: 'hard-limit' | 'stalled';
}

export type MemoryLevel = 'normal' | 'soft' | 'hard';

const NOTHING_HELD: HeldCustomer = {bytes: 0, running: 0, requests: 0};

/** Bytes held for callers, per node, customer and request. */
export class MemoryAccount {
  private readonly requests = new Map<number, HeldRequest>();
  private readonly customers = new Map<string, HeldCustomer>();
  private readonly measured = MeasuredMemory.create();
  private heldBytes = 0;
  private running = 0;
  private lastId = 0;
  /** Mean bytes that a request leaves unread after `SLOW_ANSWER_MS`. */
  private meanUnreadBytes = 0;
  private releasedBytes = 0;
  private releasedPerMs = 0;
  private tickedAtMs: number | undefined;
  private hasRefused = false;

  private constructor(private limits: MemoryLimits) {}

  static create(limits: MemoryLimits): MemoryAccount {
    return new MemoryAccount(limits);
  }

  setLimits(limits: MemoryLimits): void {
    this.limits = limits;
  }

  /**
   * Returns why a new request of a customer is refused; undefined if it is
   * admitted. Above the soft limit, customers that hold less than an equal
   * share of it are still admitted.
   */
  admitRequest(customer: string): MemoryRefusal | undefined {
    const {softBytes, hardBytes} = this.limits;
    const comingBytes = this.estimateComingBytes();
    const expected = this.estimateHeldBytes() + comingBytes;
    if (expected <= softBytes) return undefined;
    const customerBytes = this.estimateCustomerBytes(customer);
    const isOverShare = customerBytes >= this.computeShare(customer);
    const isOverHard = this.heldBytes + comingBytes > hardBytes;
    if (!isOverHard && !isOverShare) return undefined;
    this.hasRefused = true;
    return {
      heldBytes: Math.round(expected),
      customerBytes: Math.round(customerBytes),
      softBytes,
      retryAfterMs: this.computeRetryMs(expected - softBytes),
    };
  }

  /** Begins to account for a request; returns its number. */
  startRequest(customer: string, connection: number, nowMs: number): number {
    this.lastId += 1;
    const held = this.customers.get(customer);
    if (held === undefined) {
      this.customers.set(customer, {bytes: 0, running: 0, requests: 1});
    } else held.requests += 1;
    this.requests.set(this.lastId, {
      customer,
      connection,
      bytes: 0,
      stage: 'body',
      progressAtMs: nowMs,
      answeredAtMs: nowMs,
      isSampled: false,
    });
    return this.lastId;
  }

  addBodyBytes(id: number, bytes: number, nowMs: number): void {
    const request = this.requests.get(id);
    if (request?.stage !== 'body') return;
    request.progressAtMs = nowMs;
    this.changeBytes(request, request.bytes + bytes);
  }

  /** The whole body has arrived and the request is processed. */
  startRun(id: number): void {
    const request = this.requests.get(id);
    if (request?.stage !== 'body') return;
    request.stage = 'running';
    this.changeRunning(request, 1);
  }

  /** An answer is being written; its size replaces that of the body. */
  startAnswer(
    id: number,
    bytes: number,
    nowMs: number,
    stage: 'streaming' | 'finished' = 'finished',
  ): void {
    const request = this.requests.get(id);
    if (request === undefined) return;
    if (request.stage === 'running') this.changeRunning(request, -1);
    request.stage = stage;
    request.progressAtMs = nowMs;
    request.answeredAtMs = nowMs;
    this.changeBytes(request, bytes);
  }

  /** The caller has read a part of an answer. */
  recordProgress(id: number, nowMs: number): void {
    const request = this.requests.get(id);
    if (request !== undefined) request.progressAtMs = nowMs;
  }

  endRequest(id: number): void {
    const request = this.requests.get(id);
    if (request === undefined) return;
    if (request.stage === 'running') this.changeRunning(request, -1);
    else if (request.stage !== 'body') this.sampleUnread(request, 0);
    this.changeBytes(request, 0);
    this.requests.delete(id);
    const held = this.customers.get(request.customer);
    if (held === undefined) return;
    held.requests -= 1;
    if (held.requests === 0) this.customers.delete(request.customer);
  }

  /**
   * Returns whether more of a body may be read. Above the soft limit, of the
   * customers that hold their share only the oldest body is read on, so that
   * bodies alone cannot hold each other up.
   */
  canRead(id: number): boolean {
    const heldBytes = this.estimateHeldBytes();
    if (heldBytes <= this.limits.softBytes) return true;
    const customer = this.requests.get(id)?.customer ?? '';
    const share = this.computeShare(customer);
    const isUnderShare = this.estimateCustomerBytes(customer) < share;
    if (isUnderShare && heldBytes <= this.limits.hardBytes) return true;
    for (const [otherId, {stage}] of this.requests) {
      if (stage === 'body') return otherId === id;
    }
    return true;
  }

  /** Takes in what the process measures, in bytes of buffers. */
  updateMeasured(measuredBytes: number): void {
    const {softBytes} = this.limits;
    this.measured.update(measuredBytes, this.heldBytes, softBytes);
  }

  /** Updates the means; call it at regular intervals of under a second. */
  advance(nowMs: number): void {
    const elapsedMs = nowMs - (this.tickedAtMs ?? nowMs);
    this.tickedAtMs = nowMs;
    if (elapsedMs > 0) {
      const perMs = this.releasedBytes / elapsedMs;
      this.releasedPerMs += RELEASE_WEIGHT * (perMs - this.releasedPerMs);
      this.releasedBytes = 0;
    }
    for (const request of this.requests.values()) {
      const isAnswer = (CUT_RANKS[request.stage] ?? 0) > 0;
      if (!isAnswer || nowMs - request.answeredAtMs < SLOW_ANSWER_MS) continue;
      this.sampleUnread(request, request.bytes);
    }
  }

  /**
   * Lists the connections to cut: above the hard limit as many as bring the
   * account below it (without the correction, since garbage that awaits
   * collection must not cost a caller its answer), and those that have stalled while requests were refused
   * since the last call. Customers over their share come first, then bodies
   * before unfinished and finished answers, then those idle for longest.
   */
  planCuts(nowMs: number): MemoryCut[] {
    const {softBytes, hardBytes, stallMs = Infinity} = this.limits;
    const factor = this.measured.getFactor();
    let heldBytes = this.heldBytes;
    let estimatedBytes = this.estimateHeldBytes();
    const mayCutStalled = this.hasRefused && estimatedBytes > softBytes;
    this.hasRefused = false;
    if (heldBytes <= hardBytes && !mayCutStalled) return [];
    const connections = this.groupByConnection();
    const cuts: MemoryCut[] = [];
    for (const [id, request] of this.rankForCuts(connections)) {
      const connection = connections.get(request.connection);
      if (connection === undefined) continue;
      const {stage} = request;
      const {bytes} = connection;
      const idleMs = nowMs - connection.progressAtMs;
      const isOverHard = heldBytes > hardBytes;
      const isStalled =
        mayCutStalled && estimatedBytes > softBytes && idleMs >= stallMs;
      if (!isOverHard && !isStalled) continue;
      const reason = isOverHard ? 'hard-limit' : 'stalled';
      cuts.push({id, stage, bytes, idleMs, reason});
      connections.delete(request.connection);
      heldBytes -= bytes;
      estimatedBytes -= bytes * factor;
    }
    return cuts;
  }

  getLevel(): MemoryLevel {
    if (this.heldBytes > this.limits.hardBytes) return 'hard';
    const isSoft = this.estimateHeldBytes() > this.limits.softBytes;
    return isSoft ? 'soft' : 'normal';
  }

  describe() {
    return {
      heldBytes: this.heldBytes,
      estimatedBytes: Math.round(this.estimateHeldBytes()),
      comingBytes: Math.round(this.estimateComingBytes()),
      requests: this.requests.size,
      customers: this.customers.size,
      ...this.limits,
    };
  }

  /** A pipelined request makes no progress while the one before it does, so
   * that idle times are those of connections. */
  private groupByConnection(): Map<number, HeldConnection> {
    const connections = new Map<number, HeldConnection>();
    for (const {connection, bytes, progressAtMs} of this.requests.values()) {
      const held = connections.get(connection);
      if (held === undefined) {
        connections.set(connection, {bytes, progressAtMs});
      } else {
        held.bytes += bytes;
        held.progressAtMs = Math.max(held.progressAtMs, progressAtMs);
      }
    }
    return connections;
  }

  private rankForCuts(
    connections: ReadonlyMap<number, HeldConnection>,
  ): [number, HeldRequest][] {
    const overShare = new Map<string, boolean>();
    for (const customer of this.customers.keys()) {
      const bytes = this.estimateCustomerBytes(customer);
      overShare.set(customer, bytes > this.computeShare(customer));
    }
    const getShareRank = (request: HeldRequest) =>
      overShare.get(request.customer) ? 0 : 1;
    const getProgressMs = (request: HeldRequest) =>
      connections.get(request.connection)?.progressAtMs ?? 0;
    const getStageRank = (request: HeldRequest) =>
      CUT_RANKS[request.stage] ?? 0;
    return [...this.requests]
      .filter(([, {stage, bytes}]) => bytes > 0 && stage !== 'running')
      .sort(
        ([, a], [, b]) =>
          getShareRank(a) - getShareRank(b) ||
          getStageRank(a) - getStageRank(b) ||
          getProgressMs(a) - getProgressMs(b),
      );
  }

  /** Returns an equal part of the soft limit among customers that have open
   * requests, the given one included. */
  private computeShare(customer: string): number {
    const others = this.customers.has(customer) ? 0 : 1;
    return this.limits.softBytes / (this.customers.size + others);
  }

  private estimateHeldBytes(): number {
    return this.heldBytes * this.measured.getFactor();
  }

  /** Returns the bytes that running requests will probably leave unread. */
  private estimateComingBytes(): number {
    return this.running * this.meanUnreadBytes;
  }

  private estimateCustomerBytes(customer: string): number {
    const {bytes, running} = this.customers.get(customer) ?? NOTHING_HELD;
    return bytes * this.measured.getFactor() + running * this.meanUnreadBytes;
  }

  private computeRetryMs(excessBytes: number): number {
    if (this.releasedPerMs <= 0) return MS_PER_SECOND;
    const waitMs = Math.ceil(excessBytes / this.releasedPerMs);
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs));
  }

  private sampleUnread(request: HeldRequest, bytes: number): void {
    if (request.isSampled) return;
    request.isSampled = true;
    this.meanUnreadBytes += UNREAD_WEIGHT * (bytes - this.meanUnreadBytes);
  }

  private changeBytes(request: HeldRequest, bytes: number): void {
    const change = bytes - request.bytes;
    request.bytes = bytes;
    this.heldBytes += change;
    if (change < 0) this.releasedBytes -= change;
    const held = this.customers.get(request.customer);
    if (held !== undefined) held.bytes += change;
  }

  private changeRunning(request: HeldRequest, change: number): void {
    this.running += change;
    const held = this.customers.get(request.customer);
    if (held !== undefined) held.running += change;
  }
}
