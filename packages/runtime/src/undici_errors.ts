/** Classifies errors of `undici` by whether the request was sent. */
import {describeError} from './describe_error';

const CONNECT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ETIMEDOUT',
]);
const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';
const BROKEN_CODES = new Set([
  'ECONNABORTED',
  'ECONNRESET',
  'EPIPE',
  'UND_ERR_SOCKET',
]);

/** Classification of a failed call. */
export interface CallFailure {
  /** No connection was established, so nothing was sent. */
  readonly isUnsent: boolean;
  /** An established connection broke, as when the peer crashed. */
  readonly isConnectionLost: boolean;
  readonly message: string;
}

/**
 * Classifies an error thrown by an HTTP call. The same system error code can
 * occur while connecting or later on an established connection; only in the
 * first case is it certain that nothing was sent.
 */
export function classifyCallError(error: unknown): CallFailure {
  const code = readField(error, 'code');
  const isUnsent = code === CONNECT_TIMEOUT_CODE || isConnectFailure(error);
  const isBroken = !isUnsent && BROKEN_CODES.has(code);
  const message = `${code} ${describeError(error)}`.trim();
  return {isUnsent, isConnectionLost: isBroken, message};
}

function isConnectFailure(error: unknown): boolean {
  if (error instanceof AggregateError) {
    return error.errors.length > 0 && error.errors.every(isConnectFailure);
  }
  const isConnect = readField(error, 'syscall') === 'connect';
  return isConnect && CONNECT_CODES.has(readField(error, 'code'));
}

function readField(error: unknown, name: 'code' | 'syscall'): string {
  if (typeof error !== 'object' || error === null) return '';
  return String(Reflect.get(error, name) ?? '');
}
