/**
 * Formats error responses, either as status, headers and body or as raw text
 * for a socket. The body contains the fields of OpenAI-compatible errors and
 * those of this system.
 */
import {STATUS_CODES} from 'node:http';
import {ServiceError, getErrorAnswer} from '@sassafrasspan/core';

const MS_PER_SECOND = 1_000;
const FIRST_SERVER_STATUS = 500;

/** OpenAI-compatible error types of the statuses that have a specific one. */
const ERROR_TYPES: Readonly<Record<number, string>> = {
  401: 'authentication_error',
  403: 'permission_error',
  404: 'not_found_error',
  429: 'rate_limit_error',
};

/** An error response ready to be sent. */
export interface ErrorReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Formats an error, with retry headers if the caller may retry. */
export function formatErrorReply(error: ServiceError): ErrorReply {
  const answer = getErrorAnswer(error);
  const {status, outcome, retryAfterMs, summary} = answer;
  const seconds = Math.ceil(retryAfterMs / MS_PER_SECOND);
  const retryHeaders = {
    'retry-after': String(seconds),
    'retry-after-ms': String(retryAfterMs),
  };
  const fields = {
    kind: error.kind,
    message: summary,
    detail: error.detail,
    outcome,
    retryAfterMs,
    type: findErrorType(status),
    code: error.kind,
    param: null,
  };
  const body = JSON.stringify({error: fields});
  return {
    status,
    headers: {
      'content-type': 'application/json',
      'content-length': String(Buffer.byteLength(body)),
      'x-outcome': outcome,
      'x-error-kind': error.kind,
      ...(retryAfterMs > 0 ? retryHeaders : {}),
    },
    body,
  };
}

function findErrorType(status: number): string {
  const isServerError = status >= FIRST_SERVER_STATUS;
  const defaultType = isServerError ? 'server_error' : 'invalid_request_error';
  return ERROR_TYPES[status] ?? defaultType;
}

/** Formats an error as raw HTTP text, for a request that failed to parse. */
export function formatRawError(error: ServiceError): string {
  const {status, headers, body} = formatErrorReply(error);
  const lines = Object.entries({...headers, connection: 'close'}).map(
    ([name, value]) => `${name}: ${value}`,
  );
  const statusLine = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`;
  return [statusLine, ...lines, '', body].join('\r\n');
}
