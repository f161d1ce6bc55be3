/**
 * Reads the bytes of a weight version from this VM's disk, from another agent
 * that has them on its disk (a holder), or from the weight store.
 */
import {createHash} from 'node:crypto';
import {
  ServiceError,
  WeightHolder,
  createError,
  planFetch,
} from '@sassafrasspan/core';
import {AgentClient} from '@sassafrasspan/nodes';
import {EventLog, describeError, waitMs} from '@sassafrasspan/runtime';
import type {
  WeightBlock,
  WeightFiles,
  WeightStore,
} from '@sassafrasspan/weights';
import {Result, err, ok} from 'neverthrow';

const BLOCK_BYTES = 1_048_576;
const HOLDER_POLL_MS = 200;
const STORE_FALLBACK_MS = 3_000;
const MAX_STORE_TRIES = 5;

/** A weight version and its key in the weight store. */
export interface WeightVersion {
  readonly service: string;
  readonly version: number;
  readonly weightsKey: string;
}

export interface WeightSourceOptions {
  readonly self: string;
  readonly failureDomain: string;
  readonly holders: readonly WeightHolder[];
  readonly storeFetchesPerSecond: number;
  readonly store: WeightStore;
  /** Files on this VM's disk; undefined on a VM without one. */
  readonly files: WeightFiles | undefined;
  readonly log: EventLog;
  /** Returns the address of an agent; undefined if it is unknown. */
  findAddress(agent: string): Promise<string | undefined>;
}

export class WeightSource {
  private readonly pendingSaves = new Map<string, Promise<void>>();

  private constructor(private readonly options: WeightSourceOptions) {}

  static create(options: WeightSourceOptions): WeightSource {
    return new WeightSource(options);
  }

  /** Streams a complete version; throws if that is not possible. */
  async *streamVersion(weights: WeightVersion): AsyncGenerator<Uint8Array> {
    if (this.options.files === undefined) {
      yield* this.streamRemote(weights);
      return;
    }
    await this.saveOnce(weights);
    yield* this.streamFile(this.options.files, weights);
  }

  /** Saves a version to the disk; concurrent calls share one save. */
  private saveOnce(weights: WeightVersion): Promise<void> {
    const key = formatVersion(weights);
    const pendingSave = this.pendingSaves.get(key);
    if (pendingSave !== undefined) return pendingSave;
    const save = this.saveVersion(weights).finally(() =>
      this.pendingSaves.delete(key),
    );
    this.pendingSaves.set(key, save);
    return save;
  }

  private async saveVersion(weights: WeightVersion): Promise<void> {
    const {files} = this.options;
    const {service, version} = weights;
    if (files === undefined || (await files.hasVersion(service, version))) {
      return;
    }
    await files.saveVersion(service, version, this.streamRemote(weights));
  }

  private async *streamFile(
    files: WeightFiles,
    weights: WeightVersion,
  ): AsyncGenerator<Uint8Array> {
    const {service, version} = weights;
    for (let offset = 0; ;) {
      const block = await files.readBlock(
        service,
        version,
        offset,
        BLOCK_BYTES,
      );
      if (block === undefined) {
        throw new Error('the weight file no longer exists');
      }
      if (block.data.length === 0) return;
      yield block.data;
      offset += block.data.length;
    }
  }

  /**
   * Reads from the store if the plan makes this agent a fetcher; otherwise
   * copies from a holder, and falls back to the store if none has the version.
   */
  private async *streamRemote(
    weights: WeightVersion,
  ): AsyncGenerator<Uint8Array> {
    const plan = planFetch({
      ...this.options,
      versionKey: formatVersion(weights),
    });
    if (plan.isFetcher) {
      await waitMs(plan.storeDelayMs);
    } else {
      const holder = await this.findReadyHolder(weights, plan.holders);
      if (holder !== undefined) {
        yield* this.streamFromHolder(weights, holder);
        return;
      }
    }
    const opened = await this.openStoredWeights(weights);
    if (opened.isErr()) throw new Error(opened.error.detail);
    yield* opened.value;
  }

  /**
   * Waits until a holder has the version; returns undefined after
   * `STORE_FALLBACK_MS`.
   */
  private async findReadyHolder(
    weights: WeightVersion,
    holders: readonly string[],
  ): Promise<AgentClient | undefined> {
    if (holders.length === 0) return undefined;
    for (
      let waitedMs = 0;
      waitedMs < STORE_FALLBACK_MS;
      waitedMs += HOLDER_POLL_MS
    ) {
      for (const holder of holders) {
        const client = await this.connectHolder(holder);
        if (client === undefined) continue;
        if ((await fetchBlock(client, weights, 0)).isOk()) return client;
        client.close();
      }
      await waitMs(HOLDER_POLL_MS);
    }
    return undefined;
  }

  private async connectHolder(name: string): Promise<AgentClient | undefined> {
    const address = await this.options.findAddress(name);
    return address === undefined ? undefined : AgentClient.create(address);
  }

  private async *streamFromHolder(
    weights: WeightVersion,
    holder: AgentClient,
  ): AsyncGenerator<Uint8Array> {
    const hash = createHash('sha256');
    try {
      for (let offset = 0; ;) {
        const block = await fetchBlock(holder, weights, offset);
        if (block.isErr()) throw new Error(block.error.detail);
        const {data, totalLength, sha256} = block.value;
        hash.update(data);
        offset += data.length;
        const isLast = offset >= totalLength;
        if (isLast && hash.digest('hex') !== sha256) {
          throw new Error('the copied weights do not match their checksum');
        }
        yield data;
        if (isLast) return;
      }
    } finally {
      holder.close();
    }
  }

  /** Opens a version in the store; retries while the store is overloaded. */
  private async openStoredWeights(
    weights: WeightVersion,
  ): Promise<Result<AsyncIterable<Uint8Array>, ServiceError>> {
    for (let attempt = 1; ; attempt++) {
      const opened = await this.options.store.openWeights(weights.weightsKey);
      if (opened.isOk() || attempt >= MAX_STORE_TRIES) return opened;
      if (opened.error.kind !== 'overloaded') return opened;
      await waitMs((opened.error.retryAfterMs ?? 0) + HOLDER_POLL_MS * attempt);
    }
  }

  /** Reads a block for another agent; `not-found` if it is not on disk. */
  async readBlock(
    service: string,
    version: number,
    offset: number,
  ): Promise<Result<WeightBlock, ServiceError>> {
    try {
      const block = await this.options.files?.readBlock(
        service,
        version,
        offset,
        BLOCK_BYTES,
      );
      if (block !== undefined) return ok(block);
      return err(createError('not-found', `no weights ${service}/${version}`));
    } catch (error) {
      return err(createError('internal', describeError(error)));
    }
  }
}

async function fetchBlock(
  holder: AgentClient,
  weights: WeightVersion,
  fromOffset: number,
): Promise<Result<WeightBlock, ServiceError>> {
  const {service, version} = weights;
  return holder.fetchWeights({service, version, fromOffset});
}

function formatVersion(weights: WeightVersion): string {
  return `${weights.service}/${weights.version}`;
}
