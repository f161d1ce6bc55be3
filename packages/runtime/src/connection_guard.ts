/**
 * Bounds the connections of an HTTP server and the requests that one connection
 * may have open. Meters what each connection does and closes those that the table
 * of connections chooses; refusals are logged in sums, so that a crowd fills no
 * log.
 */
import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {Clock, ConnectionTable, Eviction} from '@sassafrasspan/core';
import type {EventLog} from './log';
import type {Metrics} from './metrics';
import {dropBody} from './read_body';

/** Interval at which progress is sampled and refusals are logged, in ms. */
const SAMPLE_INTERVAL_MS = 500;
/** Requests of one connection that may be open at once; further ones close it. */
const MAX_PIPELINED_REQUESTS = 16;
/** Time that a client may be behind an ordinary one at a body or an answer before
 * its connection is closed, in ms. */
const MAX_LAG_MS = 120_000;

export interface GuardOptions {
  /** Name of the port in logs and metrics. */
  readonly port: string;
  readonly maxConnections: number;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics?: Metrics;
}

interface GuardedConnection {
  readonly id: number;
  readonly socket: Socket;
  /** Bytes read and written when they were last sampled. */
  bytesRead: number;
  bytesSent: number;
  /** Requests without a finished answer. */
  openRequests: number;
  /** Answer to the request that came last. */
  response: ServerResponse | undefined;
  stage: Eviction['stage'];
}

/** Why connections were closed. */
type CloseReason = Eviction['stage'] | 'full' | 'pipelined' | 'lagging';

interface ClosedConnections {
  count: number;
  maxWaitedMs: number;
}

/** The parser of a connection; a part of Node that is not documented. */
interface RequestParser {
  /** Called with each request; the result says how to go on. */
  onIncoming: () => number;
}

/** Result after which what follows is not parsed, as after an upgrade. */
const NO_MORE_REQUESTS = 2;

/** Guards the connections of one server. */
export class ConnectionGuard {
  private readonly table: ConnectionTable;
  private readonly connections = new Map<number, GuardedConnection>();
  private readonly bySocket = new WeakMap<Socket, GuardedConnection>();
  private readonly closed = new Map<CloseReason, ClosedConnections>();
  private lastId = 0;

  private constructor(private readonly options: GuardOptions) {
    this.table = ConnectionTable.create(options.maxConnections);
  }

  /** Guards a server from its next connection on. `handle` is called with each
   * request that the guard admits. */
  static attach(
    server: Server,
    options: GuardOptions,
    handle: RequestListener,
  ): ConnectionGuard {
    const guard = new ConnectionGuard(options);
    server.on('connection', socket => guard.open(socket));
    server.on('request', (request, response) => {
      if (guard.startRequest(request, response)) handle(request, response);
      else dropBody(request);
    });
    server.on('error', error => {
      const {port, log} = options;
      // Whoever starts the server reports a port that cannot be bound.
      if (!server.listening) return;
      log.writeEvent('port-failed', {port, detail: error.message});
    });
    setInterval(() => guard.sample(), SAMPLE_INTERVAL_MS).unref();
    return guard;
  }

  private open(socket: Socket): void {
    this.lastId += 1;
    const id = this.lastId;
    const connection: GuardedConnection = {
      id,
      socket,
      bytesRead: 0,
      bytesSent: 0,
      openRequests: 0,
      response: undefined,
      stage: 'unstarted' as const,
    };
    this.connections.set(id, connection);
    this.bySocket.set(socket, connection);
    socket.on('close', () => {
      this.table.close(id);
      this.connections.delete(id);
    });
    const address = socket.remoteAddress ?? '';
    const nowMs = this.options.clock.readMonotonicMs();
    const evicted = this.table.open(id, address, nowMs);
    if (evicted !== undefined) {
      const reason = evicted.id === id ? 'full' : evicted.stage;
      this.closeConnection(evicted.id, reason, evicted.waitedMs);
    }
  }

