/**
 * A stand-in (a fake server) for the platform: the object API with versions,
 * conditional updates and watches, and a VM list that lags. An admin call
 * switches on outages, slow answers, and replies that are lost after the write
 * has taken effect. Calls are counted by kind.
 */
import {
  DEFAULT_HTTP_LIMITS,
  HttpExchange,
  HttpServer,
  ListenAddress,
  readJsonBody,
  sendJson,
  waitMs,
} from '@sassafrasspan/runtime';
import {z} from 'zod';

const MAX_VALUE_BYTES = 1_048_576;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_TOO_LARGE = 413;
const DEFAULT_LIST_LAG_MS = 500;

const FAULTS_SCHEMA = z.strictObject({
  /** Drop the connection of every call. */
  down: z.boolean().optional(),
  /** Delay before each answer, in ms. */
  delayMs: z.number().nonnegative().optional(),
  /** Number of following writes that take effect but get no reply. */
  loseWriteReplies: z.number().int().nonnegative().optional(),
  /** Delay before a change of the VM list becomes visible, in ms. */
  listLagMs: z.number().nonnegative().optional(),
});

const VMS_SCHEMA = z.strictObject({vms: z.array(z.unknown())});

/** An object with its version, from 1. */
interface StoredObject {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** Number of calls by kind since the start. */
interface CallCounts {
  reads: number;
  writes: number;
  lists: number;
  watches: number;
  vmLists: number;
}

/** A fake platform with its HTTP server. */
export class PlatformStandin {
  private readonly server: HttpServer;
  private readonly objects = new Map<string, StoredObject>();
  /** Functions that end a pending watch, by key. */
  private readonly waiters = new Map<string, Set<() => void>>();
  private readonly counts: CallCounts = {
    reads: 0,
    writes: 0,
    lists: 0,
    watches: 0,
    vmLists: 0,
  };
  private vms: unknown[] = [];
  private isDown = false;
  private delayMs = 0;
  private repliesToLose = 0;
  private listLagMs = DEFAULT_LIST_LAG_MS;

  private constructor() {
    this.server = HttpServer.create(
      [
        {
          method: 'GET',
          path: '/objects',
          handler: exchange => this.handleCall(exchange, this.listObjects),
        },
        {
          method: 'GET',
          path: '/objects/*',
          handler: exchange => this.handleCall(exchange, this.readObject),
        },
        {
          method: 'PUT',
          path: '/objects/*',
          handler: exchange => this.handleCall(exchange, this.writeObject),
        },
        {
          method: 'GET',
          path: '/vms',
          handler: exchange => this.handleCall(exchange, this.listVms),
        },
        {
          method: 'PUT',
          path: '/admin/vms',
          handler: exchange => this.setVms(exchange),
        },
        {
          method: 'POST',
          path: '/admin/faults',
          handler: exchange => this.setFaults(exchange),
        },
        {
          method: 'GET',
          path: '/admin/truth',
          handler: ({response}) => {
            const objects = [...this.objects.values()];
            sendJson(response, 200, {counts: this.counts, objects});
          },
        },
      ],
      DEFAULT_HTTP_LIMITS,
    );
  }

  /** `start` must be called to listen. */
  static create(): PlatformStandin {
    return new PlatformStandin();
  }

  /** Starts listening; returns the actual address. */
  start(address: ListenAddress): Promise<ListenAddress> {
    return this.server.listen(address);
  }

  /** Closes all connections immediately. */
  stop(): void {
    this.server.destroy();
  }

  /** Applies the delay and the outage to a call before handling it. */
  private async handleCall(
    exchange: HttpExchange,
    call: (exchange: HttpExchange) => Promise<void> | void,
  ): Promise<void> {
    if (this.delayMs > 0) await waitMs(this.delayMs);
    if (this.isDown) exchange.response.destroy();
    else await call.call(this, exchange);
  }

  private listObjects(exchange: HttpExchange): void {
    this.counts.lists += 1;
    const prefix = exchange.url.searchParams.get('prefix') ?? '';
    const objects = [...this.objects.values()].filter(object =>
      object.key.startsWith(prefix),
    );
    sendJson(exchange.response, 200, {objects});
  }

