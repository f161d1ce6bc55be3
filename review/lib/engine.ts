/**
 * A model server as the pages describe it, with several models: it streams
 * events, takes orders one at a time, reports its state and registers itself.
 */
import {randomUUID} from 'node:crypto';
import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import type {StoreStandin} from '../../platform/src/testing/store_standin';
import {readText} from './servers';

const SERVER_PORT = 8_267;

export interface EngineOptions {
  readonly store: StoreStandin;
  readonly host: string;
  readonly models: readonly string[];
  readonly slots: number;
  readonly loadMs: number;
  /** Returns the pause between the events of an item, in ms. */
  readonly findPauseMs: (itemId: string) => number;
  /** Returns the number of events of an item. */
  readonly countEvents: (itemId: string) => number;
}

export interface SeenOrder {
  readonly atMs: number;
  readonly holder: string;
  readonly token: number;
  readonly model: string;
  readonly version: number;
  readonly status: number;
}

export interface SeenRun {
  readonly itemId: string;
  readonly atMs: number;
  readonly resumedAfter: number;
  /** When the run ended, and whether it was whole; undefined while it runs. */
  endedAtMs: number | undefined;
  isWhole: boolean;
}

export class Engine {
  readonly orders: SeenOrder[] = [];
  readonly runs: SeenRun[] = [];
  /** While dark, it answers nothing, and what it was sent is lost. */
  isDark = false;
  readonly id = `i-${randomUUID().slice(0, 8)}`;
  private readonly bornMs = Date.now();
  private readonly versions = new Map<string, number>();
  private isBusy = false;
  private orderCount = 0;
  private entryCount = 0;
  private running = 0;
  private readonly server: Server;

  private constructor(private readonly options: EngineOptions) {
    for (const model of options.models) this.versions.set(model, 1);
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
  }

  static async start(options: EngineOptions): Promise<Engine> {
    const engine = new Engine(options);
    await new Promise<void>((resolve, reject) => {
      engine.server.once('error', reject);
      engine.server.listen(SERVER_PORT, options.host, resolve);
    });
    engine.register();
    return engine;
  }

  getVersion(model: string): number {
    return this.versions.get(model) ?? 0;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private listModels(): object[] {
    return [...this.versions].map(([name, version]) => ({
      name,
      version,
      adapters: [],
    }));
  }

  private register(): void {
    this.entryCount += 1;
    this.options.store.put('servers', this.id, {
      service: 'lm',
      address: `${this.options.host}:${SERVER_PORT}`,
      zone: 'z1',
      version: 'v1',
      slots: this.options.slots,
      state: 'ready',
      cold_remaining_ms: 0,
      stage: 'both',
      models: this.listModels(),
      sequence: this.entryCount,
      born: this.bornMs,
    });
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readText(request);
    if (this.isDark) return;
    const {url = '/', headers} = request;
    if (url === '/api/report') return this.sendReport(response);
    const expected = headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      return refuse(request, response, 421);
    }
    if (url === '/api/order') return this.takeOrder(response, body);
    if (this.isBusy || this.running >= this.options.slots) {
      return refuse(request, response, 503);
    }
    this.generate(request, response);
  }

  private sendReport(response: ServerResponse): void {
    response.setHeader('Content-Type', 'application/json');
    response.end(
      JSON.stringify({
        stage: 'both',
        models: this.listModels(),
        busy: this.isBusy,
        sequence: this.orderCount,
        waiting_count: 0,
        running_count: this.running,
        kv_used: 0,
        kv_total: 60_000,
        handles: 0,
        born: this.bornMs,
      }),
    );
  }

  private takeOrder(response: ServerResponse, body: string): void {
    const order = JSON.parse(body) as {
      model: string;
      version: number;
      holder: string;
      fencing_token: number;
      expected_revision?: number;
    };
    const {model, version, expected_revision: expected} = order;
    const isStale = expected !== undefined && expected !== this.orderCount;
    const holds = this.getVersion(model) >= version;
    const status = this.isBusy || isStale ? 409 : holds ? 200 : 202;
    this.orders.push({
      atMs: Date.now(),
      holder: order.holder,
      token: order.fencing_token,
      model,
      version,
      status,
    });
    response.statusCode = status;
    response.end('{}');
    if (status !== 202) return;
    this.orderCount += 1;
    this.isBusy = true;
    setTimeout(() => {
      this.isBusy = false;
      this.versions.set(model, version);
      this.register();
    }, this.options.loadMs);
  }

  private generate(request: IncomingMessage, response: ServerResponse): void {
    const itemId = String(request.headers['request-id']);
    const model = String(request.headers['model']);
    const resumedAfter = Number(request.headers['last-event-id'] ?? 0);
    const run: SeenRun = {
      ...{itemId, atMs: Date.now(), resumedAfter},
      ...{endedAtMs: undefined, isWhole: false},
    };
    this.runs.push(run);
    this.running += 1;
    response.on('close', () => {
      this.running -= 1;
      run.endedAtMs = Date.now();
    });
    let known = this.getVersion(model);
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Request-Id': itemId,
      'Server-Stamp': `${this.id}.${this.runs.length}`,
      'Weight-Versions': String(known),
    });
    const count = this.options.countEvents(itemId);
    const writeNext = (number: number) => {
      if (response.destroyed) return;
      if (number > count) {
        run.isWhole = true;
        return void response.end();
      }
      const version = this.getVersion(model);
      const change = version === known ? '' : `weight-versions: ${version}\n`;
      known = version;
      response.write(`${change}id: ${number}\ndata: ${itemId}/${number}\n\n`);
      setTimeout(() => writeNext(number + 1), this.options.findPauseMs(itemId));
    };
    writeNext(resumedAfter + 1);
  }
}

/** Rejects a request that did not run. */
function refuse(
  request: IncomingMessage,
  response: ServerResponse,
  status: number,
): void {
  response.writeHead(status, {
    'Not-Executed': '1',
    'Request-Id': String(request.headers['request-id']),
  });
  response.end();
}
