/** A stand-in for the weight store: a rate limit on fetches. */
import {
  DEFAULT_HTTP_LIMITS,
  HttpExchange,
  HttpServer,
  ListenAddress,
  sendJson,
} from '@sassafrasspan/runtime';

const HTTP_TOO_MANY = 429;
const WINDOW_MS = 1_000;
const DEFAULT_FETCHES_PER_SECOND = 4;
const WEIGHTS_BYTES = 65_536;

/** A running stand-in weight store. */
export class WeightStoreStandin {
  private readonly server: HttpServer;
  private recent: number[] = [];
  private fetches = 0;
  private refusals = 0;

  private constructor(private readonly fetchesPerSecond: number) {
    this.server = HttpServer.create(
      [
        {
          method: 'GET',
          path: '/weights/:key',
          handler: exchange => this.sendWeights(exchange),
        },
        {
          method: 'GET',
          path: '/admin/truth',
          handler: ({response}) => {
            const {fetches, refusals} = this;
            sendJson(response, 200, {fetches, refusals});
          },
        },
      ],
      DEFAULT_HTTP_LIMITS,
    );
  }

  /** Builds a store that does not listen yet. */
  static create(
    fetchesPerSecond = DEFAULT_FETCHES_PER_SECOND,
  ): WeightStoreStandin {
    return new WeightStoreStandin(fetchesPerSecond);
  }

  /** Starts to listen; returns the address in use. */
  start(address: ListenAddress): Promise<ListenAddress> {
    return this.server.listen(address);
  }

  /** Stops at once. */
  stop(): void {
    this.server.destroy();
  }

  private sendWeights(exchange: HttpExchange): void {
    const nowMs = Date.now();
    this.recent = this.recent.filter(at => nowMs - at < WINDOW_MS);
    if (this.recent.length >= this.fetchesPerSecond) {
      this.refusals += 1;
      exchange.response.setHeader('retry-after', '1');
      return sendJson(exchange.response, HTTP_TOO_MANY, {error: 'rate limit'});
    }
    this.recent.push(nowMs);
    this.fetches += 1;
    exchange.response.writeHead(200, {
      'content-type': 'application/octet-stream',
    });
    exchange.response.end(Buffer.alloc(WEIGHTS_BYTES, exchange.params.key));
  }
}
