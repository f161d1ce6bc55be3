/** A plain service that names its leaving in its answers and then exits. */
import {randomUUID} from 'node:crypto';
import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import type {StoreStandin} from '../../platform/src/testing/store_standin';

export interface ExecutedRequest {
  readonly id: string;
  /** Time of its arrival, by `performance.now()`. */
  readonly atMs: number;
  isAnswered: boolean;
}

export class LeavingService {
  readonly id = `i-${randomUUID().slice(0, 8)}`;
  readonly executed: ExecutedRequest[] = [];
  /** Ids of the requests whose answers named the leaving. */
  readonly named = new Set<string>();
  private isLeaving = false;
  private readonly server: Server;

  private constructor(
    private readonly store: StoreStandin,
    private readonly workMs: number,
  ) {
    this.server = createServer((request, response) =>
      this.handle(request, response),
    );
  }

  static async start(
    store: StoreStandin,
    host: string,
    port: number,
    workMs: number,
  ): Promise<LeavingService> {
    const service = new LeavingService(store, workMs);
    await new Promise<void>(resolve => {
      service.server.listen(port, host, resolve);
    });
    store.put('servers', service.id, {
      service: 'plain',
      address: `${host}:${port}`,
      zone: 'z0',
      version: 'v1',
      slots: 6,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 1,
      born: Date.now(),
    });
    return service;
  }

  /** Names its leaving from now on; its entry is removed. */
  leave(): void {
    this.isLeaving = true;
    this.store.remove('servers', this.id);
  }

  /** Ends as a process does that exits. */
  exit(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    const id = String(request.headers['request-id']);
    const expected = request.headers['expect-instance'];
    request.resume();
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {'not-executed': '1', 'request-id': id});
      response.end();
      return;
    }
    const atMs = performance.now();
    const executed: ExecutedRequest = {id, atMs, isAnswered: false};
    this.executed.push(executed);
    setTimeout(() => {
      if (response.destroyed) return;
      executed.isAnswered = true;
      if (this.isLeaving) this.named.add(id);
      response.writeHead(200, {
        'request-id': id,
        'server-stamp': `${this.id}.${this.executed.length}`,
        ...(this.isLeaving ? {'server-leaving': '1'} : {}),
      });
      response.end(id);
    }, this.workMs);
  }
}
