/** HTTP routes for completions and calls to plain services. */
import type {IncomingMessage} from 'node:http';
import {HeaderField, ServiceError, createError} from '@sassafrasspan/core';
import {
  HttpExchange,
  HttpLimits,
  Route,
  readBody,
  readJsonBody,
  sendError,
} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';
import {authenticateCall, readHeader, readRequestId} from './caller_auth';
import type {AnswerSink, CallerBackend, CallerRequest} from './caller_backend';
import {createStreamSink, createBufferedSink} from './completion_answer';
import {createPlainSink} from './plain_answer';

const DEFAULT_MAX_TOKENS = 256;
const MS_PER_SECOND = 1_000;

/** Request headers that the entry interprets and does not forward. */
const CONSUMED_HEADERS = new Set([
  'authorization',
  'x-request-id',
  'x-timeout-ms',
  'x-non-idempotent',
]);

const COMPLETION_SCHEMA = z.looseObject({
  model: z.string().min(1),
  prompt: z.string(),
  max_tokens: z.number().int().positive().default(DEFAULT_MAX_TOKENS),
  stream: z.boolean().default(false),
});

type CompletionBody = z.infer<typeof COMPLETION_SCHEMA>;

export function createCallerRoutes(
  backend: CallerBackend,
  limits: HttpLimits,
): Route[] {
  return [
    {
      method: 'POST',
      path: '/v1/completions',
      handler: exchange => handleCompletion(exchange, backend, limits),
    },
    {
      method: '*',
      path: '/services/:service/*',
      handler: exchange => handlePlainCall(exchange, backend, limits),
    },
  ];
}

async function handleCompletion(
  exchange: HttpExchange,
  backend: CallerBackend,
  limits: HttpLimits,
): Promise<void> {
  const {request, response} = exchange;
  const customer = authenticateCall(request, backend);
  if (customer.isErr()) return sendError(response, customer.error);
  const json = await readJsonBody(request, limits.maxBodyBytes);
  const body = json.andThen(parseCompletion);
  if (body.isErr()) return sendError(response, body.error);
  const call = createCompletionRequest(request, customer.value, body.value);
  if (call.isErr()) return sendError(response, call.error);
  const metadata = {
    requestId: call.value.requestId,
    model: body.value.model,
    createdAtSeconds: Math.floor(Date.now() / MS_PER_SECOND),
  };
  const createSink = body.value.stream ? createStreamSink : createBufferedSink;
  dispatchCall(exchange, backend, call.value, createSink(response, metadata));
}

function parseCompletion(value: unknown): Result<CompletionBody, ServiceError> {
  const parsed = COMPLETION_SCHEMA.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  return err(createError('bad-request', z.prettifyError(parsed.error)));
}

function createCompletionRequest(
  request: IncomingMessage,
  customer: string,
  body: CompletionBody,
): Result<CallerRequest, ServiceError> {
  return readBudget(request).map(budgetMs => ({
    ...readCallHeaders(request),
    customer,
    service: body.model,
    work: {type: 'completion', bodyJson: JSON.stringify(body)},
    prefix: body.prompt,
    expectedTokens: body.max_tokens,
    budgetMs,
  }));
}

async function handlePlainCall(
  exchange: HttpExchange,
  backend: CallerBackend,
  limits: HttpLimits,
): Promise<void> {
  const {request, response} = exchange;
  const customer = authenticateCall(request, backend);
  if (customer.isErr()) return sendError(response, customer.error);
  const body = await readBody(request, limits.maxBodyBytes);
  if (body.isErr()) return sendError(response, body.error);
  const budget = readBudget(request);
  if (budget.isErr()) return sendError(response, budget.error);
  const call: CallerRequest = {
    ...readCallHeaders(request),
    customer: customer.value,
    service: exchange.params.service,
    work: {
      type: 'http',
      method: request.method ?? 'GET',
      path: `/${exchange.params['*']}${exchange.url.search}`,
      headers: readForwardedHeaders(request),
      body: body.value,
    },
    prefix: '',
    expectedTokens: 0,
    budgetMs: budget.value,
  };
  dispatchCall(exchange, backend, call, createPlainSink(response));
}

function readCallHeaders(request: IncomingMessage) {
  return {
    requestId: readRequestId(request),
    isMarkedNonIdempotent: readHeader(request, 'x-non-idempotent') === 'true',
    idempotencyKey: readHeader(request, 'idempotency-key'),
  };
}

function readBudget(
  request: IncomingMessage,
): Result<number | undefined, ServiceError> {
  const text = readHeader(request, 'x-timeout-ms');
  if (text === '') return ok(undefined);
  const budgetMs = Number(text);
  if (Number.isInteger(budgetMs) && budgetMs > 0) return ok(budgetMs);
  const detail = 'x-timeout-ms must be a positive integer (milliseconds)';
  return err(createError('bad-request', detail));
}

function readForwardedHeaders(request: IncomingMessage): HeaderField[] {
  const fields: HeaderField[] = [];
  const {rawHeaders} = request;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index];
    if (CONSUMED_HEADERS.has(name.toLowerCase())) continue;
    fields.push({name, value: rawHeaders[index + 1]});
  }
  return fields;
}

/** Dispatches a call and cancels it if the caller disconnects. */
function dispatchCall(
  exchange: HttpExchange,
  backend: CallerBackend,
  call: CallerRequest,
  sink: AnswerSink,
): void {
  if (exchange.response.destroyed) return;
  exchange.response.setHeader('x-request-id', call.requestId);
  const handle = backend.dispatch(call, sink);
  exchange.response.on('close', () => {
    if (!exchange.response.writableFinished) handle.cancel();
  });
}
