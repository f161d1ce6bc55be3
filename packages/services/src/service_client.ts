/**
 * Client of an endpoint of a plain service: an HTTP service that is not a model
 * engine. It forwards HTTP calls without interpreting them.
 */
import {
  EndReport,
  EndpointDriver,
  EndpointLoad,
  EndpointRun,
  HeaderField,
  HttpWork,
  RunHandle,
  RunSink,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
import {BoundedAnswer, classifyCallError} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {Agent, Dispatcher} from 'undici';
import {z} from 'zod';

const CONNECT_TIMEOUT_MS = 1_000;
const CALL_TIMEOUT_MS = 1_000;
/** Maximum size of a load report, in bytes. */
const MAX_REPORT_BYTES = 1_048_576;
/** Maximum size of an answer to a call, in bytes; it is held whole. */
const MAX_ANSWER_BYTES = 33_554_432;

/**
 * Headers that are not forwarded: hop-by-hop headers, those that the HTTP client
 * sets itself, and `expect`, which it rejects.
 */
const UNFORWARDED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'upgrade',
  'te',
  'trailer',
  'host',
  'content-length',
  'expect',
]);

const LOAD_SCHEMA = z.object({running: z.number(), waiting: z.number()});

const PLAIN_END_REPORT: EndReport = {
  finishReason: 'stop',
  promptTokens: 0,
  completionTokens: 0,
  cachedTokens: 0,
};

export class ServiceClient implements EndpointDriver {
  private readonly dispatcher = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    bodyTimeout: 0,
    headersTimeout: 0,
  });

  private constructor(private readonly baseUrl: string) {}

  static create(baseUrl: string): ServiceClient {
    return new ServiceClient(baseUrl);
  }

  startRun(run: EndpointRun, sink: RunSink): RunHandle {
    const controller = new AbortController();
    if (run.work.type === 'http') {
      void this.forwardCall(run, run.work, sink, controller.signal);
    } else {
      const error = createError(
        'bad-request',
        'a plain service accepts only HTTP calls',
      );
      sink.fail({error, isCrash: false});
    }
    return {cancel: () => controller.abort()};
  }

  private async forwardCall(
    run: EndpointRun,
    work: HttpWork,
    sink: RunSink,
    signal: AbortSignal,
  ): Promise<void> {
    const deadline = AbortSignal.timeout(run.budgetMs);
    try {
      const reply = await BoundedAnswer.request(`${this.baseUrl}${work.path}`, {
        method: work.method as Dispatcher.HttpMethod,
        headers: formatHeaders(work.headers, run.requestId),
        body: work.body.length > 0 ? work.body : null,
        dispatcher: this.dispatcher,
        signal: AbortSignal.any([signal, deadline]),
        maxBytes: MAX_ANSWER_BYTES,
      });
      const headers = readHeaders(reply.headers);
      sink.setHead({status: reply.status, headers});
      for await (const bytes of reply.readParts()) {
        // Plain services have no weight version and generate no tokens.
        sink.appendData(bytes, 0, 0);
      }
      sink.finish(PLAIN_END_REPORT);
    } catch (error) {
      const failure = classifyCallError(error);
      const failureKind = failure.isUnsent
        ? 'endpoint-refused'
        : 'endpoint-failed';
      const kind = deadline.aborted ? 'deadline-exceeded' : failureKind;
      sink.fail({
        error: createError(kind, failure.message),
        isCrash: failure.isConnectionLost && !deadline.aborted,
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
        ...load,
        kvUsePermille: 0,
        weightVersion: 0,
        tokensPerSecond: 0,
      });
    } catch (error) {
      const {message} = classifyCallError(error);
      return err(createError('endpoint-failed', message));
    }
  }

  /** Fails: orders load weight versions, which a plain service does not have. */
  async sendOrder(): Promise<Result<void, ServiceError>> {
    return err(
      createError('bad-request', 'a plain service does not accept orders'),
    );
  }
}

/** Returns the headers without `UNFORWARDED_HEADERS`. */
export function selectForwardedHeaders(
  headers: readonly HeaderField[],
): HeaderField[] {
  return headers.filter(
    field => !UNFORWARDED_HEADERS.has(field.name.toLowerCase()),
  );
}

function formatHeaders(
  headers: readonly HeaderField[],
  requestId: string,
): string[] {
  const forwarded = selectForwardedHeaders(headers);
  const allHeaders = [...forwarded, {name: 'x-request-id', value: requestId}];
  return allHeaders.flatMap(field => [field.name, field.value]);
}

function readHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): HeaderField[] {
  const fields = Object.entries(headers).flatMap(([name, value]) => {
    const values = Array.isArray(value) ? value : [value ?? ''];
    return values.map(item => ({name, value: item}));
  });
  return selectForwardedHeaders(fields);
}