  /** Returns false if the connection of the request is closed, or nothing can be
   * written to it any more: it has been answered with a refusal. */
  private startRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): boolean {
    const connection = this.bySocket.get(request.socket);
    const {destroyed, writableEnded} = request.socket;
    if (destroyed || writableEnded) return false;
    if (connection === undefined) return true;
    connection.openRequests += 1;
    if (connection.openRequests > MAX_PIPELINED_REQUESTS) {
      this.closeConnection(connection.id, 'pipelined', 0);
      return false;
    }
    const {id} = connection;
    connection.response = response;
    this.startStage(connection, hasBody(request) ? 'body' : 'running');
    request.on('end', () => {
      if (!response.writableEnded) this.startStage(connection, 'running');
    });
    response.on('prefinish', () => this.startStage(connection, 'answer'));
    response.on('close', () => {
      connection.openRequests -= 1;
      const isIdle = connection.openRequests === 0;
      if (this.connections.has(id)) {
        this.startStage(connection, isIdle ? 'idle' : 'running');
      }
    });
    return true;
  }

  private startStage(
    connection: GuardedConnection,
    stage: Eviction['stage'],
  ): void {
    const nowMs = this.options.clock.readMonotonicMs();
    connection.stage = stage;
    this.table.startStage(connection.id, stage, nowMs);
    this.recordProgress(connection, nowMs);
  }

  /** Takes in what the connection has moved since the last sample. */
  private recordProgress(connection: GuardedConnection, nowMs: number): void {
    const {socket} = connection;
    const bytesSent = socket.bytesWritten - socket.writableLength;
    const movedBytes =
      socket.bytesRead -
      connection.bytesRead +
      bytesSent -
      connection.bytesSent;
    connection.bytesRead = socket.bytesRead;
    connection.bytesSent = bytesSent;
    this.table.recordBytes(connection.id, movedBytes, nowMs);
  }

  private sample(): void {
    const {clock, metrics, port, log} = this.options;
    const nowMs = clock.readMonotonicMs();
    for (const connection of this.connections.values()) {
      this.recordProgress(connection, nowMs);
      this.checkAnswer(connection, nowMs);
    }
    for (const {id, waitedMs} of this.table.listLagging(MAX_LAG_MS, nowMs)) {
      this.closeConnection(id, 'lagging', waitedMs);
    }
    metrics?.setGauge('connections_open', {port}, this.connections.size);
    const {maxConnections} = this.options;
    for (const [reason, {count, maxWaitedMs}] of this.closed) {
      const fields = {port, reason, count, maxWaitedMs, maxConnections};
      log.writeEvent('connections-closed', fields);
    }
    this.closed.clear();
  }

  /** An answer that is written in parts is one from its head on; its reader is not
   * behind while nothing is unread. */
  private checkAnswer(connection: GuardedConnection, nowMs: number): void {
    const {id, response, socket, stage} = connection;
    if (response === undefined || !response.headersSent) return;
    if (response.writableFinished || response.destroyed) return;
    if (stage === 'running') this.startStage(connection, 'answer');
    if (socket.writableLength === 0) {
      this.table.recordBytes(id, Infinity, nowMs);
    }
  }

  private closeConnection(
    id: number,
    reason: CloseReason,
    waitedMs: number,
  ): void {
    const connection = this.connections.get(id);
    if (connection === undefined) return;
    const sum = this.closed.get(reason) ?? {count: 0, maxWaitedMs: 0};
    const maxWaitedMs = Math.max(sum.maxWaitedMs, Math.round(waitedMs));
    this.closed.set(reason, {count: sum.count + 1, maxWaitedMs});
    const {metrics, port} = this.options;
    metrics?.addCount('connections_closed_total', {port, reason});
    this.table.close(id);
    this.connections.delete(id);
    stopParser(connection.socket);
    connection.socket.destroy();
  }
}

/** Keeps Node from parsing what it has read of a closed connection. One read can hold
 * hundreds of requests, whose objects stay until the connections that were read in
 * the same pass of the event loop are closed at its end. */
function stopParser(socket: Socket): void {
  const {parser} = socket as Socket & {parser?: RequestParser | null};
  if (parser) parser.onIncoming = () => NO_MORE_REQUESTS;
}

function hasBody(request: IncomingMessage): boolean {
  const {headers} = request;
  const length = Number(headers['content-length'] ?? 0);
  return length > 0 || headers['transfer-encoding'] !== undefined;
}
