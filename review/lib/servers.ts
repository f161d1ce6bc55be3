/** Servers of the installation as its pages describe them: sound ones. */
import {randomUUID} from 'node:crypto';
import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import type {StoreStandin} from '../../platform/src/testing/store_standin';

const SERVER_PORT = 8_267;

/** Silence after which a server's entry is removed, in ms. */
const LAPSE_MS = 3_600;

function createServerId(): string {
  return `i-${randomUUID().slice(0, 8)}`;
}

function listen(server: Server, host: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(SERVER_PORT, host, resolve);
  });
}

export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** A request that a server ran. */
export interface RanCall {
  readonly id: string;
  readonly service: string;
  readonly atMs: number;
}

/** A plain server, which answers after `workMs`. */
export class PlainServer {
  id = createServerId();
  readonly ran: RanCall[] = [];
  isLeaving = false;
  private bornMs = Date.now();
  private isStopped = false;
  private crash:
    {path: string; downMs: number; onCrash: () => void} | undefined;
  private sequence = 0;
  private readonly server: Server;

  private constructor(
    private readonly store: StoreStandin,
    readonly service: string,
    private readonly host: string,
    private readonly workMs: number,
    /** Address that callers use, such as that of a proxy. */
    private readonly callersHost: string,
  ) {
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
  }

  static async start(
    store: StoreStandin,
    service: string,
    host: string,
    workMs = 15,
    callersHost = host,
  ): Promise<PlainServer> {
    const server = new PlainServer(store, service, host, workMs, callersHost);
    await listen(server.server, host);
    server.register('ready');
    return server;
  }

  register(state: 'ready' | 'draining'): void {
    this.sequence += 1;
    this.store.put('servers', this.id, {
      service: this.service,
      address: `${this.callersHost}:${SERVER_PORT}`,
      zone: 'z1',
      version: 'v1',
      slots: 6,
      state,
      cold_remaining_ms: 0,
      sequence: this.sequence,
      born: this.bornMs,
    });
  }

  stop(): void {
    this.isStopped = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Makes requests for a path crash the server, which is back after a while. */
  crashOn(path: string, downMs: number, onCrash: () => void): void {
    this.crash = {path, downMs, onCrash};
  }

  private runCrash(downMs: number): void {
    const lapsedId = this.id;
    this.server.close();
    this.server.closeAllConnections();
    setTimeout(() => this.store.remove('servers', lapsedId), LAPSE_MS);
    setTimeout(() => {
      if (this.isStopped) return;
      this.id = createServerId();
      this.bornMs = Date.now();
      this.server.listen(SERVER_PORT, this.host, () => this.register('ready'));
    }, downMs);
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readText(request);
    const id = String(request.headers['request-id']);
    const headers: Record<string, string> = {'Request-Id': id};
    if (this.isLeaving) {
      headers['Server-Leaving'] = '1';
      headers['Connection'] = 'close';
    }
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {...headers, 'Not-Executed': '1'});
      response.end();
      return;
    }
    this.ran.push({id, service: this.service, atMs: Date.now()});
    const {crash} = this;
    if (crash !== undefined && request.url === crash.path) {
      crash.onCrash();
      return this.runCrash(crash.downMs);
    }
    setTimeout(() => {
      response.writeHead(200, {
        ...headers,
        'Server-Stamp': `${this.id}.${this.ran.length}`,
        'Server-Load': '1,0,6',
      });
      response.end(`${this.service} ${id} ${body.length}`);
    }, this.workMs);
  }
}
