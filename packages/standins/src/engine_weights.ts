/**
 * Simulates the weights of a model engine: orders with fencing numbers,
 * staging from the weight store, and swaps that can fail partway.
 */
import {HttpExchange, readJsonBody, sendJson} from '@sassafrasspan/runtime';
import {z} from 'zod';
import type {EngineOptions} from './engine_options';

const MAX_BODY_BYTES = 1_048_576;
const HTTP_CONFLICT = 409;
const HTTP_INTERNAL_ERROR = 500;

const ORDER_SCHEMA = z.object({
  kind: z.enum(['stage', 'activate']),
  version: z.number().int(),
  source: z.string(),
  fencing: z.number().int(),
});

/** Options and callback of the weights. */
export interface EngineWeightsOptions extends Pick<
  EngineOptions,
  'fencing' | 'activateMs'
> {
  /** Called after another version has become active. */
  onSwap(): void;
}

/** The staged and the active weight version of an engine, at first 0. */
export class EngineWeights {
  /** Active version; null after a swap that failed partway. */
  version: number | null = 0;
  /** Whether the next activation fails and leaves the version unknown. */
  failNextSwap = false;
  private stagedVersion = 0;
  private highestFencingNumber = 0;

  private constructor(private readonly options: EngineWeightsOptions) {}

  static create(options: EngineWeightsOptions): EngineWeights {
    return new EngineWeights(options);
  }

  /**
   * Handles an order to stage or activate a version. Answers 409 when its
   * fencing number is outdated, and 500 when the order fails.
   */
  async applyOrder(exchange: HttpExchange): Promise<void> {
    const {request, response} = exchange;
    const json = await readJsonBody(request, MAX_BODY_BYTES);
    const parsed = ORDER_SCHEMA.safeParse(json.unwrapOr(undefined));
    if (!parsed.success) {
      return sendJson(response, 400, {error: parsed.error.message});
    }
    const order = parsed.data;
    const isOutdated = order.fencing < this.highestFencingNumber;
    if (isOutdated && this.options.fencing === 'checks') {
      const error = `fencing number ${this.highestFencingNumber} is newer`;
      return sendJson(response, HTTP_CONFLICT, {error});
    }
    this.highestFencingNumber = Math.max(
      this.highestFencingNumber,
      order.fencing,
    );
    const error =
      order.kind === 'stage'
        ? await this.stageVersion(order.version, order.source)
        : await this.activateVersion(order.version);
    if (error === undefined) sendJson(response, 200, {done: true});
    else sendJson(response, HTTP_INTERNAL_ERROR, {error});
  }

  /** Returns an error message; undefined on success. */
  private async stageVersion(
    version: number,
    source: string,
  ): Promise<string | undefined> {
    try {
      const reply = await fetch(source);
      if (!reply.ok) {
        return `the weight store answered with status ${reply.status}`;
      }
      await reply.arrayBuffer();
    } catch (error) {
      return String(error);
    }
    this.stagedVersion = version;
    return undefined;
  }

  /** Returns an error message; undefined on success. */
  private async activateVersion(version: number): Promise<string | undefined> {
    if (this.stagedVersion !== version) {
      return `version ${version} is not staged`;
    }
    await new Promise(resolve => setTimeout(resolve, this.options.activateMs));
    if (this.failNextSwap) {
      this.failNextSwap = false;
      this.version = null;
      return 'the swap failed partway';
    }
    this.version = version;
    this.options.onSwap();
    return undefined;
  }
}
