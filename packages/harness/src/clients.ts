/** Small clients for the demo and for tests: a caller and a trainer. */
import type {PullReply, Sample, StepDescription} from '@sassafrasspan/core';
import {createApiKey} from './system';

const PULL_WAIT_MS = 2_000;
const RETRY_MS = 100;

/** An answer as a caller sees it. */
export interface CallerAnswer {
  readonly status: number;
  readonly outcome: string;
  readonly kind: string;
  readonly text: string;
}

/** Options of a call beyond its method and body. */
export interface CallOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Calls an entry as a customer and reads the whole answer. */
export async function callEntry(
  entryUrl: string,
  customer: string,
  path: string,
  options: CallOptions = {},
): Promise<CallerAnswer> {
  const reply = await fetch(`${entryUrl}${path}`, {
    method: options.method ?? 'GET',
    headers: {
      authorization: `Bearer ${createApiKey(customer)}`,
      'content-type': 'application/json',
      ...options.headers,
    },
    body: options.body,
  });
  return {
    status: reply.status,
    outcome: reply.headers.get('x-outcome') ?? '',
    kind: reply.headers.get('x-error-kind') ?? '',
    text: await reply.text(),
  };
}

/** Asks for a completion. */
export function callCompletion(
  entryUrl: string,
  customer: string,
  body: Readonly<Record<string, unknown>>,
): Promise<CallerAnswer> {
  return callEntry(entryUrl, customer, '/v1/completions', {
    method: 'POST',
    body: JSON.stringify(body),
  });
}

/** What a trainer has seen of a step. */
export interface StepResult {
  readonly samples: Sample[];
  readonly duplicated: number;
  /** Samples over the bound at the version that their pull stated. */
  readonly stale: number;
  readonly cursor: string;
}

/** A trainer that keeps its own cursor and checks what it receives. */
export class TestTrainer {
  /** Weight version that the trainer is at. */
  version = 0;

  private constructor(
    private readonly customer: string,
    private readonly trainer: string,
  ) {}

  /** Builds a trainer of a customer. */
  static create(customer: string, trainer: string): TestTrainer {
    return new TestTrainer(customer, trainer);
  }

  /** Describes a step. */
  putStep(
    entryUrl: string,
    step: string,
    description: StepDescription,
  ): Promise<CallerAnswer> {
    const path = `/v1/trainers/${this.trainer}/steps/${step}`;
    const body = JSON.stringify(description);
    return callEntry(entryUrl, this.customer, path, {method: 'PUT', body});
  }

  /** Publishes a version and moves on to it. */
  async publishVersion(
    entryUrl: string,
    version: number,
  ): Promise<CallerAnswer> {
    const path = `/v1/trainers/${this.trainer}/versions`;
    const body = JSON.stringify({version, weightsKey: `weights-${version}`});
    const options = {method: 'POST', body};
    const answer = await callEntry(entryUrl, this.customer, path, options);
    if (answer.status === 200) this.version = version;
    return answer;
  }

  /** Pulls once; undefined when the entry did not answer. */
  async pullOnce(
    entryUrl: string,
    step: string,
    cursor: string,
  ): Promise<PullReply | undefined> {
    const query = new URLSearchParams({
      cursor,
      version: String(this.version),
      waitMs: String(PULL_WAIT_MS),
    });
    const path = `/v1/trainers/${this.trainer}/steps/${step}/samples?${query}`;
    const answer = await callEntry(entryUrl, this.customer, path).catch(
      () => undefined,
    );
    if (answer?.status !== 200) return undefined;
    return JSON.parse(answer.text) as PullReply;
  }

  /** Pulls through the entries in turn until the step is whole. */
  async pullStep(
    entryUrls: readonly string[],
    step: string,
    stalenessBound: number,
  ): Promise<StepResult> {
    const samples: Sample[] = [];
    const slots = new Set<number>();
    let cursor = '';
    let duplicated = 0;
    let stale = 0;
    for (let turn = 0; ; turn++) {
      const url = entryUrls[turn % entryUrls.length];
      const stated = this.version;
      const reply = await this.pullOnce(url, step, cursor);
      if (reply === undefined) {
        await new Promise(resolve => setTimeout(resolve, RETRY_MS));
        continue;
      }
      cursor = reply.cursor;
      for (const sample of reply.samples) {
        if (slots.has(sample.slot)) duplicated += 1;
        slots.add(sample.slot);
        const oldest = Math.min(...sample.segments.map(part => part.version));
        if (stated - oldest > stalenessBound) stale += 1;
        samples.push(sample);
      }
      if (reply.complete) return {samples, duplicated, stale, cursor};
    }
  }
}
