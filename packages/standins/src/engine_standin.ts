/**
 * A stand-in (a fake server) for a model engine: continuous batching with a
 * slot limit, priorities, a prefix cache, orders with fencing numbers, the
 * weight version in each chunk, and faults that an admin call switches on.
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
import {CacheEventFeed} from './cache_event_feed';
import {
  ENGINE_FAULTS_SCHEMA,
  ENGINE_OPTIONS_SCHEMA,
  EngineOptions,
} from './engine_options';
import {generateWords} from './engine_generation';
import {EngineWeights} from './engine_weights';
import {
  EXPORT_SCHEMA,
  GENERATION_SNAPSHOT_SCHEMA,
  GenerationSnapshot,
  RESUME_SCHEMA,
  copyGeneration,
} from './generation_snapshot';
import {ExecutionLog} from './execution_log';
import {PrefixCache} from './prefix_cache';

/** A prompt with this text crashes the engine when it generates a token. */
const CRASH_MARKER = '[[crash]]';
const MAX_BODY_BYTES = 1_048_576;
const HTTP_NOT_FOUND = 404;

const COMPLETION_SCHEMA = z.object({
  prompt: z.string(),
  max_tokens: z.number().int().positive(),
  seed: z.number().int().default(0),
  priority: z.number().int().default(0),
});

/** A running or waiting generation. */
interface Generation extends GenerationSnapshot {
  readonly response: ServerResponse;
  isCached: boolean;
}

/** A fake model engine with its HTTP server. */
export class EngineStandin {
  private server: HttpServer;
  private address: ListenAddress | undefined;
  private readonly cache: PrefixCache;
  private running: Generation[] = [];
  private waiting: Generation[] = [];
  private readonly executions = ExecutionLog.create();
  private readonly weights: EngineWeights;
  private crashes = 0;
  private timer: NodeJS.Timeout | undefined;
  private reportedLoad: unknown = undefined;
  private closeEarlyAfter: number | null = null;
  private isStalled = false;
  private isSavingBrokenStreams = false;
  private readonly brokenStreams = new Map<string, GenerationSnapshot>();
  private readonly cacheEvents = CacheEventFeed.create();

  private constructor(private readonly options: EngineOptions) {
    this.cache = PrefixCache.create(options.cachedPrompts);
    this.weights = EngineWeights.create({
      ...options,
      onSwap: () => this.clearCache(),
    });
    this.server = this.createServer();
  }

  /** Applies defaults to the options; `start` must be called to listen. */
  static create(options: Partial<EngineOptions> = {}): EngineStandin {
    return new EngineStandin(ENGINE_OPTIONS_SCHEMA.parse(options));
  }

  /** Starts listening and generating; returns the actual address. */
  async start(address: ListenAddress): Promise<ListenAddress> {
    this.address = await this.server.listen(address);
    const interval = this.options.tokenIntervalMs;
    this.timer = setInterval(() => this.generateTokens(), interval);
    this.reportedLoad = this.describeLoad();
    return this.address;
  }

  /** Closes all connections immediately. */
  stop(): void {
    clearInterval(this.timer);
    this.server.destroy();
  }

