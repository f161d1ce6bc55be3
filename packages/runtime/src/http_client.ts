/**
 * HTTP/1.1 client with keep-alive connections. Every call has a time limit, and
 * a failure states whether any part of the request may have reached the peer.
 */
import {
  Agent,
  AgentOptions,
  ClientRequest,
  IncomingMessage,
  request,
} from 'node:http';
import type {Socket, TcpNetConnectOpts} from 'node:net';
import {Result, err, ok} from 'neverthrow';
import {BodyBuffer} from './body_buffer';
import {describeError} from './describe_error';
import {isValidStatus} from './http_status';
import {isDelimitedByClose, waitForEnd} from './http_response_end';
import {formatAddress} from './peer_address';
import type {
  ArrivalMeter,
  HttpCall,
  HttpFailure,
  HttpFailureReason,
  HttpReply,
  HttpStream,
  StreamListener,
} from './http_call';

/** Longest delay of a timer of Node, in ms; longer ones end at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;
/** Time to open a connection: several round trips between regions. */
const DEFAULT_CONNECT_TIMEOUT_MS = 400;
/** Maximum size of a buffered response body, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 67_108_864;
/** Maximum number of interim responses (1xx) before a response. */
const MAX_INTERIM_RESPONSES = 8;
const STATUS_NOT_MODIFIED = 304;
/** Idle connections kept open per peer. */
const MAX_FREE_SOCKETS = 32;
/** Idle time after which the kernel sends TCP keep-alive probes. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000;

/** Options of the agent and, as it passes them on, of its sockets. */
const AGENT_OPTIONS: AgentOptions & Pick<TcpNetConnectOpts, 'allowHalfOpen'> = {
  keepAlive: true,
  keepAliveMsecs: KEEP_ALIVE_PROBE_DELAY_MS,
  maxFreeSockets: MAX_FREE_SOCKETS,
  scheduling: 'lifo',
  noDelay: true,
  // Needed to distinguish a reset from a regular end, see `waitForEnd`.
  allowHalfOpen: true,
};

/** Makes calls and reuses their connections. */
export class HttpClient {
  private readonly agent: KeepAliveAgent;

  private constructor(maxConnections: number) {
    const bounds = Number.isFinite(maxConnections)
      ? {maxTotalSockets: maxConnections}
      : {};
    this.agent = new KeepAliveAgent({...AGENT_OPTIONS, ...bounds});
  }

  /** `maxConnections` bounds the connections to all peers; further calls wait. */
  static create(maxConnections = Infinity): HttpClient {
    return new HttpClient(maxConnections);
  }

  /** Makes a call and buffers the complete response. */
  async call(call: HttpCall): Promise<Result<HttpReply, HttpFailure>> {
    const startedAtMs = performance.now();
    const reply = await this.callOnce(call, this.agent);
    if (reply.isOk() || !call.mayRetry || !isStaleConnection(reply.error)) {
      return reply;
    }
    const elapsedMs = performance.now() - startedAtMs;
    if (elapsedMs > (call.retryWindowMs ?? Infinity)) return reply;
    const timeoutMs = call.timeoutMs - elapsedMs;
    const retry = await this.callOnce({...call, timeoutMs}, false);
    return retry.mapErr(failure => mergeFailures(reply.error, failure));
  }

