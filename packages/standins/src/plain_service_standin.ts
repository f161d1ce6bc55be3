/**
 * A stand-in (a fake server) for a plain service: echoes calls, counts the
 * executions of each call, and can delay answers or drop connections.
 */
import {
  DEFAULT_HTTP_LIMITS,
  HttpExchange,
  HttpServer,
  ListenAddress,
  readBody,
  readJsonBody,
  sendJson,
  waitMs,
} from '@sassafrasspan/runtime';
import {z} from 'zod';

const MAX_BODY_BYTES = 8_388_608;

const FAULTS_SCHEMA = z.strictObject({
  /** Delay before each answer, in ms. */
  delayMs: z.number().nonnegative().optional(),
  /** Drop the connection of the next call after executing it. */
  breakNext: z.boolean().optional(),
});

/** A fake plain service with its HTTP server. */
export class PlainServiceStandin {
  private readonly server: HttpServer;
  /** Number of executions by the header `x-call`, or else by path. */
  private readonly executions = new Map<string, number>();
  private running = 0;
  private delayMs = 0;
  private isNextCallBroken = false;

  private constructor(private readonly name: string) {
    this.server = HttpServer.create(
      [
        {
          method: 'GET',
          path: '/load',
          handler: ({response}) =>
            sendJson(response, 200, {running: this.running, waiting: 0}),
        },
        {
          method: 'POST',
          path: '/admin/faults',
          handler: exchange => this.setFaults(exchange),
        },
        {
          method: 'GET',
          path: '/admin/truth',
          handler: ({response}) =>
            sendJson(response, 200, {
              executions: Object.fromEntries(this.executions),
            }),
        },
        {
          method: '*',
          path: '/*',
          handler: exchange => this.answerCall(exchange),
        },
      ],
      DEFAULT_HTTP_LIMITS,
    );
  }

  /** `start` must be called to listen. */
  static create(name: string): PlainServiceStandin {
    return new PlainServiceStandin(name);
  }

  /** Starts listening; returns the actual address. */
  start(address: ListenAddress): Promise<ListenAddress> {
    return this.server.listen(address);
  }

  /** Closes all connections immediately. */
  stop(): void {
    this.server.destroy();
  }

  private async answerCall(exchange: HttpExchange): Promise<void> {
    const {request, response, url} = exchange;
    const body = await readBody(request, MAX_BODY_BYTES);
    const call = String(request.headers['x-call'] ?? url.pathname);
    this.executions.set(call, (this.executions.get(call) ?? 0) + 1);
    this.running += 1;
    await waitMs(this.delayMs);
    this.running -= 1;
    if (this.isNextCallBroken) {
      this.isNextCallBroken = false;
      response.destroy();
      return;
    }
    const status = Number(url.searchParams.get('status') ?? 200);
    sendJson(response, status, {
      service: this.name,
      method: request.method,
      path: url.pathname,
      call,
      body: body.unwrapOr(Buffer.alloc(0)).toString('utf8'),
    });
  }

  private async setFaults(exchange: HttpExchange): Promise<void> {
    const json = await readJsonBody(exchange.request, MAX_BODY_BYTES);
    const parsed = FAULTS_SCHEMA.safeParse(json.unwrapOr(undefined));
    if (!parsed.success) {
      return sendJson(exchange.response, 400, {error: parsed.error.message});
    }
    this.delayMs = parsed.data.delayMs ?? this.delayMs;
    this.isNextCallBroken = parsed.data.breakNext ?? this.isNextCallBroken;
    sendJson(exchange.response, 200, {set: true});
  }
}
