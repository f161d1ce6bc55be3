/** Answers calls of other nodes with a table of handlers by path. */
import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import {ServiceError, createError} from '@sassafrasspan/core';
import {
  ConnectionGuard,
  EventLog,
  ExchangeMemory,
  HeldExchange,
  Metrics,
  PeerAddress,
  SYSTEM_CLOCK,
  describeError,
  encodeJson,
  parseBody,
  readBody,
} from '@sassafrasspan/runtime';
import {Result, err} from 'neverthrow';
import type * as z from 'zod/mini';

/** Maximum size of a call's body, in bytes: that of the largest batch job. */
const MAX_BODY_BYTES = 67_108_864;
const STATUS_ERROR = 500;
/** Time for which idle connections stay open, in ms; nodes call each other
 * often. */
const KEEP_ALIVE_MS = 60_000;
/** Name under which the memory account holds what peers send and read. */
const PEERS = 'peers';

/** Data of a call beside its body. */
export interface PeerContext {
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

export type PeerHandler = (
  body: unknown,
  context: PeerContext,
) => Promise<Result<unknown, ServiceError>>;

/** Handlers by path. */
export type PeerRoutes = Readonly<Record<string, PeerHandler>>;

/** Creates a handler that validates the body with a schema first. */
export function createHandler<T>(
  schema: z.ZodMiniType<T>,
  handle: (
    body: T,
    context: PeerContext,
  ) => Promise<Result<unknown, ServiceError>> | Result<unknown, ServiceError>,
): PeerHandler {
  return async (body, context) => {
    const parsed = schema.safeParse(body);
    if (parsed.success) return handle(parsed.data, context);
    const issue = parsed.error.issues[0];
    const detail = `${issue?.path.join('.')}: ${issue?.message}`;
    return err(createError('bad-request', detail));
  };
}

/** Bounds of what the calls of other nodes hold; none by default. */
export interface PeerBounds {
  readonly maxConnections?: number;
  /** Maximum size of a decoded body, in bytes. */
  readonly maxDecodedBytes?: number;
  /** Account of the process's memory. */
  readonly memory?: ExchangeMemory;
  readonly metrics?: Metrics;
}

/** An HTTP server for the calls of other nodes. */
export class PeerServer {
  private readonly server: Server;

  private constructor(
    private readonly routes: PeerRoutes,
    private readonly log: EventLog,
    private readonly bounds: PeerBounds,
  ) {
    this.server = createServer({keepAliveTimeout: KEEP_ALIVE_MS});
    const {maxConnections = Infinity, metrics} = bounds;
    const guard = {port: 'peers', maxConnections, clock: SYSTEM_CLOCK, log};
    ConnectionGuard.attach(this.server, {...guard, metrics}, (...exchange) => {
      void this.handle(...exchange);
    });
  }

  static create(
    routes: PeerRoutes,
    log: EventLog,
    bounds: PeerBounds = {},
  ): PeerServer {
    return new PeerServer(routes, log, bounds);
  }

  /** Resolves when the server listens; rejects if it can't. */
  listen(address: PeerAddress): Promise<void> {
    this.bounds.memory?.start();
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(address.port, address.host, resolve);
    });
  }

  /** Stops listening and closes all connections at once. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url ?? '/';
    const controller = new AbortController();
    response.on('close', () => {
      if (!response.writableFinished) controller.abort();
    });
    const held = this.bounds.memory?.openExchange(request, response, '', PEERS);
    const result =
      held !== undefined && 'kind' in held
        ? err(held)
        : await this.run(path, request, controller.signal, held);
    const encoded = result.andThen(encodeJson);
    if (result.isOk() && encoded.isErr()) {
      this.log.writeEvent('process-fault', {path, stack: encoded.error.detail});
    }
    if (response.destroyed) return;
    response.statusCode = encoded.isOk() ? 200 : STATUS_ERROR;
    const answer = encoded.isOk()
      ? encoded.value
      : JSON.stringify(encoded.error);
    response.setHeader('Content-Length', Buffer.byteLength(answer));
    if (held === undefined || 'kind' in held) response.end(answer);
    else held.writeBody(answer);
  }

  private async run(
    path: string,
    request: IncomingMessage,
    signal: AbortSignal,
    held: HeldExchange | undefined,
  ): Promise<Result<unknown, ServiceError>> {
    const body =
      held === undefined
        ? await readBody(request, MAX_BODY_BYTES)
        : await held.readBody(MAX_BODY_BYTES, KEEP_ALIVE_MS);
    if (body.isErr()) return err(body.error);
    const handler = Object.hasOwn(this.routes, path)
      ? this.routes[path]
      : undefined;
    if (handler === undefined) {
      return err(createError('not-found', `unknown path ${path}`));
    }
    const {maxDecodedBytes = Infinity} = this.bounds;
    const value = parseBody(body.value, maxDecodedBytes);
    if (value.isErr()) return err(value.error);
    try {
      return await handler(value.value, {signal});
    } catch (error) {
      const stack = describeError(error);
      this.log.writeEvent('process-fault', {path, stack});
      return err(createError('internal', stack));
    }
  }
}
