/** Answers calls of other nodes with a table of handlers by path. */
import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import {ServiceError, createError} from '@sassafrasspan/core';
import {
  EventLog,
  PeerAddress,
  describeError,
  encodeJson,
  parseJson,
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

/** An HTTP server for the calls of other nodes. */
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

  static create(routes: PeerRoutes, log: EventLog): PeerServer {
    return new PeerServer(routes, log);
  }

  /** Resolves when the server listens; rejects if it can't. */
  listen(address: PeerAddress): Promise<void> {
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
    const result = await this.run(path, request, controller.signal);
    const encoded = result.andThen(encodeJson);
    if (result.isOk() && encoded.isErr()) {
      this.log.writeEvent('process-fault', {path, stack: encoded.error.detail});
    }
    if (response.destroyed) return;
    response.statusCode = encoded.isOk() ? 200 : STATUS_ERROR;
    response.end(
      encoded.isOk() ? encoded.value : JSON.stringify(encoded.error),
    );
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
      return err(createError('not-found', `unknown path ${path}`));
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
