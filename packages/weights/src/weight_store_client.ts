/** Client of the weight store, which limits the rate of downloads. */
import {ServiceError, createError} from '@sassafrasspan/core';
import {classifyCallError} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {request} from 'undici';

const FETCH_TIMEOUT_MS = 600_000;
const HTTP_OK = 200;
const HTTP_TOO_MANY_REQUESTS = 429;
const MS_PER_SECOND = 1_000;

export interface WeightStore {
  /**
   * Opens the weights stored under a key as a stream of bytes. Fails with
   * `overloaded` and a retry time if the store's rate limit is exceeded.
   */
  openWeights(
    key: string,
  ): Promise<Result<AsyncIterable<Uint8Array>, ServiceError>>;
}

export class WeightStoreClient implements WeightStore {
  private constructor(private readonly baseUrl: string) {}

  static create(baseUrl: string): WeightStoreClient {
    return new WeightStoreClient(baseUrl);
  }

  async openWeights(
    key: string,
  ): Promise<Result<AsyncIterable<Uint8Array>, ServiceError>> {
    try {
      const path = encodeURIComponent(key);
      const reply = await request(`${this.baseUrl}/weights/${path}`, {
        signal: AbortSignal.timeout(FETCH_TIMEOUT_MS),
      });
      if (reply.statusCode === HTTP_OK) return ok(reply.body);
      const detail = await reply.body.text();
      if (reply.statusCode !== HTTP_TOO_MANY_REQUESTS) {
        return err(createError('endpoint-failed', detail));
      }
      const seconds = Number(reply.headers['retry-after'] ?? 1);
      const retryAfterMs = seconds * MS_PER_SECOND;
      return err(createError('overloaded', detail, {retryAfterMs}));
    } catch (error) {
      const {message} = classifyCallError(error);
      return err(createError('endpoint-failed', message));
    }
  }
}
