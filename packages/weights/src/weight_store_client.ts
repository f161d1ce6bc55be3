/** Client of the weight store, which limits the rate of downloads. */
import {ServiceError, createError} from '@sassafrasspan/core';
import {BoundedAnswer, classifyCallError} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';

const FETCH_TIMEOUT_MS = 600_000;
/** Maximum size of weights, in bytes; they are never held whole. */
const MAX_WEIGHT_BYTES = 4_398_046_511_104;
/** Maximum size of an error's text, in bytes. */
const MAX_ERROR_BYTES = 65_536;
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
      const reply = await BoundedAnswer.request(
        `${this.baseUrl}/weights/${path}`,
        {
          signal: AbortSignal.timeout(FETCH_TIMEOUT_MS),
          maxBytes: MAX_WEIGHT_BYTES,
        },
      );
      if (reply.status === HTTP_OK) return ok(reply.readParts());
      const detail = await reply.readText(MAX_ERROR_BYTES);
      if (reply.status !== HTTP_TOO_MANY_REQUESTS) {
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
