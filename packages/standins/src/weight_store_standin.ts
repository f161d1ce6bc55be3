/**
 * A stand-in (a fake server) for the weight store, with a rate limit on
 * fetches.
 */
import {
  DEFAULT_HTTP_LIMITS,
  HttpExchange,
  HttpServer,
  ListenAddress,
  readJsonBody,
  sendJson,
} from '@sassafrasspan/runtime';
import {z} from 'zod';

const HTTP_TOO_MANY_REQUESTS = 429;
const RATE_WINDOW_MS = 1_000;
const DEFAULT_FETCHES_PER_SECOND = 4;
const MAX_BODY_BYTES = 1_048_576;
const WEIGHTS_BYTES = 65_536;

const FAULTS_SCHEMA = z.strictObject({
  /** Replaces the rate limit. */
  fetchesPerSecond: z.number().nonnegative().optional(),
});

/** A fake weight store with its HTTP server. */
export class WeightStoreStandin {
  private readonly server: HttpServer;
  /** Times of the fetches served within the last second. */
  private recentFetchesMs: number[] = [];
  private fetches = 0;
  private refusals = 0;
  /** Highest number of fetches served within one second. */
  private peakPerSecond = 0;

  private constructor(private fetchesPerSecond: number) {
    this.server = HttpServer.create(
      [
        {
          method: 'GET',
          path: '/weights/:key',
          handler: exchange => this.sendWeights(exchange),
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
            const {fetches, refusals, peakPerSecond} = this;
            const counts = {fetches, refusals, peakPerSecond};
            sendJson(response, 200, counts);
          },
        },
      ],
      DEFAULT_HTTP_LIMITS,
    );
  }

  /** `start` must be called to listen. */
  static create(
    fetchesPerSecond = DEFAULT_FETCHES_PER_SECOND,
  ): WeightStoreStandin {
    return new WeightStoreStandin(fetchesPerSecond);
  }

  /** Starts listening; returns the actual address. */
  start(address: ListenAddress): Promise<ListenAddress> {
    return this.server.listen(address);
  }

  /** Closes all connections immediately. */
  stop(): void {
    this.server.destroy();
  }

  private async setFaults(exchange: HttpExchange): Promise<void> {
    const json = await readJsonBody(exchange.request, MAX_BODY_BYTES);
    const faults = FAULTS_SCHEMA.parse(json.unwrapOr(undefined));
    this.fetchesPerSecond = faults.fetchesPerSecond ?? this.fetchesPerSecond;
    sendJson(exchange.response, 200, {set: true});
  }

  private sendWeights(exchange: HttpExchange): void {
    const nowMs = Date.now();
    this.recentFetchesMs = this.recentFetchesMs.filter(
      fetchedAtMs => nowMs - fetchedAtMs < RATE_WINDOW_MS,
    );
    if (this.recentFetchesMs.length >= this.fetchesPerSecond) {
      this.refusals += 1;
      exchange.response.setHeader('retry-after', '1');
      return sendJson(exchange.response, HTTP_TOO_MANY_REQUESTS, {
        error: 'rate limit',
      });
    }
    this.recentFetchesMs.push(nowMs);
    this.fetches += 1;
    this.peakPerSecond = Math.max(
      this.peakPerSecond,
      this.recentFetchesMs.length,
    );
    exchange.response.writeHead(200, {
      'content-type': 'application/octet-stream',
    });
    exchange.response.end(Buffer.alloc(WEIGHTS_BYTES, exchange.params.key));
  }
}
