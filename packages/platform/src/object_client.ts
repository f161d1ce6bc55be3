/**
 * Client of the platform's object API: versioned objects, conditional updates
 * and watches over HTTP with JSON.
 *
 * A write whose reply is lost fails with `platform-down` and the outcome
 * `unknown`; the caller has to read the object to find out whether the write
 * took effect.
 */
import {ServiceError, createError} from '@sassafrasspan/core';
import {BoundedAnswer, describeError} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {Agent} from 'undici';
import {z} from 'zod';

const CALL_TIMEOUT_MS = 2_000;
const WATCH_TIMEOUT_MS = 30_000;
/** Maximum size of an answer, in bytes: a list of all objects of a prefix. */
const MAX_ANSWER_BYTES = 33_554_432;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;

export const STORED_OBJECT_SCHEMA = z.object({
  key: z.string(),
  version: z.number().int(),
  value: z.unknown(),
});

/** An object and its version; a missing object has version 0. */
export interface StoredObject {
  readonly key: string;
  readonly version: number;
  readonly value?: unknown;
}

const LIST_SCHEMA = z.object({objects: z.array(STORED_OBJECT_SCHEMA)});
const WRITE_SCHEMA = z.object({version: z.number().int()});

/** Operations of the platform's object API that the system uses. */
export interface ObjectStore {
  /** Reads an object; its version is 0 if it does not exist. */
  readObject(key: string): Promise<Result<StoredObject, ServiceError>>;
  /** Lists objects by key prefix. */
  listObjects(prefix: string): Promise<Result<StoredObject[], ServiceError>>;
  /**
   * Writes an object if it still has the expected version; 0 means that it
   * must not exist. Returns the new version, or fails with `conflict`.
   */
  writeObject(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<number, ServiceError>>;
  /**
   * Waits up to `waitMs` for a version of an object that is newer than
   * `newerThan`, and returns the current object in either case.
   */
  watchObject(
    key: string,
    newerThan: number,
    waitMs: number,
  ): Promise<Result<StoredObject, ServiceError>>;
}

export class ObjectClient implements ObjectStore {
  private readonly dispatcher = new Agent({
    connect: {timeout: CALL_TIMEOUT_MS},
    pipelining: 1,
  });

  private constructor(private readonly baseUrl: string) {}

  static create(baseUrl: string): ObjectClient {
    return new ObjectClient(baseUrl);
  }

  async readObject(key: string): Promise<Result<StoredObject, ServiceError>> {
    const result = await this.callApi('GET', formatPath(key), CALL_TIMEOUT_MS);
    return result.andThen(reply =>
      reply.status === HTTP_NOT_FOUND
        ? ok({key, version: 0})
        : parseReply(STORED_OBJECT_SCHEMA, reply),
    );
  }

  async listObjects(
    prefix: string,
  ): Promise<Result<StoredObject[], ServiceError>> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    const result = await this.callApi('GET', path, CALL_TIMEOUT_MS);
    return result
      .andThen(reply => parseReply(LIST_SCHEMA, reply))
      .map(list => list.objects);
  }

  async writeObject(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<number, ServiceError>> {
    const path = `${formatPath(key)}?expected=${expectedVersion}`;
    const body = JSON.stringify(value);
    const result = await this.callApi('PUT', path, CALL_TIMEOUT_MS, body);
    return result
      .andThen(reply => parseReply(WRITE_SCHEMA, reply))
      .map(written => written.version);
  }

  async watchObject(
    key: string,
    newerThan: number,
    waitMs: number,
  ): Promise<Result<StoredObject, ServiceError>> {
    const query = `newerThan=${newerThan}&waitMs=${waitMs}`;
    const path = `${formatPath(key)}?${query}`;
    const timeoutMs = Math.min(waitMs + CALL_TIMEOUT_MS, WATCH_TIMEOUT_MS);
    const result = await this.callApi('GET', path, timeoutMs);
    return result.andThen(reply =>
      reply.status === HTTP_NOT_FOUND
        ? ok({key, version: 0})
        : parseReply(STORED_OBJECT_SCHEMA, reply),
    );
  }

  /** Closes all connections and aborts calls in progress. */
  async close(): Promise<void> {
    await this.dispatcher.destroy();
  }

  private async callApi(
    method: 'GET' | 'PUT',
    path: string,
    timeoutMs: number,
    body?: string,
  ): Promise<Result<ApiReply, ServiceError>> {
    try {
      const reply = await BoundedAnswer.request(`${this.baseUrl}${path}`, {
        method,
        body,
        dispatcher: this.dispatcher,
        headers: {'content-type': 'application/json'},
        signal: AbortSignal.timeout(timeoutMs),
        maxBytes: MAX_ANSWER_BYTES,
      });
      const text = await reply.readText();
      return ok({status: reply.status, text});
    } catch (error) {
      return err(createError('platform-down', describeError(error)));
    }
  }
}

interface ApiReply {
  readonly status: number;
  readonly text: string;
}

function formatPath(key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
}

function parseReply<T>(
  schema: z.ZodType<T>,
  reply: ApiReply,
): Result<T, ServiceError> {
  if (reply.status === HTTP_CONFLICT) {
    return err(createError('conflict', reply.text));
  }
  if (reply.status >= 400) {
    const detail = `status ${reply.status}: ${reply.text}`;
    return err(createError('platform-down', detail));
  }
  try {
    return ok(schema.parse(JSON.parse(reply.text)));
  } catch (error) {
    return err(createError('platform-down', describeError(error)));
  }
}
