/**
 * A stand-in for a plain service: echoes calls, counts each execution by
 * request, and can be slow or break off.
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
  /** Time before an answer, in ms. */
  delayMs: z.number().nonnegative().optional(),
  /** Break off the next call after it has run. */
  breakNext: z.boolean().optional(),
});

/** A running stand-in service. */
export class PlainServiceStandin {
  private readonly server: HttpServer;
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

  /** Builds a service that does not listen yet. */
  static create(name: string): PlainServiceStandin {
    return new PlainServiceStandin(name);
  }

  /** Starts to listen; returns the address in use. */
  start(address: ListenAddress): Promise<ListenAddress> {
    return this.server.listen(address);
  }

  /** Stops at once. */
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
