/** What is held for one request and its answer, metered in the memory account. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  Clock,
  MemoryAccount,
  MemoryCut,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
import type {Result} from 'neverthrow';
import type {AnswerMeter, ArrivalHandlers, ArrivalMeter} from './http_call';
import type {ArrivalBoard} from './arrival_board';
import {readBody} from './read_body';

/** Time in which a body must be complete, in ms. */
const MAX_BODY_MS = 120_000;
/** Size of the parts in which an answer is written; each shows progress. */
const PART_BYTES = 65_536;

/** What exchanges share with the memory of the process. */
export interface SharedMemory {
  readonly countBytes: (bytes: number) => void;
  readonly arrivals: ArrivalBoard;
}

interface Exchange {
  /** Number in the account. */
  readonly id: number;
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** What is held for one request and its answer. */
export class HeldExchange implements AnswerMeter {
  private refuse: (error: ServiceError) => void = () => undefined;
  private readonly refusal = new Promise<ServiceError>(resolve => {
    this.refuse = error => {
      this.isRefused = true;
      resolve(error);
    };
  });
  private isRefused = false;
  private idleTimeoutMs = 0;

  private constructor(
    private readonly exchange: Exchange,
    private readonly account: MemoryAccount,
    private readonly clock: Clock,
    private readonly paused: Set<HeldExchange>,
    private readonly shared: SharedMemory,
  ) {}

  static create(
    exchange: Exchange,
    account: MemoryAccount,
    clock: Clock,
    paused: Set<HeldExchange>,
    shared: SharedMemory,
  ): HeldExchange {
    return new HeldExchange(exchange, account, clock, paused, shared);
  }

  getRequestId(): string {
    return this.exchange.requestId;
  }

  getSocket(): Socket {
    return this.exchange.request.socket;
  }

  /** Reads the body, with pauses while memory is short; `endsInMs` is the time in
   * which it must be complete. */
  async readBody(
    maxBytes: number,
    idleTimeoutMs: number,
    endsInMs = MAX_BODY_MS,
  ): Promise<Result<Buffer, ServiceError>> {
    const {id, request, response} = this.exchange;
    this.idleTimeoutMs = idleTimeoutMs;
    request.socket.setTimeout(idleTimeoutMs);
    const timeoutMs = Math.min(MAX_BODY_MS, endsInMs);
    const timer = setTimeout(() => {
      if (!response.headersSent) response.setHeader('Connection', 'close');
      const detail = `the body was not complete after ${timeoutMs} ms`;
      this.refuse(createError('slow-sender', detail));
    }, timeoutMs);
    const body = await readBody(request, maxBytes, {
      onBytes: bytes => this.addBodyBytes(bytes),
      refusal: this.refusal,
    });
    clearTimeout(timer);
    request.socket.setTimeout(0);
    if (body.isOk()) this.account.startRun(id);
    return body;
  }

  private addBodyBytes(bytes: number): void {
    if (this.isRefused) return;
    const {id, request} = this.exchange;
    this.account.addBodyBytes(id, bytes, this.clock.readMonotonicMs());
    this.shared.countBytes(bytes);
    if (this.isRefused || this.account.canRead(id)) return;
    if (!this.account.holdBody(id)) return this.refuseBody();
    // The sender is not idle while it is not read.
    request.socket.setTimeout(0);
    request.pause();
    this.paused.add(this);
  }

  private refuseBody(): void {
    const {id, response} = this.exchange;
    this.account.endRequest(id);
    response.setHeader('Connection', 'close');
    const detail = 'as many bodies are held back as memory allows';
    this.refuse(createError('memory-short', detail));
  }

  resumeIfAllowed(): void {
    const {id, request} = this.exchange;
    if (!this.account.canRead(id)) return;
    this.paused.delete(this);
    this.account.resumeBody(id, this.clock.readMonotonicMs());
    request.socket.setTimeout(this.idleTimeoutMs);
    request.resume();
  }

  openArrival(
    source: string,
    statedBytes: number,
    handlers: ArrivalHandlers,
  ): ArrivalMeter {
    const {arrivals} = this.shared;
    const {requestId} = this.exchange;
    return arrivals.openArrival(requestId, source, statedBytes, handlers);
  }

  /** Writes an answer whose headers are set and ends the response. */
  writeBody(body: Buffer | string): void {
    const {id, response} = this.exchange;
    const length = Buffer.byteLength(body);
    this.account.startAnswer(id, length, this.clock.readMonotonicMs());
    if (length <= PART_BYTES) response.end(body);
    else this.writeParts(Buffer.from(body as Buffer));
    this.shared.countBytes(length);
  }

  /** Writes a part each time the caller has read the one before, so that a
   * caller that reads slowly is told from one that reads nothing. */
  private writeParts(body: Buffer): void {
    const {id, response} = this.exchange;
    let offset = 0;
    const writeMore = (readBytes: number) => {
      const nowMs = this.clock.readMonotonicMs();
      this.account.recordProgress(id, nowMs, readBytes);
      while (offset < body.length && !response.destroyed) {
        const part = body.subarray(offset, offset + PART_BYTES);
        offset += part.length;
        if (offset >= body.length) response.end(part);
        else if (!response.write(part)) return;
      }
    };
    response.on('drain', () => writeMore(PART_BYTES));
    writeMore(0);
  }

  /** Cuts the connection; a request whose body is incomplete is refused. */
  cut(stage: MemoryCut['stage']): void {
    const {request, response} = this.exchange;
    if (stage !== 'body') {
      request.socket.destroy();
      return;
    }
    const detail = 'the body was not read to its end';
    this.refuse(createError('memory-short', detail));
    response.setHeader('Connection', 'close');
    request.resume();
  }
}
