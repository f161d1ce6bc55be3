/** Small clients for the demo and for tests: a caller and a trainer. */
import type {PullReply, Sample, StepDescription} from '@sassafrasspan/core';
import {createApiKey} from './system';

const HEX_RADIX = 16;
const PULL_WAIT_MS = 2_000;
const RETRY_MS = 100;
const DEFAULT_MAX_SAMPLES = 256;

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

let keys = 0;

/** Writes a UUIDv7 made now. */
export function createIdempotencyKey(): string {
  keys += 1;
  const time = Date.now().toString(HEX_RADIX).padStart(12, '0');
  const tail = String(keys).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
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
  /** Samples over the bound when the trainer took them. */
  readonly stale: number;
  readonly cursor: string;
}

/** How a trainer takes replies; a test may pass in a careless way. */
export interface ReceiverOptions {
  readonly stalenessBound: number;
  /** Whether the trainer keeps the cursor; else it sends none. */
  readonly keepsCursor?: boolean;
  /** Whether a reply checked against an older version is left aside. */
  readonly checksVersion?: boolean;
}

/** What a trainer has received of a step, counted as it goes. */
export class StepReceiver {
  readonly samples: Sample[] = [];
  cursor = '';
  duplicated = 0;
  stale = 0;
  isComplete = false;
  private readonly slots = new Set<number>();

  private constructor(private readonly options: ReceiverOptions) {}

  /** Builds a receiver that has nothing. */
  static create(options: ReceiverOptions): StepReceiver {
    return new StepReceiver(options);
  }

  /** Takes a reply at the trainer's version of now. */
  receiveReply(reply: PullReply, version: number): void {
    const {keepsCursor = true, checksVersion = true} = this.options;
    if (checksVersion && reply.version < version) return;
    if (keepsCursor) this.cursor = reply.cursor;
    this.isComplete = reply.complete;
    for (const sample of reply.samples) this.countSample(sample, version);
  }

  private countSample(sample: Sample, version: number): void {
    if (this.slots.has(sample.slot)) this.duplicated += 1;
    this.slots.add(sample.slot);
    const oldest = Math.min(...sample.segments.map(part => part.version));
    if (version - oldest > this.options.stalenessBound) this.stale += 1;
    this.samples.push(sample);
  }

  /** Returns the number of different slots received. */
  countSlots(): number {
    return this.slots.size;
  }
}

/** A trainer that keeps its own cursor and checks what it receives. */
export class TestTrainer {
  /** Weight version that the trainer is at. */
  version = 0;
  private readonly descriptions = new Map<string, StepDescription>();

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
    this.descriptions.set(step, description);
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
    maxSamples = DEFAULT_MAX_SAMPLES,
  ): Promise<PullReply | undefined> {
    const query = new URLSearchParams({
      cursor,
      version: String(this.version),
      max: String(maxSamples),
      waitMs: String(PULL_WAIT_MS),
    });
    const path = `/v1/trainers/${this.trainer}/steps/${step}/samples?${query}`;
    const answer = await callEntry(entryUrl, this.customer, path).catch(
      () => undefined,
    );
    if (answer?.kind === 'not-found') await this.repeatPut(entryUrl, step);
    if (answer?.status !== 200) return undefined;
    return JSON.parse(answer.text) as PullReply;
  }

  private async repeatPut(entryUrl: string, step: string): Promise<void> {
    const description = this.descriptions.get(step);
    if (description === undefined) return;
    await this.putStep(entryUrl, step, description).catch(() => undefined);
  }

  /** Pulls through the entries in turn until the step is whole. */
  async pullStep(
    entryUrls: readonly string[],
    step: string,
    stalenessBound: number,
  ): Promise<StepResult> {
    const receiver = StepReceiver.create({stalenessBound});
    for (let turn = 0; !receiver.isComplete; turn++) {
      const url = entryUrls[turn % entryUrls.length];
      const reply = await this.pullOnce(url, step, receiver.cursor);
      if (reply !== undefined) receiver.receiveReply(reply, this.version);
      else await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    }
    return receiver;
  }
}
