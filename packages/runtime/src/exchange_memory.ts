/**
 * Applies the memory account to the connections of callers and peers: meters
 * bodies and answers, holds bodies back, refuses requests and cuts connections as
 * the account decides.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  Clock,
  MemoryAccount,
  MemoryCut,
  MemoryLevel,
  MemoryLimits,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
import {describeError} from './describe_error';
import type {EventLog} from './log';
import type {Metrics} from './metrics';
import {ArrivalBoard} from './arrival_board';
import {HeldExchange} from './held_exchange';
import {GarbageCollector} from './garbage_collector';
import {dropBody} from './read_body';

/** Interval at which the account is compared with the process, in ms. */
const CHECK_INTERVAL_MS = 250;
/** Garbage that is collected early, as a part of the soft limit. */
const GARBAGE_SHARE = 0.25;

export interface ExchangeMemoryOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly limits: MemoryLimits;
  /** Returns the customer of a request from its headers; undefined if there
   * are no customers. */
  readonly findCustomer?: (request: IncomingMessage) => string | undefined;
  /** Returns the bytes of all buffers; those of the process by default. */
  readonly measureBytes?: () => number;
}

/** Memory held for all connections of a process's callers and peers. */
export class ExchangeMemory {
  private readonly account: MemoryAccount;
  private readonly exchanges = new Map<number, HeldExchange>();
  private readonly paused = new Set<HeldExchange>();
  private readonly arrivals: ArrivalBoard;
  private level: MemoryLevel = 'normal';
  private readonly connections = new WeakMap<Socket, number>();
  private lastConnection = 0;
  private timer: NodeJS.Timeout | undefined;
  private isMeasured = true;
  private readonly collector: GarbageCollector;

  private constructor(private readonly options: ExchangeMemoryOptions) {
    this.account = MemoryAccount.create(options.limits);
    const {log, metrics, limits} = options;
    const {softBytes} = limits;
    this.arrivals = ArrivalBoard.create({
      ...{limits, log, metrics},
      onBytes: bytes => this.countBytes(bytes),
    });
    this.collector = GarbageCollector.create(softBytes * GARBAGE_SHARE);
  }

  static create(options: ExchangeMemoryOptions): ExchangeMemory {
    return new ExchangeMemory(options);
  }

