/**
 * HTTP servers of the system: a table of routes, limits on headers, body and
 * slow senders, JSON answers, and a close that cuts off no request.
 */
import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {ErrorKind, ServiceError, createError} from '@sassafrasspan/core';
import {Result, err, ok} from 'neverthrow';
import {formatErrorReply, formatRawError} from './http_errors';
import {describeError} from './describe_error';

const DEFAULT_MAX_HEADER_BYTES = 16_384;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
const DEFAULT_REQUEST_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_TIMEOUT_MS = 5_000;
const DRAINING_KEEP_ALIVE_TIMEOUT_MS = 1_000;
/** How late a slow sender may be noticed. */
const TIMEOUT_CHECK_INTERVAL_MS = 100;
/** Time for a client to read an error before its connection is broken. */
const ERROR_LINGER_MS = 2_000;

/** Error kind of each code that Node's parser raises. */
const PARSER_KINDS: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: 'headers-too-large',
  ERR_HTTP_REQUEST_TIMEOUT: 'slow-sender',
};

/** A request with its URL taken apart. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Values of the named parts of the route's path. */
  readonly params: Readonly<Record<string, string>>;
}

/** Handles one request; a rejection becomes an `internal` error. */
export type HttpHandler = (exchange: HttpExchange) => Promise<void> | void;

/** One route: method, path with `:name` parts or a final `*`, handler. */
export interface Route {
  /** HTTP method; `*` for any. */
  readonly method: string;
  readonly path: string;
  readonly handler: HttpHandler;
}

/** Limits of a server. */
export interface HttpLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headersTimeoutMs: number;
  readonly requestTimeoutMs: number;
  /** Requests that may be open at once; undefined for any number. */
  readonly maxOpenRequests?: number;
}

/** Limits that hold where settings name none. */
export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  maxHeaderBytes: DEFAULT_MAX_HEADER_BYTES,
  maxBodyBytes: DEFAULT_MAX_BODY_BYTES,
  headersTimeoutMs: DEFAULT_HEADERS_TIMEOUT_MS,
  requestTimeoutMs: DEFAULT_REQUEST_TIMEOUT_MS,
};

/** Where a server listens. */
export interface ListenAddress {
  readonly host: string;
  /** Port; 0 for any free one. */
  readonly port: number;
}

/** A listening HTTP server. */
export class HttpServer {
  private readonly responses = new WeakMap<Duplex, ServerResponse>();
  private readonly openResponses = new Set<ServerResponse>();
  private openRequests = 0;
  private isDraining = false;

  private constructor(
    private readonly server: Server,
    private readonly routes: readonly Route[],
    private readonly limits: HttpLimits,
  ) {}

  /** Builds a server for a table of routes. */
  static create(routes: readonly Route[], limits: HttpLimits): HttpServer {
    const server = createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    });
    const created = new HttpServer(server, routes, limits);
    server.on('request', (request, response) => {
      created.trackResponse(response);
      void created.handleRequest(request, response);
    });
    server.on('clientError', (error: ClientError, socket) => {
      created.answerClientError(error, socket);
    });
    return created;
  }

  private trackResponse(response: ServerResponse): void {
    this.openResponses.add(response);
    response.on('close', () => this.openResponses.delete(response));
    if (this.isDraining) response.setHeader('connection', 'close');
  }

  /**
   * Goes on answering, but tells each client with its answer that the
   * connection takes no further request.
   */
  startDraining(): void {
    this.isDraining = true;
    this.server.keepAliveTimeout = DRAINING_KEEP_ALIVE_TIMEOUT_MS;
    for (const response of this.openResponses) {
      if (!response.headersSent) response.setHeader('connection', 'close');
    }
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.responses.set(request.socket, response);
    response.once('close', () => {
      if (request.complete) this.responses.delete(request.socket);
    });
    const {maxOpenRequests} = this.limits;
    if (maxOpenRequests !== undefined && this.openRequests >= maxOpenRequests) {
      const detail = `${maxOpenRequests} requests are open`;
      return sendError(response, createError('too-many-open', detail));
    }
    this.openRequests += 1;
    response.once('close', () => {
      this.openRequests -= 1;
    });
    return this.routeRequest(request, response);
  }

  /** Answers what Node's parser refuses, unless an answer has begun. */
  private answerClientError(error: ClientError, socket: Duplex): void {
    const hasAnswer = this.responses.get(socket)?.headersSent === true;
    if (hasAnswer || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const kind = PARSER_KINDS[error.code ?? ''] ?? 'bad-request';
    socket.end(formatRawError(createError(kind, error.message)));
    setTimeout(() => socket.destroy(), ERROR_LINGER_MS).unref();
  }

  private async routeRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = parseUrl(request.url ?? '/');
    if (url === undefined) {
      const detail = 'the request target is not a path';
      return sendError(response, createError('bad-request', detail));
    }
    for (const route of this.routes) {
      const params = matchRoute(route, request.method ?? 'GET', url.pathname);
      if (params === undefined) continue;
      return runHandler(route.handler, {request, response, url, params});
    }
    sendError(response, createError('not-found', `no page ${url.pathname}`));
  }

  /** Starts to listen; returns the address in use. */
  listen(address: ListenAddress): Promise<ListenAddress> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(address.port, address.host, () => {
        const bound = this.server.address() as AddressInfo;
        resolve({host: address.host, port: bound.port});
      });
    });
  }

  /** Takes no new connection and resolves when the last request has ended. */
  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Breaks off every connection. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** An error of Node's HTTP parser. */
