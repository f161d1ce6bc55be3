/** Clients for the demo and the tests: a caller and a trainer. */
import type {PullReply, Sample, StepDescription} from '@sassafrasspan/core';
import {createApiKey} from './system';

const HEX_RADIX = 16;
const PULL_WAIT_MS = 2_000;
const RETRY_MS = 100;
const DEFAULT_MAX_SAMPLES = 256;

/** The parts of an answer that tests check. */
export interface CallerAnswer {
  readonly status: number;
  /** Value of the `x-outcome` header; empty without one. */
  readonly outcome: string;
  /** Value of the `x-error-kind` header; empty without one. */
  readonly kind: string;
  readonly text: string;
}

/** Options of a call; the default is a GET without a body. */
export interface CallOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Calls an entry with a customer's API key and reads the complete answer. */
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

let keyCount = 0;

/** Returns a new UUIDv7; its timestamp is the current time. */
export function createIdempotencyKey(): string {
  keyCount += 1;
  const time = Date.now().toString(HEX_RADIX).padStart(12, '0');
  const tail = String(keyCount).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
}

/** Posts a completion request to an entry. */
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

/** Samples of a step and counts of the faulty ones among them. */
export interface StepResult {
  readonly samples: Sample[];
  /** Samples whose slot the trainer had already received. */
  readonly duplicated: number;
  /** Samples over the staleness bound when the trainer received them. */
  readonly stale: number;
  readonly cursor: string;
}

/** Checks of a trainer; a negative control turns one of them off. */
export interface ReceiverOptions {
  /** Allowed age of a sample, in versions. */
  readonly stalenessBound: number;
  /** Whether pulls send the cursor of the last reply; default true. */
  readonly keepsCursor?: boolean;
  /** Whether replies for an older version are ignored; default true. */
  readonly checksVersion?: boolean;
}

/** Collects the samples of a step and counts duplicates and stale ones. */
export class StepReceiver {
  readonly samples: Sample[] = [];
  cursor = '';
  duplicated = 0;
  stale = 0;
  isComplete = false;
  private readonly slots = new Set<number>();

  private constructor(private readonly options: ReceiverOptions) {}

  static create(options: ReceiverOptions): StepReceiver {
    return new StepReceiver(options);
  }

  /** Records a reply; `version` is the trainer's current version. */
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

  /** Returns the number of distinct slots received. */
  countSlots(): number {
    return this.slots.size;
  }
}

/** A trainer that publishes versions, puts steps and pulls their samples. */
export class TestTrainer {
  /** Latest weight version that the trainer has published. */
  version = 0;
  private readonly descriptions = new Map<string, StepDescription>();

  private constructor(
    private readonly customer: string,
    private readonly trainer: string,
  ) {}

  static create(customer: string, trainer: string): TestTrainer {
    return new TestTrainer(customer, trainer);
  }

  /** Sends a step's description, and keeps it for `pullOnce`. */
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

  /** Publishes a version; it becomes the trainer's own if accepted. */
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

  /**
   * Pulls samples once. Returns undefined if the call failed or was refused. If
   * the entry does not know the step, sends its description again.
   */
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

  /** Pulls from the entries in turn until the step is complete. */
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