  private async readObject(exchange: HttpExchange): Promise<void> {
    const key = readKey(exchange);
    const newerThan = exchange.url.searchParams.get('newerThan');
    if (newerThan === null) {
      this.counts.reads += 1;
    } else {
      this.counts.watches += 1;
      const maxMs = Number(exchange.url.searchParams.get('waitMs') ?? 0);
      await this.waitForChange(exchange, key, Number(newerThan), maxMs);
    }
    if (this.isDown) {
      exchange.response.destroy();
      return;
    }
    const object = this.objects.get(key);
    if (object !== undefined) sendJson(exchange.response, 200, object);
    else sendJson(exchange.response, HTTP_NOT_FOUND, {error: 'no object'});
  }

  /** Resolves on a newer version, after `maxMs`, or when the caller is gone. */
  private waitForChange(
    exchange: HttpExchange,
    key: string,
    newerThan: number,
    maxMs: number,
  ): Promise<void> {
    const version = this.objects.get(key)?.version ?? 0;
    if (version > newerThan) return Promise.resolve();
    return new Promise(resolve => {
      const waiters = this.waiters.get(key) ?? new Set();
      this.waiters.set(key, waiters);
      const endWait = () => {
        clearTimeout(timer);
        waiters.delete(endWait);
        resolve();
      };
      const timer = setTimeout(endWait, maxMs);
      waiters.add(endWait);
      exchange.response.on('close', endWait);
    });
  }

  private async writeObject(exchange: HttpExchange): Promise<void> {
    const {request, response} = exchange;
    this.counts.writes += 1;
    const json = await readJsonBody(request, MAX_VALUE_BYTES);
    if (json.isErr()) {
      return sendJson(response, HTTP_TOO_LARGE, {error: json.error.detail});
    }
    const key = readKey(exchange);
    const current = this.objects.get(key)?.version ?? 0;
    const expected = Number(exchange.url.searchParams.get('expected'));
    if (expected !== current) {
      const error = `version is ${current}, not ${expected}`;
      return sendJson(response, HTTP_CONFLICT, {error});
    }
    const version = current + 1;
    this.objects.set(key, {key, version, value: json.value});
    this.notifyWaiters(key);
    if (this.repliesToLose > 0) {
      this.repliesToLose -= 1;
      response.destroy();
      return;
    }
    sendJson(response, 200, {version});
  }

  private notifyWaiters(key: string): void {
    for (const endWait of [...(this.waiters.get(key) ?? [])]) endWait();
  }

  private listVms(exchange: HttpExchange): void {
    this.counts.vmLists += 1;
    sendJson(exchange.response, 200, {vms: this.vms});
  }

  private async setVms(exchange: HttpExchange): Promise<void> {
    const json = await readJsonBody(exchange.request, MAX_VALUE_BYTES);
    const {vms} = VMS_SCHEMA.parse(json.unwrapOr(undefined));
    setTimeout(() => {
      this.vms = vms;
    }, this.listLagMs);
    sendJson(exchange.response, 200, {set: true});
  }

  private async setFaults(exchange: HttpExchange): Promise<void> {
    const json = await readJsonBody(exchange.request, MAX_VALUE_BYTES);
    const parsed = FAULTS_SCHEMA.safeParse(json.unwrapOr(undefined));
    if (!parsed.success) {
      return sendJson(exchange.response, 400, {error: parsed.error.message});
    }
    const faults = parsed.data;
    this.isDown = faults.down ?? this.isDown;
    this.delayMs = faults.delayMs ?? this.delayMs;
    this.repliesToLose = faults.loseWriteReplies ?? this.repliesToLose;
    this.listLagMs = faults.listLagMs ?? this.listLagMs;
    if (this.isDown) this.endWatches();
    sendJson(exchange.response, 200, {set: true});
  }

  /** Ends all pending watches; called at an outage, so that they fail. */
  private endWatches(): void {
    for (const waiters of this.waiters.values()) {
      for (const endWait of [...waiters]) endWait();
    }
  }
}

function readKey(exchange: HttpExchange): string {
  return exchange.params['*'].split('/').map(decodeURIComponent).join('/');
}