  private callOnce(
    call: HttpCall,
    agent: Agent | false,
  ): Promise<Result<HttpReply, HttpFailure>> {
    return new Promise(resolve => {
      const activeCall = createCall(call, agent, failure =>
        resolve(err(failure)),
      );
      activeCall?.start(message => {
        const {maxBodyBytes = DEFAULT_MAX_BODY_BYTES} = call;
        const statedBytes = readStatedBytes(call, message);
        if (statedBytes > maxBodyBytes) {
          return activeCall.failOversized(`body of ${statedBytes} bytes`);
        }
        const body = BodyBuffer.create(statedBytes);
        const readChunk = (chunk: Buffer) => {
          if (activeCall.hasEnded()) return;
          body.append(chunk);
          activeCall.arrival?.recordArrived(body.getLength());
          if (activeCall.hasEnded()) return void body.clear();
          if (body.getLength() <= maxBodyBytes) return;
          body.clear();
          activeCall.failOversized(`body of over ${maxBodyBytes} bytes`);
        };
        const start = () => void message.on('data', readChunk);
        const {answerMeter, address} = call;
        if (answerMeter === undefined) start();
        else {
          const drop = (detail: string) => activeCall.reject(detail);
          const source = formatAddress(address);
          activeCall.arrival = answerMeter.openArrival(source, statedBytes, {
            start,
            drop,
          });
        }
        waitForEnd(message, activeCall.handleReset, () => {
          activeCall.finish();
          resolve(
            ok({
              status: message.statusCode ?? 0,
              headers: message.headers,
              body: body.take(),
              isDelimitedByClose: isDelimitedByClose(message),
            }),
          );
        });
      });
    });
  }

  /**
   * Makes a call and resolves once the response headers have arrived, at which
   * point the call's time limit ends. The listener is notified of the end of
   * the response or of a later failure.
   */
  open(
    call: HttpCall,
    listener: StreamListener,
  ): Promise<Result<HttpStream, HttpFailure>> {
    return new Promise(resolve => {
      let isOpen = false;
      const activeCall = createCall(call, this.agent, failure => {
        if (isOpen) listener.onFailure(failure);
        else resolve(err(failure));
      });
      activeCall?.start(message => {
        isOpen = true;
        activeCall.stopTimers();
        waitForEnd(message, activeCall.handleReset, () => {
          activeCall.finish();
          listener.onComplete();
        });
        const status = message.statusCode ?? 0;
        resolve(ok({status, headers: message.headers, message}));
      });
    });
  }

  /** Closes all connections, including those of active calls. */
  close(): void {
    this.agent.destroy();
  }
}

