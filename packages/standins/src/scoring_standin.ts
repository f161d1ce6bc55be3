/**
 * A stand-in (a fake server) for a scoring service, which derives the score
 * from a hash of the sample.
 */
import {hashText} from '@sassafrasspan/core';
import {
  DEFAULT_HTTP_LIMITS,
  HttpExchange,
  HttpServer,
  ListenAddress,
  readJsonBody,
  sendJson,
} from '@sassafrasspan/runtime';
import {z} from 'zod';

const MAX_BODY_BYTES = 1_048_576;
const SCORE_LEVELS = 1_000;
const SAMPLE_SCHEMA = z.object({prompt: z.string(), text: z.string()});

/** Returns a score from 0 up to but not including 1. */
export function computeScore(prompt: string, text: string): number {
  return (hashText(`${prompt}\n${text}`) % SCORE_LEVELS) / SCORE_LEVELS;
}

/** A fake scoring service with its HTTP server. */
export class ScoringStandin {
  private readonly server: HttpServer;

  private constructor() {
    this.server = HttpServer.create(
      [{method: 'POST', path: '/score', handler: scoreSample}],
      DEFAULT_HTTP_LIMITS,
    );
  }

  /** `start` must be called to listen. */
  static create(): ScoringStandin {
    return new ScoringStandin();
  }

  /** Starts listening; returns the actual address. */
  start(address: ListenAddress): Promise<ListenAddress> {
    return this.server.listen(address);
  }

  /** Closes all connections immediately. */
  stop(): void {
    this.server.destroy();
  }
}

async function scoreSample(exchange: HttpExchange): Promise<void> {
  const json = await readJsonBody(exchange.request, MAX_BODY_BYTES);
  const parsed = SAMPLE_SCHEMA.safeParse(json.unwrapOr(undefined));
  if (!parsed.success) {
    return sendJson(exchange.response, 400, {error: parsed.error.message});
  }
  const score = computeScore(parsed.data.prompt, parsed.data.text);
  sendJson(exchange.response, 200, {score});
}
