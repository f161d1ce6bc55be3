/**
 * Calls over HTTP/1.1 with kept connections. Each call is bounded in time, and
 * a failed one tells whether any byte of it can have reached the peer.
 */
import {
  Agent,
  AgentOptions,
  ClientRequest,
  IncomingHttpHeaders,
  IncomingMessage,
  request,
} from 'node:http';
import type {Socket, TcpNetConnectOpts} from 'node:net';
import {Result, err, ok} from 'neverthrow';

/** Time for a connection to open, in ms: several round trips over regions. */
const DEFAULT_CONNECT_TIMEOUT_MS = 400;
/** Idle connections kept to one peer. */
const MAX_FREE_SOCKETS = 32;
/** Idle time after which the kernel probes a connection, in ms. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000;

/** Host and port of a peer. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** One call. */
export interface HttpCall {
  readonly address: PeerAddress;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string | readonly string[]>>;
  readonly body?: string | Buffer;
  /** Time for the whole call, in ms. */
  readonly timeoutMs: number;
  readonly connectTimeoutMs?: number;
  /**
   * Whether the call may be made once more, on a new connection, when a kept
   * one breaks before any answer: peers close idle connections at any moment.
   */
  readonly mayRetry?: boolean;
  /**
   * Tells whether an answer is to this call; else its connection is closed,
   * and the call counts as broken.
   */
  readonly isExpectedResponse?: (headers: IncomingHttpHeaders) => boolean;
  /** Gives the call up; its connection is closed. */
  readonly signal?: AbortSignal;
}

/** A whole answer. */
export interface HttpReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** An answer whose body is still on its way. */
export interface HttpStream {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly message: IncomingMessage;
}

/** Hears how an answer that has begun goes on. */
export interface StreamListener {
  /** The whole answer has arrived. */
  readonly onComplete: () => void;
  readonly onFailure: (fault: HttpFailure) => void;
}

/** Why a call has no whole answer. */
export type HttpFailureReason =
  'refused' | 'unreachable' | 'timeout' | 'broken' | 'cancelled';

/** A call without a whole answer. */
export interface HttpFailure {
  readonly reason: HttpFailureReason;
  /** Whether the peer may have received any of the request. */
  readonly isSent: boolean;
  /** Whether the peer had begun to answer. */
  readonly isAnswered: boolean;
  /** Whether the connection had carried a call before. */
  readonly isReused: boolean;
  readonly detail: string;
}

/** Parses `host:port`; undefined for anything else. */
export function parseAddress(text: string): PeerAddress | undefined {
  const colon = text.lastIndexOf(':');
  const port = Number(text.slice(colon + 1));
  const isPort = Number.isInteger(port) && port > 0 && port <= 65_535;
  if (colon < 1 || !isPort) return undefined;
  return {host: text.slice(0, colon), port};
}

/** Writes an address as `host:port`. */
export function formatAddress(address: PeerAddress): string {
  return `${address.host}:${address.port}`;
}

/** Options of an agent and of the connections that it opens. */
const AGENT_OPTIONS: AgentOptions & Pick<TcpNetConnectOpts, 'allowHalfOpen'> = {
  keepAlive: true,
  keepAliveMsecs: KEEP_ALIVE_PROBE_DELAY_MS,
  maxFreeSockets: MAX_FREE_SOCKETS,
  scheduling: 'lifo',
  noDelay: true,
  // Lets a reset be told from an end, see `waitForEnd`.
  allowHalfOpen: true,
};

/** Makes calls and keeps their connections for later ones. */
export class HttpClient {
  private readonly agent = new KeepAliveAgent(AGENT_OPTIONS);

  private constructor() {}

  /** Builds a caller without connections. */
  static create(): HttpClient {
    return new HttpClient();
  }

  /** Makes a call and reads the whole answer. */
  async call(call: HttpCall): Promise<Result<HttpReply, HttpFailure>> {
    const startedAtMs = performance.now();
    const reply = await this.callOnce(call, this.agent);
    if (reply.isOk() || !call.mayRetry || !isStaleConnection(reply.error)) {
      return reply;
    }
    const timeoutMs = call.timeoutMs - (performance.now() - startedAtMs);
    return this.callOnce({...call, timeoutMs}, false);
  }

  private callOnce(
    call: HttpCall,
    agent: Agent | false,
  ): Promise<Result<HttpReply, HttpFailure>> {
    return new Promise(resolve => {
      const exchange = ActiveCall.create(call, agent, fault =>
        resolve(err(fault)),
      );
      exchange.start(message => {
        const chunks: Buffer[] = [];
        message.on('data', (chunk: Buffer) => chunks.push(chunk));
        waitForEnd(message, exchange, () => {
          exchange.finish();
          resolve(
            ok({
              status: message.statusCode ?? 0,
              headers: message.headers,
              body: Buffer.concat(chunks),
            }),
          );
        });
      });
    });
  }

  /**
   * Makes a call and returns once the answer begins. The time limit holds up
   * to there; the listener hears of the answer's end or of a later break.
   */
  open(
    call: HttpCall,
    listener: StreamListener,
  ): Promise<Result<HttpStream, HttpFailure>> {
    return new Promise(resolve => {
      let isOpen = false;
      const exchange = ActiveCall.create(call, this.agent, fault => {
        if (isOpen) listener.onFailure(fault);
        else resolve(err(fault));
      });
      exchange.start(message => {
        isOpen = true;
        exchange.stopTimers();
        waitForEnd(message, exchange, () => {
          exchange.finish();
          listener.onComplete();
        });
        const status = message.statusCode ?? 0;
        resolve(ok({status, headers: message.headers, message}));
      });
    });
  }

