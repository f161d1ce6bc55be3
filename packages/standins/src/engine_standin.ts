/**
 * A stand-in for a model engine: continuous batching with a slot limit,
 * priorities, a prefix cache, orders with fencing numbers, weight versions on
 * each chunk, and faults that an admin call switches on.
 */
import type {ServerResponse} from 'node:http';
import {
  DEFAULT_HTTP_LIMITS,
  HttpExchange,
  HttpServer,
  ListenAddress,
  Route,
  readJsonBody,
  sendJson,
} from '@sassafrasspan/runtime';
import {z} from 'zod';
import {generateWords} from './engine_generation';
import {PrefixCache} from './prefix_cache';

const CRASH_MARK = '[[crash]]';
const MAX_BODY_BYTES = 1_048_576;
const HTTP_CONFLICT = 409;
const HTTP_FAILED = 500;

/** Schema of the options of a stand-in engine. */
export const ENGINE_OPTIONS_SCHEMA = z.strictObject({
  slots: z.number().int().positive().default(8),
  tokenIntervalMs: z.number().positive().default(5),
  cachedPrompts: z.number().int().positive().default(16),
  fencing: z.enum(['checks', 'ignores']).default('checks'),
  loadLagMs: z.number().nonnegative().default(200),
  /** Time for which the engine is away after a crash, in ms. */
  restartMs: z.number().nonnegative().default(500),
  activateMs: z.number().nonnegative().default(20),
});

/** Options of a stand-in engine. */
export type EngineOptions = z.infer<typeof ENGINE_OPTIONS_SCHEMA>;

/** Schema of the faults that an admin call sets. */
const FAULTS_SCHEMA = z.strictObject({
  /** The next activation fails and leaves the version unknown. */
  failNextSwap: z.boolean().optional(),
  /** The next stream ends after this many tokens, without its end. */
  closeEarlyAfter: z.number().int().nullable().optional(),
  /** Generation stands still. */
  stalled: z.boolean().optional(),
  /** Crash now. */
  crash: z.boolean().optional(),
});

const COMPLETION_SCHEMA = z.object({
  prompt: z.string(),
  max_tokens: z.number().int().positive(),
  seed: z.number().int().default(0),
  priority: z.number().int().default(0),
});

const ORDER_SCHEMA = z.object({
  kind: z.enum(['stage', 'activate']),
  version: z.number().int(),
  source: z.string(),
  fencing: z.number().int(),
});

/** A generation that runs or waits. */
interface Generation {
  readonly requestId: string;
  readonly prompt: string;
  readonly words: readonly string[];
  readonly priority: number;
  readonly response: ServerResponse;
  readonly versions: number[];
  isCached: boolean;
  next: number;
}

/** What the engine did for one request, as the truth for oracles. */
export interface ExecutionRecord {
  readonly requestId: string;
  readonly prompt: string;
  /** Version of each generated token. */
  readonly versions: readonly number[];
  ended: 'whole' | 'broken' | 'running';
}

/** A running stand-in engine. */
export class EngineStandin {
  private server: HttpServer;
  private address: ListenAddress | undefined;
  private readonly cache: PrefixCache;
  private running: Generation[] = [];
  private waiting: Generation[] = [];
  private readonly records = new Map<Generation, ExecutionRecord>();
  private readonly history: ExecutionRecord[] = [];
  private version: number | null = 0;
  private staged = 0;
  private newestFencing = 0;
  private crashes = 0;
  private timer: NodeJS.Timeout | undefined;
  private reportedLoad: unknown = undefined;
  private failNextSwap = false;
  private closeEarlyAfter: number | null = null;
  private isStalled = false;

  private constructor(private readonly options: EngineOptions) {
    this.cache = PrefixCache.create(options.cachedPrompts);
    this.server = this.createServer();
  }

  /** Builds an engine that does not listen yet. */
  static create(options: Partial<EngineOptions> = {}): EngineStandin {
    return new EngineStandin(ENGINE_OPTIONS_SCHEMA.parse(options));
  }

