/** HTTP client of a model engine: streamed completions, load and orders. */
import {
  ACTIVATION_TIMEOUT_MS,
  EndpointDriver,
  EndpointLoad,
  EndpointRun,
  EngineOrder,
  RunHandle,
  RunSink,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
import {BoundedAnswer, classifyCallError} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {Agent} from 'undici';
import {CompletionStream} from './completion_stream';
import {LOAD_SCHEMA} from './engine_wire';

const CALL_TIMEOUT_MS = 1_000;
/** Maximum size of a load report or of the answer to an order, in bytes. */
const MAX_REPORT_BYTES = 1_048_576;
/** Maximum size of a completion's stream of events, in bytes. */
const MAX_STREAM_BYTES = 33_554_432;
/** Time limits of orders by kind. */
const ORDER_TIMEOUTS_MS: Readonly<Record<EngineOrder['kind'], number>> = {
  stage: 600_000,
  activate: ACTIVATION_TIMEOUT_MS,
};
const CONNECT_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const HTTP_TOO_MANY = 429;
const HTTP_UNAVAILABLE = 503;
const PERMILLE_SCALE = 1_000;

/** Endpoint driver for one model engine. */
export class EngineClient implements EndpointDriver {
  private readonly dispatcher = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    bodyTimeout: 0,
    headersTimeout: 0,
  });

  private constructor(private readonly baseUrl: string) {}

  /** `baseUrl` has no trailing slash. */
  static create(baseUrl: string): EngineClient {
    return new EngineClient(baseUrl);
  }

  startRun(run: EndpointRun, sink: RunSink): RunHandle {
    const controller = new AbortController();
    void this.streamCompletion(run, sink, controller.signal);
    return {cancel: () => controller.abort()};
  }

  private async streamCompletion(
    run: EndpointRun,
    sink: RunSink,
    signal: AbortSignal,
  ): Promise<void> {
    if (run.work.type !== 'completion') {
      const error = createError(
        'bad-request',
        'an engine runs only completions',
      );
      return sink.fail({error, isCrash: false});
    }
    const deadline = AbortSignal.timeout(run.budgetMs);
    try {
      const reply = await BoundedAnswer.request(
        `${this.baseUrl}/v1/completions`,
        {
          method: 'POST',
          headers: {
            'content-type': 'application/json',
            'x-request-id': run.requestId,
          },
          body: formatCompletion(run.work.bodyJson, run.priority),
          dispatcher: this.dispatcher,
          signal: AbortSignal.any([signal, deadline]),
          maxBytes: MAX_STREAM_BYTES,
        },
      );
      if (reply.status !== HTTP_OK) {
        const detail = await reply.readText();
        return sink.fail({
          error: readStatusError(reply.status, detail),
          isCrash: false,
        });
      }
      const stream = CompletionStream.create(sink);
      for await (const bytes of reply.readParts()) {
        if (!stream.acceptBytes(bytes)) break;
      }
      stream.endStream();
    } catch (error) {
      if (deadline.aborted) return sink.fail(createDeadlineFailure());
      const fault = classifyCallError(error);
      sink.fail({
        error: fault.isUnsent
          ? createError('endpoint-refused', fault.message)
          : createError('endpoint-failed', fault.message),
        isCrash: fault.isConnectionLost,
      });
    }
  }

  async readLoad(): Promise<Result<EndpointLoad, ServiceError>> {
    try {
      const reply = await BoundedAnswer.request(`${this.baseUrl}/load`, {
        dispatcher: this.dispatcher,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        maxBytes: MAX_REPORT_BYTES,
      });
      const load = LOAD_SCHEMA.parse(await reply.readJson());
      return ok({
        running: load.running,
        waiting: load.waiting,
        kvUsePermille: Math.round(load.kv_use * PERMILLE_SCALE),
        weightVersion: load.weight_version ?? undefined,
        tokensPerSecond: load.tokens_per_second,
      });
    } catch (error) {
      const {message} = classifyCallError(error);
      return err(createError('endpoint-failed', message));
    }
  }

  async sendOrder(order: EngineOrder): Promise<Result<void, ServiceError>> {
    try {
      const reply = await BoundedAnswer.request(`${this.baseUrl}/orders`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(order),
        dispatcher: this.dispatcher,
        signal: AbortSignal.timeout(ORDER_TIMEOUTS_MS[order.kind]),
        maxBytes: MAX_REPORT_BYTES,
      });
      const detail = await reply.readText();
      if (reply.status === HTTP_OK) return ok(undefined);
      if (reply.status === HTTP_CONFLICT) {
        return err(createError('conflict', detail));
      }
      return err(createError('endpoint-failed', detail));
    } catch (error) {
      const {message} = classifyCallError(error);
      return err(createError('endpoint-failed', message));
    }
  }
}

function createDeadlineFailure() {
  const error = createError(
    'deadline-exceeded',
    'the time budget is exhausted',
  );
  return {error, isCrash: false};
}

/** Requests a stream with usage, regardless of what the caller requested. */
function formatCompletion(bodyJson: string, priority: number): string {
  const body = JSON.parse(bodyJson) as object;
  const options = {stream_options: {include_usage: true}};
  return JSON.stringify({...body, stream: true, priority, ...options});
}

function readStatusError(status: number, detail: string): ServiceError {
  if (status === HTTP_TOO_MANY || status === HTTP_UNAVAILABLE) {
    return createError('endpoint-refused', detail);
  }
  if (status < 500) return createError('bad-request', detail);
  return createError('endpoint-failed', detail);
}
