/** Answers calls of other nodes: a table of handlers by path. */
import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import {ServiceError, createError} from '@sassafrasspan/core';
import {
  EventLog,
  PeerAddress,
  describeError,
  parseJson,
  readBody,
} from '@sassafrasspan/runtime';
import {Result, err} from 'neverthrow';
import type * as z from 'zod/mini';

/** Largest body of a call, in bytes: a batch job of the largest size. */
const MAX_BODY_BYTES = 67_108_864;
const STATUS_ERROR = 500;
/** Connections are kept this long, in ms; nodes call each other often. */
const KEEP_ALIVE_MS = 60_000;

/** What a handler may need of a call beside its body. */
export interface PeerContext {
  /** Aborts when the caller has gone. */
  readonly signal: AbortSignal;
}

/** Answers a call. */
export type PeerHandler = (
  body: unknown,
  context: PeerContext,
) => Promise<Result<unknown, ServiceError>>;

/** Handlers by path. */
export type PeerRoutes = Readonly<Record<string, PeerHandler>>;

/** Makes a handler that checks its body by a schema. */
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

/** A listening server for other nodes. */
export class PeerServer {
  private readonly server: Server;

  private constructor(
    private readonly routes: PeerRoutes,
    private readonly log: EventLog,
  ) {
    this.server = createServer({keepAliveTimeout: KEEP_ALIVE_MS});
    this.server.on('request', (request, response) => {
      void this.handle(request, response);
    });
  }

  /** Builds a server for a table of routes. */
  static create(routes: PeerRoutes, log: EventLog): PeerServer {
    return new PeerServer(routes, log);
  }

  /** Starts to listen. */
  listen(address: PeerAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(address.port, address.host, resolve);
    });
  }

  /** Breaks off every connection. */
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
    const result = await this.run(path, request, controller.signal);
    if (response.destroyed) return;
    response.statusCode = result.isOk() ? 200 : STATUS_ERROR;
    response.end(JSON.stringify(result.isOk() ? result.value : result.error));
  }

  private async run(
    path: string,
    request: IncomingMessage,
    signal: AbortSignal,
  ): Promise<Result<unknown, ServiceError>> {
    const body = await readBody(request, MAX_BODY_BYTES);
    if (body.isErr()) return err(body.error);
    const handler = Object.hasOwn(this.routes, path)
      ? this.routes[path]
      : undefined;
    if (handler === undefined) {
      return err(createError('not-found', `no call ${path}`));
    }
    const value = parseJson(body.value.toString('utf8'));
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