  /** Closes every connection. */
  close(): void {
    this.agent.destroy();
  }
}

/** An agent whose idle connections close with the peer's end. */
class KeepAliveAgent extends Agent {
  constructor(options: AgentOptions) {
    super(options);
    this.on('free', (socket: Socket) => {
      // Bytes that came after an answer belong to no request.
      if (socket.readableLength > 0) socket.destroy();
      else socket.on('end', destroySocket);
    });
  }

  override reuseSocket(socket: Socket, clientRequest: ClientRequest): void {
    socket.off('end', destroySocket);
    super.reuseSocket(socket, clientRequest);
  }
}

function destroySocket(this: Socket): void {
  this.destroy();
}

/** Tells whether a kept connection had been closed before the call. */
function isStaleConnection(fault: HttpFailure): boolean {
  return fault.reason === 'broken' && fault.isReused && !fault.isAnswered;
}

/** Tells whether only the end of the connection ends an answer. */
function isDelimitedByClose(message: IncomingMessage): boolean {
  const {headers} = message;
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * Waits for the whole answer. Where only the end of the connection ends it, a
 * reset right after its last bytes is reported as an end as well; an empty
 * line tells them apart, since it cannot be written after a reset.
 */
function waitForEnd(
  message: IncomingMessage,
  exchange: ActiveCall,
  onWhole: () => void,
): void {
  let hasEnded = false;
  let isConfirmed = !isDelimitedByClose(message);
  const finish = () => {
    if (hasEnded && isConfirmed) onWhole();
  };
  message.on('end', () => {
    hasEnded = message.complete;
    finish();
  });
  if (isConfirmed) return;
  // Before the listener of the HTTP client, which ends this side as well.
  message.socket.prependOnceListener('end', () => {
    message.socket.write('\r\n', error => {
      if (error) return exchange.fail('broken', 'reset in place of an end');
      isConfirmed = true;
      finish();
    });
  });
}

/** One call under way. */
class ActiveCall {
  private readonly request: ClientRequest;
  private isSent = false;
  private isAnswered = false;
  private isFinished = false;
  private timers: NodeJS.Timeout[] = [];
  private readonly cancel = () => this.fail('cancelled', 'given up');

  private constructor(
    private readonly options: HttpCall,
    agent: Agent | false,
    private readonly onFailure: (fault: HttpFailure) => void,
  ) {
    const {address, method, path, headers, body} = options;
    this.request = request({
      agent,
      host: address.host,
      port: address.port,
      method,
      path,
      headers: {
        ...headers,
        ...(body === undefined
          ? {}
          : {'content-length': String(Buffer.byteLength(body))}),
      },
    });
  }

  static create(
    options: HttpCall,
    agent: Agent | false,
    onFailure: (fault: HttpFailure) => void,
  ): ActiveCall {
    return new ActiveCall(options, agent, onFailure);
  }

  start(onAnswer: (message: IncomingMessage) => void): void {
    const {body, signal, timeoutMs} = this.options;
    this.request.on('socket', socket => this.watchConnect(socket));
    this.request.on('error', error => this.failWithError(error));
    this.request.on('response', message => {
      if (this.options.isExpectedResponse?.(message.headers) === false) {
        return this.fail('broken', 'answer to another call');
      }
      this.isAnswered = true;
      message.on('error', error => this.failWithError(error));
      message.on('aborted', () => this.fail('broken', 'the answer broke off'));
      onAnswer(message);
    });
    this.addTimer(timeoutMs, 'timeout', `no answer in ${timeoutMs} ms`);
    if (signal?.aborted) return this.cancel();
    signal?.addEventListener('abort', this.cancel, {once: true});
    this.request.end(body);
  }

  private watchConnect(socket: Socket): void {
    if (this.isFinished) return;
    if (!socket.connecting) {
      this.isSent = true;
      return;
    }
    const limitMs = this.options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
    const timer = this.addTimer(limitMs, 'unreachable', 'no connection');
    socket.once('connect', () => {
      this.isSent = true;
      clearTimeout(timer);
    });
  }

  private addTimer(
    delayMs: number,
    reason: HttpFailureReason,
    detail: string,
  ): NodeJS.Timeout {
    const timer = setTimeout(() => this.fail(reason, detail), delayMs);
    this.timers.push(timer);
    return timer;
  }

  stopTimers(): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.timers = [];
  }

  finish(): void {
    this.isFinished = true;
    this.stopTimers();
    this.options.signal?.removeEventListener('abort', this.cancel);
  }

  private failWithError(error: NodeJS.ErrnoException): void {
    const isRefused = error.code === 'ECONNREFUSED' || !this.isSent;
    this.fail(isRefused ? 'refused' : 'broken', error.message);
  }

  fail(reason: HttpFailureReason, detail: string): void {
    if (this.isFinished) return;
    this.finish();
    this.request.destroy();
    const {isSent, isAnswered} = this;
    const isReused = this.request.reusedSocket;
    this.onFailure({reason, isSent, isAnswered, isReused, detail});
  }
}