  /** Starts to listen; returns the address in use. */
  async start(address: ListenAddress): Promise<ListenAddress> {
    this.address = await this.server.listen(address);
    const interval = this.options.tokenIntervalMs;
    this.timer = setInterval(() => this.generateTokens(), interval);
    this.reportedLoad = this.describeLoad();
    return this.address;
  }

  /** Stops at once. */
  stop(): void {
    clearInterval(this.timer);
    this.server.destroy();
  }

  private createServer(): HttpServer {
    const routes: Route[] = [
      {
        method: 'POST',
        path: '/v1/completions',
        handler: exchange => this.takeCompletion(exchange),
      },
      {
        method: 'GET',
        path: '/load',
        handler: ({response}) => sendJson(response, 200, this.readLoad()),
      },
      {
        method: 'POST',
        path: '/orders',
        handler: exchange => this.takeOrder(exchange),
      },
      {
        method: 'POST',
        path: '/admin/faults',
        handler: exchange => this.setFaults(exchange),
      },
      {
        method: 'GET',
        path: '/admin/truth',
        handler: ({response}) => sendJson(response, 200, this.describeTruth()),
      },
    ];
    return HttpServer.create(routes, DEFAULT_HTTP_LIMITS);
  }

  private async takeCompletion(exchange: HttpExchange): Promise<void> {
    const {request, response} = exchange;
    const json = await readJsonBody(request, MAX_BODY_BYTES);
    const parsed = COMPLETION_SCHEMA.safeParse(json.unwrapOr(undefined));
    if (!parsed.success) {
      return sendJson(response, 400, {error: parsed.error.message});
    }
    const {prompt, seed, priority} = parsed.data;
    const maxTokens = parsed.data.max_tokens;
    const generation: Generation = {
      requestId: String(request.headers['x-request-id'] ?? ''),
      prompt,
      words: generateWords({prompt, seed, maxTokens}),
      priority,
      response,
      versions: [],
      isCached: false,
      next: 0,
    };
    this.recordStart(generation);
    response.writeHead(200, {'content-type': 'text/event-stream'});
    response.flushHeaders();
    response.on('close', () => this.removeGeneration(generation));
    this.waiting.push(generation);
    this.waiting.sort((a, b) => a.priority - b.priority);
    this.fillSlots();
  }

  private recordStart(generation: Generation): void {
    const record: ExecutionRecord = {
      requestId: generation.requestId,
      prompt: generation.prompt,
      versions: generation.versions,
      ended: 'running',
    };
    this.records.set(generation, record);
    this.history.push(record);
  }

