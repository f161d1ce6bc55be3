/**
 * Client of the platform's object API: versions, conditional updates and
 * watches over HTTP with JSON.
 *
 * A write whose reply is lost is reported as `platform-down` with the outcome
 * `unknown`; callers read back whether it took effect.
 */
import {ServiceError, createError} from '@sassafrasspan/core';
import {describeError} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {Agent, request} from 'undici';
import {z} from 'zod';

const CALL_TIMEOUT_MS = 2_000;
const WATCH_TIMEOUT_MS = 30_000;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;

/** Schema of an object with its version. */
export const STORED_OBJECT_SCHEMA = z.object({
  key: z.string(),
  version: z.number().int(),
  value: z.unknown(),
});

/** An object with its version; a missing object has version 0. */
export interface StoredObject {
  readonly key: string;
  readonly version: number;
  readonly value?: unknown;
}

const LIST_SCHEMA = z.object({objects: z.array(STORED_OBJECT_SCHEMA)});
const WRITE_SCHEMA = z.object({version: z.number().int()});

/** What the system needs of the platform's object API. */
export interface ObjectStore {
  /** Reads an object; version 0 when there is none. */
  readObject(key: string): Promise<Result<StoredObject, ServiceError>>;
  /** Lists objects by key prefix. */
  listObjects(prefix: string): Promise<Result<StoredObject[], ServiceError>>;
  /**
   * Writes an object if its version is still the expected one (0: absent).
   * Returns the new version; `conflict` when another write came first.
   */
  writeObject(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<number, ServiceError>>;
  /** Waits until an object is newer than a version, or for `waitMs`. */
  watchObject(
    key: string,
    newerThan: number,
    waitMs: number,
  ): Promise<Result<StoredObject, ServiceError>>;
}

/** Object API over HTTP. */
export class ObjectClient implements ObjectStore {
  private readonly dispatcher = new Agent({
    connect: {timeout: CALL_TIMEOUT_MS},
    pipelining: 1,
  });

  private constructor(private readonly baseUrl: string) {}

  /** Builds a client for a base URL. */
  static create(baseUrl: string): ObjectClient {
    return new ObjectClient(baseUrl);
  }

  async readObject(key: string): Promise<Result<StoredObject, ServiceError>> {
    const reply = await this.callApi('GET', formatPath(key), CALL_TIMEOUT_MS);
    return reply.andThen(found =>
      found.status === HTTP_NOT_FOUND
        ? ok({key, version: 0})
        : parseReply(STORED_OBJECT_SCHEMA, found),
    );
  }

  async listObjects(
    prefix: string,
  ): Promise<Result<StoredObject[], ServiceError>> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    const reply = await this.callApi('GET', path, CALL_TIMEOUT_MS);
    return reply
      .andThen(found => parseReply(LIST_SCHEMA, found))
      .map(list => list.objects);
  }

  async writeObject(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<number, ServiceError>> {
    const path = `${formatPath(key)}?expected=${expectedVersion}`;
    const body = JSON.stringify(value);
    const reply = await this.callApi('PUT', path, CALL_TIMEOUT_MS, body);
    return reply
      .andThen(found => parseReply(WRITE_SCHEMA, found))
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
    const reply = await this.callApi('GET', path, timeoutMs);
    return reply.andThen(found =>
      found.status === HTTP_NOT_FOUND
        ? ok({key, version: 0})
        : parseReply(STORED_OBJECT_SCHEMA, found),
    );
  }

  /** Closes idle connections. */
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
      const reply = await request(`${this.baseUrl}${path}`, {
        method,
        body,
        dispatcher: this.dispatcher,
        headers: {'content-type': 'application/json'},
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await reply.body.text();
      return ok({status: reply.statusCode, text});
    } catch (error) {
      return err(createError('platform-down', describeError(error)));
    }
  }
}

/** Status and body of a reply. */
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
