/** HTTP routes for steps, samples and published weight versions. */
import {authenticateCall} from '@sassafrasspan/callers';
import {
  STEP_DESCRIPTION_SCHEMA,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
import {
  HttpExchange,
  HttpLimits,
  Route,
  readJsonBody,
  sendError,
  sendJson,
} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';
import type {SamplePull, StepName, TrainerBackend} from './trainer_backend';

const DEFAULT_MAX_SAMPLES = 256;
const MAX_WAIT_MS = 20_000;

const PULL_QUERY_SCHEMA = z.object({
  cursor: z.string().default(''),
  version: z.coerce.number().int().nonnegative(),
  max: z.coerce.number().int().positive().default(DEFAULT_MAX_SAMPLES),
  waitMs: z.coerce.number().int().min(0).max(MAX_WAIT_MS).default(0),
});

const VERSION_SCHEMA = z.strictObject({
  version: z.number().int().positive(),
  weightsKey: z.string().min(1),
});

export function createTrainerRoutes(
  backend: TrainerBackend,
  limits: HttpLimits,
): Route[] {
  return [
    {
      method: 'PUT',
      path: '/v1/trainers/:trainer/steps/:step',
      handler: exchange => handlePutStep(exchange, backend, limits),
    },
    {
      method: 'GET',
      path: '/v1/trainers/:trainer/steps/:step/samples',
      handler: exchange => handlePull(exchange, backend),
    },
    {
      method: 'POST',
      path: '/v1/trainers/:trainer/versions',
      handler: exchange => handlePublish(exchange, backend, limits, false),
    },
    {
      method: 'POST',
      path: '/v1/trainers/:trainer/versions/announced',
      handler: exchange => handlePublish(exchange, backend, limits, true),
    },
  ];
}

async function handlePutStep(
  exchange: HttpExchange,
  backend: TrainerBackend,
  limits: HttpLimits,
): Promise<void> {
  const name = readStepName(exchange, backend);
  if (name.isErr()) return sendError(exchange.response, name.error);
  const json = await readJsonBody(exchange.request, limits.maxBodyBytes);
  const description = json.andThen(value =>
    parseWith(STEP_DESCRIPTION_SCHEMA, value),
  );
  if (description.isErr()) {
    return sendError(exchange.response, description.error);
  }
  sendResult(exchange, await backend.putStep(name.value, description.value));
}

async function handlePull(
  exchange: HttpExchange,
  backend: TrainerBackend,
): Promise<void> {
  const name = readStepName(exchange, backend);
  if (name.isErr()) return sendError(exchange.response, name.error);
  const query = Object.fromEntries(exchange.url.searchParams);
  const pull = parseWith(PULL_QUERY_SCHEMA, query).map(convertPullQuery);
  if (pull.isErr()) return sendError(exchange.response, pull.error);
  sendResult(exchange, await backend.pullSamples(name.value, pull.value));
}

function convertPullQuery(
  query: z.infer<typeof PULL_QUERY_SCHEMA>,
): SamplePull {
  return {
    cursor: query.cursor,
    trainerVersion: query.version,
    maxSamples: query.max,
    waitMs: query.waitMs,
  };
}

async function handlePublish(
  exchange: HttpExchange,
  backend: TrainerBackend,
  limits: HttpLimits,
  isAnnouncement: boolean,
): Promise<void> {
  const customer = authenticateCall(exchange.request, backend);
  if (customer.isErr()) return sendError(exchange.response, customer.error);
  const json = await readJsonBody(exchange.request, limits.maxBodyBytes);
  const body = json.andThen(value => parseWith(VERSION_SCHEMA, value));
  if (body.isErr()) return sendError(exchange.response, body.error);
  const published = await backend.publishVersion({
    customer: customer.value,
    trainer: exchange.params.trainer,
    isAnnouncement,
    ...body.value,
  });
  sendResult(exchange, published);
}

function readStepName(
  exchange: HttpExchange,
  backend: TrainerBackend,
): Result<StepName, ServiceError> {
  return authenticateCall(exchange.request, backend).map(customer => ({
    customer,
    trainer: exchange.params.trainer,
    step: exchange.params.step,
  }));
}

function parseWith<T>(
  schema: z.ZodType<T>,
  value: unknown,
): Result<T, ServiceError> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  return err(createError('bad-request', z.prettifyError(parsed.error)));
}

function sendResult<T>(
  exchange: HttpExchange,
  result: Result<T, ServiceError>,
): void {
  if (result.isOk()) sendJson(exchange.response, 200, result.value);
  else sendError(exchange.response, result.error);
}