  private fillSlots(): void {
    while (this.running.length < this.options.slots) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      next.isCached = this.cache.touchPrompt(next.prompt);
      this.running.push(next);
    }
  }

  private removeGeneration(generation: Generation): void {
    this.running = this.running.filter(other => other !== generation);
    this.waiting = this.waiting.filter(other => other !== generation);
    const record = this.records.get(generation);
    if (record?.ended === 'running') record.ended = 'broken';
    this.records.delete(generation);
    this.fillSlots();
  }

  private generateTokens(): void {
    if (this.isStalled || this.version === null) return;
    for (const generation of [...this.running]) {
      if (generation.prompt.includes(CRASH_MARK)) return this.crash();
      this.generateToken(generation, this.version);
    }
  }

  private generateToken(generation: Generation, version: number): void {
    const text = generation.words[generation.next];
    generation.next += 1;
    generation.versions.push(version);
    const choices = [{index: 0, text, finish_reason: null}];
    sendEvent(generation.response, {choices, weight_version: version});
    const isEarly = this.closeEarlyAfter === generation.next;
    if (isEarly) {
      this.closeEarlyAfter = null;
      generation.response.end();
    } else if (generation.next >= generation.words.length) {
      this.finishGeneration(generation);
    }
  }

  private finishGeneration(generation: Generation): void {
    const {response, words, prompt} = generation;
    const promptTokens = prompt.split(/\s+/).length;
    sendEvent(response, {
      choices: [{index: 0, text: '', finish_reason: 'stop'}],
      usage: {
        prompt_tokens: promptTokens,
        completion_tokens: words.length,
        cached_tokens: generation.isCached ? promptTokens : 0,
      },
    });
    response.write('data: [DONE]\n\n');
    response.end();
    const record = this.records.get(generation);
    if (record !== undefined) record.ended = 'whole';
    this.removeGeneration(generation);
  }

  /** Breaks off everything and is away for a while. */
  private crash(): void {
    this.crashes += 1;
    this.running = [];
    this.waiting = [];
    this.cache.clear();
    this.server.destroy();
    setTimeout(() => void this.restart(), this.options.restartMs);
  }

  private async restart(): Promise<void> {
    if (this.address === undefined) return;
    this.server = this.createServer();
    await this.server.listen(this.address);
  }

  private readLoad(): unknown {
    const current = this.describeLoad();
    setTimeout(() => {
      this.reportedLoad = current;
    }, this.options.loadLagMs);
    const load = this.reportedLoad as object;
    return {...load, weight_version: this.version};
  }

  private describeLoad() {
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      kv_use: this.running.length / this.options.slots,
      weight_version: this.version,
      tokens_per_second: 1_000 / this.options.tokenIntervalMs,
    };
  }

  private async takeOrder(exchange: HttpExchange): Promise<void> {
    const {request, response} = exchange;
    const json = await readJsonBody(request, MAX_BODY_BYTES);
    const parsed = ORDER_SCHEMA.safeParse(json.unwrapOr(undefined));
    if (!parsed.success) {
      return sendJson(response, 400, {error: parsed.error.message});
    }
    const order = parsed.data;
    const isOld = order.fencing < this.newestFencing;
    if (isOld && this.options.fencing === 'checks') {
      const error = `fencing number ${this.newestFencing} is newer`;
      return sendJson(response, HTTP_CONFLICT, {error});
    }
    this.newestFencing = Math.max(this.newestFencing, order.fencing);
    const error =
      order.kind === 'stage'
        ? await this.stageVersion(order.version, order.source)
        : await this.activateVersion(order.version);
    if (error === undefined) sendJson(response, 200, {done: true});
    else sendJson(response, HTTP_FAILED, {error});
  }

  private async stageVersion(
    version: number,
    source: string,
  ): Promise<string | undefined> {
    try {
      const reply = await fetch(source);
      if (!reply.ok) return `the weight store answers ${reply.status}`;
      await reply.arrayBuffer();
    } catch (error) {
      return String(error);
    }
    this.staged = version;
    return undefined;
  }

  private async activateVersion(version: number): Promise<string | undefined> {
    if (this.staged !== version) return `version ${version} is not staged`;
    await new Promise(resolve => setTimeout(resolve, this.options.activateMs));
    if (this.failNextSwap) {
      this.failNextSwap = false;
      this.version = null;
      return 'the swap failed partway';
    }
    this.version = version;
    this.cache.clear();
    return undefined;
  }

  private async setFaults(exchange: HttpExchange): Promise<void> {
    const json = await readJsonBody(exchange.request, MAX_BODY_BYTES);
    const parsed = FAULTS_SCHEMA.safeParse(json.unwrapOr(undefined));
    if (!parsed.success) {
      return sendJson(exchange.response, 400, {error: parsed.error.message});
    }
    const faults = parsed.data;
    this.failNextSwap = faults.failNextSwap ?? this.failNextSwap;
    this.isStalled = faults.stalled ?? this.isStalled;
    if (faults.closeEarlyAfter !== undefined) {
      this.closeEarlyAfter = faults.closeEarlyAfter;
    }
    sendJson(exchange.response, 200, {set: true});
    if (faults.crash === true) this.crash();
  }

  private describeTruth() {
    return {
      version: this.version,
      crashes: this.crashes,
      executions: this.history,
    };
  }
}

function sendEvent(response: ServerResponse, value: unknown): void {
  response.write(`data: ${JSON.stringify(value)}\n\n`);
}
