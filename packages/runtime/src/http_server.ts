/**
 * HTTP server with a route table, limits on headers, bodies and slow senders,
 * JSON responses and a graceful close.
 */
import {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
  createServer,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {ErrorKind, ServiceError, createError} from '@sassafrasspan/core';
import type {Result} from 'neverthrow';
import {formatErrorReply, formatRawError} from './http_errors';
import {describeError} from './describe_error';
import {ConnectionGuard, GuardOptions} from './connection_guard';
import {parseJson} from './json';
import {readBody} from './read_body';

const DEFAULT_MAX_HEADER_BYTES = 16_384;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
const DEFAULT_REQUEST_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_TIMEOUT_MS = 5_000;
const DRAINING_KEEP_ALIVE_TIMEOUT_MS = 1_000;
/** Interval of Node's check for slow senders: a timeout may be this late. */
const TIMEOUT_CHECK_INTERVAL_MS = 100;
/** Time for a client to read an error before its connection is destroyed. */
const ERROR_LINGER_MS = 2_000;

/** Error kinds of the parser's error codes; any other is a `bad-request`. */
const PARSER_KINDS: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: 'headers-too-large',
  ERR_HTTP_REQUEST_TIMEOUT: 'slow-sender',
};

/** A request with its parsed URL, and the response to it. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Decoded values of the `:name` segments; `*` holds the rest, undecoded. */
  readonly params: Readonly<Record<string, string>>;
}

/** Handles one request; an exception is answered with an `internal` error. */
export type HttpHandler = (exchange: HttpExchange) => Promise<void> | void;

/** One route. The first matching route of a table handles a request. */
export interface Route {
  /** HTTP method; `*` for any. */
  readonly method: string;
  /** Segments may be `:name`; a final `*` matches the rest of the path. */
  readonly path: string;
  readonly handler: HttpHandler;
}

/** Limits of a server. */
export interface HttpLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headersTimeoutMs: number;
  readonly requestTimeoutMs: number;
  /** Maximum number of concurrent requests; undefined for no limit. */
  readonly maxOpenRequests?: number;
  /** Bounds of the connections; undefined for none. */
  readonly guard?: GuardOptions;
}

/** Limits used where the settings name none. */
export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  maxHeaderBytes: DEFAULT_MAX_HEADER_BYTES,
  maxBodyBytes: DEFAULT_MAX_BODY_BYTES,
  headersTimeoutMs: DEFAULT_HEADERS_TIMEOUT_MS,
  requestTimeoutMs: DEFAULT_REQUEST_TIMEOUT_MS,
};

/** Address that a server binds to. */
export interface ListenAddress {
  readonly host: string;
  /** Port; 0 to let the system choose a free one. */
  readonly port: number;
}

/** An HTTP server for a table of routes. */
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

  /** The server listens only after `listen` is called. */
  static create(routes: readonly Route[], limits: HttpLimits): HttpServer {
    const server = createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    });
    const created = new HttpServer(server, routes, limits);
    const handle: RequestListener = (request, response) => {
      created.trackResponse(response);
      void created.handleRequest(request, response);
    };
    if (limits.guard === undefined) server.on('request', handle);
    else ConnectionGuard.attach(server, limits.guard, handle);
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
   * Continues to accept requests, but adds `connection: close` to each response
   * so that clients open a new connection elsewhere.
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

  /** Answers a request that failed to parse, unless a response has begun. */
  private answerClientError(error: ClientError, socket: Duplex): void {
    const hasBegun = this.responses.get(socket)?.headersSent === true;
    if (hasBegun || !socket.writable || error.code === 'ECONNRESET') {
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
    sendError(
      response,
      createError('not-found', `no route for ${url.pathname}`),
    );
  }

  /** Starts listening; returns the bound address with the actual port. */
  listen(address: ListenAddress): Promise<ListenAddress> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(address.port, address.host, () => {
        const bound = this.server.address() as AddressInfo;
        resolve({host: address.host, port: bound.port});
      });
    });
  }

  /** Stops accepting connections; resolves when the last request has ended. */
  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Closes all connections at once, including those with open requests. */
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
  const hasWildcard = pattern[pattern.length - 1] === '*';
  if (!hasWildcard && pattern.length !== parts.length) return undefined;
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

/** Reads a JSON body up to a limit in bytes. */
export async function readJsonBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<unknown, ServiceError>> {
  const body = await readBody(request, maxBytes);
  return body.andThen(data => parseJson(data.toString('utf8')));
}

/** Sends a value as a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(body);
}

/** Sends text with status 200. */
export function sendText(
  response: ServerResponse,
  contentType: string,
  text: string,
): void {
  response.writeHead(200, {'content-type': contentType});
  response.end(text);
}

/**
 * Sends an error response with its outcome and retry delay. If the response has
 * already begun, its connection is destroyed instead, so that the client can't
 * mistake a truncated response for a complete one.
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
