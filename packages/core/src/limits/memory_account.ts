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
import {
  CUT_RANKS,
  HeldRequest,
  MemoryCut,
  MemoryLimits,
  MemoryRefusal,
  chooseCuts,
} from './memory_cuts';
import {PaceMeter} from './pace_meter';

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
/** Open requests that the system itself may add, as a factor of the limit. */
const RESERVED_REQUESTS_FACTOR = 1.5;
/** Size up to which a body is small. */
const SMALL_BYTES = 65_536;

/** What is held for one customer. */
interface HeldCustomer {
  bytes: number;
  running: number;
  requests: number;
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
  private heldBack = 0;

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
   * share of it are still admitted, and so are small requests while it is bodies
   * that pass the limit. `bodyBytes` is the stated length of the body; undefined if
   * it is not known. Small requests of the system itself are reserved: what clients
   * hold refuses none of them.
   */
  admitRequest(
    customer: string,
    bodyBytes: number | undefined = undefined,
    isReserved = false,
  ): MemoryRefusal | undefined {
    const {softBytes, hardBytes} = this.limits;
    const reserve = isReserved ? RESERVED_REQUESTS_FACTOR : 1;
    const maxRequests = (this.limits.maxRequests ?? Infinity) * reserve;
    const comingBytes = this.estimateComingBytes();
    const expected = this.estimateHeldBytes() + comingBytes;
    const hasRoom = this.requests.size < maxRequests;
    const isSmall = (bodyBytes ?? Infinity) <= SMALL_BYTES;
    if (isReserved && isSmall && hasRoom) return undefined;
    if (expected <= softBytes && hasRoom) return undefined;
    const customerBytes = this.estimateCustomerBytes(customer);
    const isOverShare = customerBytes >= this.computeShare(customer);
    const isOverHard = !hasRoom || this.heldBytes + comingBytes > hardBytes;
    if (!isOverHard && !isOverShare) return undefined;
    this.hasRefused = true;
    if (!isOverHard && isSmall && !this.hasUnreadAnswers()) return undefined;
    return {
      heldBytes: Math.round(expected),
      customerBytes: Math.round(customerBytes),
      softBytes,
      retryAfterMs: this.computeRetryMs(expected - softBytes),
    };
  }

  /** Begins to account for a request; returns its number. */
  startRequest(
    customer: string,
    connection: number,
    nowMs: number,
    isReserved = false,
  ): number {
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
      pace: PaceMeter.create(nowMs),
      isHeldBack: false,
      answeredAtMs: nowMs,
      isSampled: isReserved,
      isReserved,
    });
    return this.lastId;
  }

  addBodyBytes(id: number, bytes: number, nowMs: number): void {
    const request = this.requests.get(id);
    if (request?.stage !== 'body') return;
    request.progressAtMs = nowMs;
    request.pace.recordBytes(bytes, nowMs);
    this.changeBytes(request, request.bytes + bytes);
  }

  /**
   * Holds a body back: it is not read until `resumeBody`. Returns false if as many
   * are held back as may be, since what has arrived of them is held by the kernel.
   */
  holdBody(id: number): boolean {
    const request = this.requests.get(id);
    if (request === undefined || request.isHeldBack) return true;
    this.hasRefused = true;
    if (this.heldBack >= (this.limits.maxHeldBack ?? Infinity)) return false;
    request.isHeldBack = true;
    this.heldBack += 1;
    return true;
  }

  resumeBody(id: number, nowMs: number): void {
    const request = this.requests.get(id);
    if (!request?.isHeldBack) return;
    request.isHeldBack = false;
    this.heldBack -= 1;
    request.pace = PaceMeter.create(nowMs);
    request.progressAtMs = nowMs;
  }

  getHeldBytes(): number {
    return this.heldBytes;
  }

  /** Returns whether what is held exceeds the hard limit. */
  hasExcess(): boolean {
    return this.heldBytes > this.limits.hardBytes;
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
    request.pace = PaceMeter.create(nowMs);
    request.answeredAtMs = nowMs;
    this.changeBytes(request, bytes);
  }

  /** The caller has read a part of an answer, of `bytes`. */
  recordProgress(id: number, nowMs: number, bytes = 0): void {
    const request = this.requests.get(id);
    if (request === undefined) return;
    request.progressAtMs = nowMs;
    request.pace.recordBytes(bytes, nowMs);
  }

  endRequest(id: number): void {
    const request = this.requests.get(id);
    if (request === undefined) return;
    if (request.stage === 'running') this.changeRunning(request, -1);
    else if (request.stage !== 'body') this.sampleUnread(request, 0);
    this.changeBytes(request, 0);
    if (request.isHeldBack) this.heldBack -= 1;
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

  /** Lists the connections to cut, see `chooseCuts`; the refusals that it looks
   * at are those since the last call. What is cut counts as left unread. */
  planCuts(nowMs: number): MemoryCut[] {
    const mayCutStalled =
      this.hasRefused && this.estimateHeldBytes() > this.limits.softBytes;
    this.hasRefused = false;
    if (!this.hasExcess() && !mayCutStalled) return [];
    const cuts = chooseCuts({
      requests: this.requests,
      limits: this.limits,
      heldBytes: this.heldBytes,
      factor: this.measured.getFactor(),
      overShare: this.listOverShare(),
      mayCutStalled,
      nowMs,
    });
    for (const {id, stage} of cuts) {
      const request = this.requests.get(id);
      if (request === undefined || stage === 'body') continue;
      this.sampleUnread(request, request.bytes);
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

  /** Lists the customers that hold more than an equal share. */
  private listOverShare(): ReadonlySet<string> {
    const names = [...this.customers.keys()].filter(
      name => this.estimateCustomerBytes(name) > this.computeShare(name),
    );
    return new Set(names);
  }

  /** Returns an equal part of the soft limit among customers that have open
   * requests, the given one included. */
  private computeShare(customer: string): number {
    const others = this.customers.has(customer) ? 0 : 1;
    return this.limits.softBytes / (this.customers.size + others);
  }

  /** Returns whether unread answers alone pass the soft limit, so that the answer
   * to any request may be left unread. */
  private hasUnreadAnswers(): boolean {
    let answerBytes = 0;
    for (const {stage, bytes} of this.requests.values()) {
      if ((CUT_RANKS[stage] ?? 0) > 0) answerBytes += bytes;
    }
    return answerBytes > this.limits.softBytes;
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
    if (request.isReserved) return;
    this.running += change;
    const held = this.customers.get(request.customer);
    if (held !== undefined) held.running += change;
  }
}
