/**
 * Calls other nodes with JSON over persistent HTTP connections. Errors of the
 * other node are returned unchanged. If the node doesn't answer the error is
 * `peer-lost`, with an outcome that states whether the call may have arrived;
 * if it isn't listening the error is `peer-absent`.
 */
import {ServiceError, createError, readErrorKind} from '@sassafrasspan/core';
import {
  HttpClient,
  HttpFailure,
  HttpReply,
  PeerAddress,
  encodeJson,
  parseJson,
} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import * as z from 'zod/mini';

const JSON_HEADERS = {'content-type': 'application/json'};
/** Timeout to connect to another node, in ms: several round trips. */
const CONNECT_TIMEOUT_MS = 250;

/** Schema of the body of an error answer. */
export const PEER_ERROR_SCHEMA = z.object({
  kind: z.string(),
  detail: z.string(),
  outcome: z.optional(z.enum(['not-run', 'ran', 'unknown'])),
  retryAfterMs: z.optional(z.number()),
});

export interface PeerCall<T> {
  readonly address: PeerAddress;
  readonly path: string;
  readonly body: unknown;
  readonly schema: z.ZodMiniType<T>;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

export class PeerClient {
  private readonly httpClient = HttpClient.create();

  private constructor() {}

  static create(): PeerClient {
    return new PeerClient();
  }

  async call<T>(call: PeerCall<T>): Promise<Result<T, ServiceError>> {
    const body = encodeJson(call.body);
    if (body.isErr()) return err({...body.error, outcome: 'not-run'});
    const reply = await this.httpClient.call({
      address: call.address,
      method: 'POST',
      path: call.path,
      headers: JSON_HEADERS,
      body: body.value,
      timeoutMs: call.timeoutMs,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      // Calls between nodes are idempotent, so they can be repeated.
      mayRetry: true,
      signal: call.signal,
    });
    if (reply.isErr()) return err(convertFailure(reply.error));
    return decodeReply(call.schema, reply.value);
  }

  /** Closes all connections. */
  close(): void {
    this.httpClient.close();
  }
}

function convertFailure(failure: HttpFailure): ServiceError {
  const detail = `${failure.reason}: ${failure.detail}`;
  if (failure.reason === 'refused') return createError('peer-absent', detail);
  const outcome = failure.isSent ? 'unknown' : 'not-run';
  return createError('peer-lost', detail, {outcome});
}

function decodeReply<T>(
  schema: z.ZodMiniType<T>,
  reply: HttpReply,
): Result<T, ServiceError> {
  const value = parseJson(reply.body.toString('utf8'));
  if (value.isErr()) return err(createError('peer-lost', value.error.detail));
  if (reply.status !== 200) return err(decodeError(value.value));
  const parsed = schema.safeParse(value.value);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  const detail = `answer: ${issue?.path.join('.')} ${issue?.message}`;
  return err(createError('peer-lost', detail));
}

function decodeError(value: unknown): ServiceError {
  const parsed = PEER_ERROR_SCHEMA.safeParse(value);
  if (!parsed.success) return createError('peer-lost', 'malformed error');
  const {kind, detail, outcome, retryAfterMs} = parsed.data;
  return createError(readErrorKind(kind), detail, {outcome, retryAfterMs});
}