/** Agent that closes idle connections when the peer ends them. */
class KeepAliveAgent extends Agent {
  constructor(options: AgentOptions) {
    super(options);
    this.on('free', (socket: Socket) => {
      // Data received after a response belongs to no request.
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

/** Returns the stated size of a body in bytes; 0 if it is not known, or if the
 * response has no body whatever its headers state. */
function readStatedBytes(
  {method}: HttpCall,
  {headers, statusCode}: IncomingMessage,
): number {
  if (method === 'HEAD' || statusCode === STATUS_NOT_MODIFIED) return 0;
  return Number(headers['content-length'] ?? 0);
}

/** Returns whether the peer had probably closed a reused connection. */
function isStaleConnection(failure: HttpFailure): boolean {
  return failure.reason === 'broken' && failure.isReused && !failure.isAnswered;
}

/** Returns the failure of a call whose retry failed too: the peer may have
 * received the first try, even if it could not be reached again. */
function mergeFailures(first: HttpFailure, retry: HttpFailure): HttpFailure {
  const reason = retry.isSent ? retry.reason : first.reason;
  const detail = `${first.detail}; retried: ${retry.detail}`;
  return {...retry, reason, isSent: true, detail};
}

/** Creates a call; fails it if Node does not accept its path or headers. */
function createCall(
  call: HttpCall,
  agent: Agent | false,
  onFailure: (failure: HttpFailure) => void,
): ActiveCall | undefined {
  try {
    return ActiveCall.create(call, agent, onFailure);
  } catch (error) {
    onFailure({
      ...{reason: 'unsendable', isSent: false, isAnswered: false},
      ...{isReused: false, isPortClosed: false, isOversized: false},
      ...{isRejected: false, detail: describeError(error)},
    });
    return undefined;
  }
}

/** State and timers of one call until it finishes or fails. */
class ActiveCall {
  /** Follows the body of the response, if that is metered. */
  arrival: ArrivalMeter | undefined;
  private readonly request: ClientRequest;
  private isSent = false;
  private isAnswered = false;
  private isFinished = false;
  private isOversized = false;
  private isRejected = false;
  private isPortClosed = false;
  private timers: NodeJS.Timeout[] = [];
  private readonly cancel = () =>
    this.fail('cancelled', 'cancelled by the caller');

  private constructor(
    private readonly options: HttpCall,
    agent: Agent | false,
    private readonly onFailure: (failure: HttpFailure) => void,
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
    onFailure: (failure: HttpFailure) => void,
  ): ActiveCall {
    return new ActiveCall(options, agent, onFailure);
  }

  start(onResponse: (message: IncomingMessage) => void): void {
    const {body, signal, timeoutMs} = this.options;
    this.request.on('socket', socket => this.watchConnect(socket));
    let interimResponses = 0;
    this.request.on('information', () => {
      interimResponses += 1;
      if (interimResponses <= MAX_INTERIM_RESPONSES) return;
      this.fail('broken', 'interim responses without end');
    });
    this.request.on('error', error => this.failWithError(error));
    this.request.on('response', message => {
      if (this.options.isExpectedResponse?.(message.headers) === false) {
        return this.fail('broken', 'the response belongs to another call');
      }
      this.isAnswered = true;
      const {statusCode = 0} = message;
      if (!isValidStatus(statusCode)) {
        return this.reject(`invalid status ${statusCode}`);
      }
      message.on('error', error => this.failWithError(error));
      message.on('aborted', () =>
        this.fail('broken', 'the response was cut off'),
      );
      onResponse(message);
    });
    this.addTimer(timeoutMs, 'timeout', `timed out after ${timeoutMs} ms`);
    if (signal?.aborted) return this.cancel();
    signal?.addEventListener('abort', this.cancel, {once: true});
    this.request.end(body);
  }

  private watchConnect(socket: Socket): void {
    if (this.isFinished) return;
    if (!socket.connecting) {
      if (!this.canWrite()) return this.refuseWrite();
      this.isSent = true;
      return;
    }
    const limitMs = this.options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
    const timer = this.addTimer(limitMs, 'unreachable', 'connecting timed out');
    socket.once('connect', () => {
      clearTimeout(timer);
      // This listener runs before the one that writes the request.
      if (!this.canWrite()) return this.refuseWrite();
      this.isSent = true;
    });
  }

  private canWrite(): boolean {
    return this.options.mayWrite?.() ?? true;
  }

  private refuseWrite(): void {
    this.fail('cancelled', 'the call may not be written any more');
  }

  private addTimer(
    delayMs: number,
    reason: HttpFailureReason,
    detail: string,
  ): NodeJS.Timeout {
    const timer = setTimeout(
      () => this.fail(reason, detail),
      Math.min(delayMs, MAX_TIMER_MS),
    );
    this.timers.push(timer);
    return timer;
  }

  hasEnded(): boolean {
    return this.isFinished;
  }

  stopTimers(): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.timers = [];
  }

  finish(): void {
    this.isFinished = true;
    this.arrival?.end();
    this.stopTimers();
    this.options.signal?.removeEventListener('abort', this.cancel);
  }

  readonly handleReset = (detail: string) => this.fail('broken', detail);

  private failWithError(error: NodeJS.ErrnoException): void {
    this.isPortClosed = error.code === 'ECONNREFUSED';
    const isRefused = this.isPortClosed || !this.isSent;
    this.fail(isRefused ? 'refused' : 'broken', error.message);
  }

  failOversized(detail: string): void {
    this.isOversized = true;
    this.reject(detail);
  }

  /** Fails since the response is not one that this node takes. */
  reject(detail: string): void {
    this.isRejected = true;
    this.fail('broken', detail);
  }

  fail(reason: HttpFailureReason, detail: string): void {
    if (this.isFinished) return;
    this.finish();
    this.request.destroy();
    const {isSent, isAnswered, isOversized, isRejected, isPortClosed} = this;
    const isReused = this.request.reusedSocket;
    const connection = {isSent, isAnswered, isReused, isPortClosed};
    this.onFailure({
      ...{reason, ...connection, isOversized, isRejected, detail},
    });
  }
}
