/** Reads what an error of `undici` says about the request that met it. */
import {describeError} from './settings';

const NOT_CONNECTED_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const TIMEOUT_CODES = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
  'UND_ERR_ABORTED',
]);

/** What is known after a failed call. */
export interface CallFault {
  /** No connection was made, so nothing was sent. */
  readonly isUnsent: boolean;
  /** The peer broke off the connection. */
  readonly isBroken: boolean;
  readonly message: string;
}

/** Classifies an error thrown by an HTTP call. */
export function classifyCallError(error: unknown): CallFault {
  const code = readCode(error);
  const isUnsent = NOT_CONNECTED_CODES.has(code);
  const isTimeout = TIMEOUT_CODES.has(code) || readName(error) === 'AbortError';
  const message = `${code} ${describeError(error)}`.trim();
  return {isUnsent, isBroken: !isUnsent && !isTimeout, message};
}

function readCode(error: unknown): string {
  if (typeof error !== 'object' || error === null) return '';
  return 'code' in error ? String(error.code) : '';
}

function readName(error: unknown): string {
  return error instanceof Error ? error.name : '';
}