  /** Starts the regular check; it does not keep the process running. */
  start(): void {
    this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** Sets the time for which a connection may read nothing while requests are
   * refused: the idle time that the operator allows. */
  setStallMs(stallMs: number): void {
    this.account.setLimits({...this.options.limits, stallMs});
  }

  /** Returns an error if the request is refused before its body is read. Calls of
   * peers have a name in place of a customer, who is found from the headers. */
  openExchange(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
    peers?: string,
  ): HeldExchange | ServiceError {
    const {clock, metrics, findCustomer} = this.options;
    const customer = peers ?? findCustomer?.(request) ?? '';
    const isReserved = peers !== undefined;
    const refusal = this.admitRequest(request, customer, isReserved);
    if (refusal !== undefined) {
      dropBody(request);
      metrics.addCount('memory_refusals_total');
      const {heldBytes, customerBytes, softBytes, retryAfterMs} = refusal;
      const detail = `${heldBytes} bytes are held for callers, ${customerBytes} of them for this customer; the limit is ${softBytes}`;
      return createError('memory-short', detail, {retryAfterMs});
    }
    const nowMs = clock.readMonotonicMs();
    const connection = this.findConnection(request.socket);
    const id = this.account.startRequest(
      customer,
      connection,
      nowMs,
      isReserved,
    );
    const exchange = HeldExchange.create(
      {id, requestId, request, response},
      this.account,
      clock,
      this.paused,
      {
        countBytes: bytes => this.countBytes(bytes),
        arrivals: this.arrivals,
      },
    );
    this.exchanges.set(id, exchange);
    response.on('close', () => {
      this.endExchange(id, exchange);
      this.resumeBodies();
    });
    return exchange;
  }

  /** Counts bytes that came in, and cuts connections if they are too many. */
  private countBytes(bytes: number): void {
    if (this.account.hasExcess()) this.cutConnections();
    const heldBytes = this.account.getHeldBytes() + this.arrivals.getBytes();
    this.collector.addBytes(bytes, heldBytes);
  }

  /** Cuts those that make no progress before one that comes next is refused. */
  private admitRequest(
    request: IncomingMessage,
    customer: string,
    isReserved: boolean,
  ) {
    const bodyBytes = readStatedBytes(request);
    const admit = () =>
      this.account.admitRequest(customer, bodyBytes, isReserved);
    if (admit() === undefined) return undefined;
    this.cutConnections();
    return admit();
  }

  private findConnection(socket: Socket): number {
    const known = this.connections.get(socket);
    if (known !== undefined) return known;
    this.lastConnection += 1;
    this.connections.set(socket, this.lastConnection);
    return this.lastConnection;
  }

  private endExchange(id: number, exchange: HeldExchange): void {
    this.account.endRequest(id);
    this.exchanges.delete(id);
    this.paused.delete(exchange);
  }

  /** Returns the bytes held and the limits, for tests and metrics. */
  describe() {
    return this.account.describe();
  }

  private check(): void {
    const {clock, metrics} = this.options;
    this.measure();
    this.account.advance(clock.readMonotonicMs());
    this.reportLevel();
    this.cutConnections();
    this.resumeBodies();
    const {heldBytes, estimatedBytes, softBytes, hardBytes} = this.describe();
    metrics.setGauge('held_bytes', {}, heldBytes);
    metrics.setGauge('held_bytes_corrected', {}, estimatedBytes);
    metrics.setGauge('held_bytes_limit', {limit: 'soft'}, softBytes);
    metrics.setGauge('held_bytes_limit', {limit: 'hard'}, hardBytes);
  }

  /** A measurement fails while the process has no descriptor left. */
  private measure(): void {
    const {measureBytes = measureBuffers, log} = this.options;
    try {
      const arrivingBytes = this.arrivals.getBytes();
      this.account.updateMeasured(Math.max(0, measureBytes() - arrivingBytes));
      this.isMeasured = true;
    } catch (error) {
      const detail = describeError(error);
      if (this.isMeasured) log.writeEvent('memory-not-measured', {detail});
      this.isMeasured = false;
    }
  }

  private reportLevel(): void {
    const level = this.account.getLevel();
    if (level === this.level) return;
    const fields = {level, before: this.level, ...this.describe()};
    this.options.log.writeEvent('memory-level-changed', fields);
    this.level = level;
  }

  private cutConnections(): void {
    const nowMs = this.options.clock.readMonotonicMs();
    for (const cut of this.account.planCuts(nowMs)) this.cutConnection(cut);
  }

  private cutConnection({id, stage, bytes, idleMs, reason}: MemoryCut): void {
    const exchange = this.exchanges.get(id);
    if (exchange === undefined) return;
    const connection = exchange.getSocket();
    const {log, metrics} = this.options;
    metrics.addCount('connections_cut_total', {reason, held: stage});
    log.writeEvent('connection-cut', {
      requestId: exchange.getRequestId(),
      stage,
      bytes,
      idleMs: Math.round(idleMs),
      reason,
      ...this.describe(),
    });
    for (const [otherId, other] of this.exchanges) {
      if (other.getSocket() === connection) this.endExchange(otherId, other);
    }
    exchange.cut(stage);
  }

  private resumeBodies(): void {
    for (const exchange of this.paused) exchange.resumeIfAllowed();
  }
}

function measureBuffers(): number {
  return process.memoryUsage().arrayBuffers;
}

/** Returns the stated length of a body; undefined if it is not known. */
function readStatedBytes({headers}: IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}