type ClientError = Error & {readonly code?: string};

function parseUrl(target: string): URL | undefined {
  return URL.canParse(target, 'http://localhost')
    ? new URL(target, 'http://localhost')
    : undefined;
}

async function runHandler(
  handler: HttpHandler,
  exchange: HttpExchange,
): Promise<void> {
  try {
    await handler(exchange);
  } catch (error) {
    sendError(exchange.response, createError('internal', describeError(error)));
  }
}

function matchRoute(
  route: Route,
  method: string,
  pathname: string,
): Record<string, string> | undefined {
  if (route.method !== '*' && route.method !== method) return undefined;
  const pattern = route.path.split('/');
  const parts = pathname.split('/');
  const isOpen = pattern[pattern.length - 1] === '*';
  if (!isOpen && pattern.length !== parts.length) return undefined;
  const params: Record<string, string> = {};
  for (const [index, expected] of pattern.entries()) {
    if (expected === '*') {
      params['*'] = parts.slice(index).join('/');
      return params;
    }
    const part = parts[index];
    if (part === undefined) return undefined;
    if (expected.startsWith(':')) params[expected.slice(1)] = decodePart(part);
    else if (expected !== part) return undefined;
  }
  return params;
}

function decodePart(part: string): string {
  try {
    return decodeURIComponent(part);
  } catch {
    return part;
  }
}

/**
 * Reads a whole body up to a limit in bytes. What is over the limit is read
 * and dropped, so that the sender can read its answer.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, ServiceError>> {
  const chunks: Buffer[] = [];
  let length = 0;
  return new Promise(resolve => {
    const fail = (kind: ErrorKind, detail: string) =>
      resolve(err(createError(kind, detail)));
    const refuseSize = () => {
      chunks.length = 0;
      fail('body-too-large', `the body is over ${maxBytes} bytes`);
    };
    if (Number(request.headers['content-length'] ?? 0) > maxBytes) refuseSize();
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > maxBytes) refuseSize();
      else chunks.push(chunk);
    });
    request.on('end', () => resolve(ok(Buffer.concat(chunks))));
    request.on('error', error => fail('slow-sender', error.message));
    request.on('close', () => fail('slow-sender', 'the sender went away'));
  });
}

/** Reads a JSON body up to a limit in bytes. */
export async function readJsonBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<unknown, ServiceError>> {
  const body = await readBody(request, maxBytes);
  return body.andThen(data => parseJson(data.toString('utf8')));
}

/** Parses JSON from a peer. */
export function parseJson(text: string): Result<unknown, ServiceError> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch (error) {
    return err(createError('bad-request', describeError(error)));
  }
}

/** Sends a JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(body);
}

/** Sends text with a content type. */
export function sendText(
  response: ServerResponse,
  contentType: string,
  text: string,
): void {
  response.writeHead(200, {'content-type': contentType});
  response.end(text);
}

/**
 * Sends an error at once, with its outcome and when to come back. A response
 * that has begun is broken off instead, so that it never looks whole.
 */
export function sendError(response: ServerResponse, error: ServiceError): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const {status, headers, body} = formatErrorReply(error);
  response.writeHead(status, {...headers});
  response.end(body);
}