  private createServer(): HttpServer {
    const routes: Route[] = [
      {
        method: 'POST',
        path: '/v1/completions',
        handler: exchange => this.handleCompletion(exchange),
      },
      {
        method: 'GET',
        path: '/load',
        handler: ({response}) => sendJson(response, 200, this.readLoad()),
      },
      {
        method: 'POST',
        path: '/orders',
        handler: exchange => this.weights.applyOrder(exchange),
      },
      {
        method: 'POST',
        path: '/v1/resume',
        handler: exchange => this.resumeStream(exchange),
      },
      {
        method: 'POST',
        path: '/kv/export',
        handler: exchange => this.exportGeneration(exchange),
      },
      {
        method: 'POST',
        path: '/kv/import',
        handler: exchange => this.importGeneration(exchange),
      },
      {
        method: 'GET',
        path: '/cache-events',
        handler: ({response, url}) => {
          const after = Number(url.searchParams.get('after') ?? 0);
          const events = this.cacheEvents.listEvents(after, Date.now());
          sendJson(response, 200, {events});
        },
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

  private async handleCompletion(exchange: HttpExchange): Promise<void> {
    const {request, response} = exchange;
    const json = await readJsonBody(request, MAX_BODY_BYTES);
    const parsed = COMPLETION_SCHEMA.safeParse(json.unwrapOr(undefined));
    if (!parsed.success) {
      return sendJson(response, 400, {error: parsed.error.message});
    }
    const {prompt, seed, priority} = parsed.data;
    const maxTokens = parsed.data.max_tokens;
    const state: GenerationSnapshot = {
      requestId: String(request.headers['x-request-id'] ?? ''),
      prompt,
      words: generateWords({prompt, seed, maxTokens}),
      priority,
      versions: [],
      next: 0,
    };
    this.startGeneration(state, response);
  }

  private startGeneration(
    state: GenerationSnapshot,
    response: ServerResponse,
  ): void {
    const generation: Generation = {...state, response, isCached: false};
    this.executions.recordStart(generation);
    response.writeHead(200, {'content-type': 'text/event-stream'});
    response.flushHeaders();
    response.on('close', () => this.removeGeneration(generation));
    this.waiting.push(generation);
    this.waiting.sort((a, b) => a.priority - b.priority);
    this.fillSlots();
  }

  /** Resends the words that the caller is missing and continues the stream. */
  private async resumeStream({request, response}: HttpExchange): Promise<void> {
    const json = await readJsonBody(request, MAX_BODY_BYTES);
    const call = RESUME_SCHEMA.parse(json.unwrapOr(undefined));
    const snapshot = this.brokenStreams.get(call.requestId);
    if (snapshot === undefined) {
      return sendJson(response, HTTP_NOT_FOUND, {error: 'no such stream'});
    }
    this.brokenStreams.delete(call.requestId);
    this.startGeneration(snapshot, response);
    for (let index = call.from; index < snapshot.next; index++) {
      sendWord(response, snapshot.words[index], snapshot.versions[index]);
    }
  }

  /** Ends a running generation and returns its state to the caller. */
  private async exportGeneration(exchange: HttpExchange): Promise<void> {
    const {request, response} = exchange;
    const json = await readJsonBody(request, MAX_BODY_BYTES);
    const {requestId} = EXPORT_SCHEMA.parse(json.unwrapOr(undefined));
    const generation = this.running.find(
      candidate => candidate.requestId === requestId,
    );
    if (generation === undefined) {
      return sendJson(response, HTTP_NOT_FOUND, {error: 'no such run'});
    }
    const snapshot = copyGeneration(generation);
    this.removeGeneration(generation);
    generation.response.end();
    sendJson(response, 200, snapshot);
  }

  /** Continues a generation that another engine has exported. */
  private async importGeneration(exchange: HttpExchange): Promise<void> {
    const json = await readJsonBody(exchange.request, MAX_BODY_BYTES);
    const value = json.unwrapOr(undefined);
    const snapshot = GENERATION_SNAPSHOT_SCHEMA.parse(value);
    this.startGeneration(snapshot, exchange.response);
  }

  private fillSlots(): void {
    while (this.running.length < this.options.slots) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      next.isCached = this.updateCache(next.prompt);
      this.running.push(next);
    }
  }

  /** Records a use of a prompt; returns whether it was a cache hit. */
  private updateCache(prompt: string): boolean {
    const addEvent = (kind: 'stored' | 'evicted', subject: string) =>
      this.cacheEvents.addEvent(kind, subject, Date.now());
    const isHit = this.cache.touchPrompt(prompt, oldest =>
      addEvent('evicted', oldest),
    );
    if (!isHit) addEvent('stored', prompt);
    return isHit;
  }

  private clearCache(): void {
    this.cache.clear();
    this.cacheEvents.addEvent('cleared', '', Date.now());
  }

  private removeGeneration(generation: Generation): void {
    this.running = this.running.filter(other => other !== generation);
    this.waiting = this.waiting.filter(other => other !== generation);
    const isBroken = this.executions.recordEnd(generation, 'broken');
    if (isBroken && this.isSavingBrokenStreams) {
      this.brokenStreams.set(generation.requestId, copyGeneration(generation));
    }
    this.fillSlots();
  }

  private generateTokens(): void {
    if (this.isStalled || this.weights.version === null) return;
    for (const generation of [...this.running]) {
      if (generation.prompt.includes(CRASH_MARKER)) return this.crash();
      this.generateToken(generation, this.weights.version);
    }
  }

  private generateToken(generation: Generation, version: number): void {
    const text = generation.words[generation.next];
    generation.next += 1;
    generation.versions.push(version);
    sendWord(generation.response, text, version);
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
    this.executions.recordEnd(generation, 'whole');
    this.removeGeneration(generation);
  }

  /** Drops all generations and connections, and restarts after `restartMs`. */
  private crash(): void {
    this.crashes += 1;
    this.running = [];
    this.waiting = [];
    this.clearCache();
    this.server.destroy();
    setTimeout(() => void this.restart(), this.options.restartMs);
  }

  private async restart(): Promise<void> {
    if (this.address === undefined) return;
    this.server = this.createServer();
    await this.server.listen(this.address);
  }

  /**
   * Returns the load measured at an earlier call, at least `loadLagMs` ago, or
   * at the start. The weight version is current.
   */
  private readLoad(): unknown {
    const current = this.describeLoad();
    setTimeout(() => {
      this.reportedLoad = current;
    }, this.options.loadLagMs);
    const load = this.reportedLoad as object;
    return {...load, weight_version: this.weights.version};
  }

  private describeLoad() {
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      kv_use: this.running.length / this.options.slots,
      weight_version: this.weights.version,
      tokens_per_second: 1_000 / this.options.tokenIntervalMs,
    };
  }

  private async setFaults(exchange: HttpExchange): Promise<void> {
    const json = await readJsonBody(exchange.request, MAX_BODY_BYTES);
    const parsed = ENGINE_FAULTS_SCHEMA.safeParse(json.unwrapOr(undefined));
    if (!parsed.success) {
      return sendJson(exchange.response, 400, {error: parsed.error.message});
    }
    const faults = parsed.data;
    const {weights, cacheEvents} = this;
    weights.failNextSwap = faults.failNextSwap ?? weights.failNextSwap;
    this.isStalled = faults.stalled ?? this.isStalled;
    this.isSavingBrokenStreams =
      faults.keepBroken ?? this.isSavingBrokenStreams;
    cacheEvents.lagMs = faults.cacheEventLagMs ?? cacheEvents.lagMs;
    cacheEvents.dropEvery = faults.dropCacheEvery ?? cacheEvents.dropEvery;
    if (faults.closeEarlyAfter !== undefined) {
      this.closeEarlyAfter = faults.closeEarlyAfter;
    }
    sendJson(exchange.response, 200, {set: true});
    if (faults.crash === true) this.crash();
  }

  private describeTruth() {
    return {
      version: this.weights.version,
      crashes: this.crashes,
      executions: this.executions.listRecords(),
    };
  }
}

function sendWord(
  response: ServerResponse,
  text: string,
  version: number,
): void {
  const choices = [{index: 0, text, finish_reason: null}];
  sendEvent(response, {choices, weight_version: version});
}

function sendEvent(response: ServerResponse, value: unknown): void {
  response.write(`data: ${JSON.stringify(value)}\n\n`);
}
