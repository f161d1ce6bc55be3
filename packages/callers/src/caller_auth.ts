/** Reads the API key of a call and finds its customer. */
import {createHash, randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {ServiceError, createError} from '@sassafrasspan/core';
import {Result, err} from 'neverthrow';
import type {CallerBackend} from './caller_backend';

const BEARER = /^Bearer +(\S+)$/i;
const MAX_ID_LENGTH = 128;

/** Returns the SHA-256 of an API key in hexadecimal. */
export function hashApiKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Finds the customer of a call by its `Authorization` header. */
export function authenticateCall(
  request: IncomingMessage,
  backend: Pick<CallerBackend, 'authenticate'>,
): Result<string, ServiceError> {
  const match = BEARER.exec(request.headers.authorization ?? '');
  if (match === null) {
    const detail = 'Authorization: Bearer <API key> is missing';
    return err(createError('unauthenticated', detail));
  }
  return backend.authenticate(hashApiKey(match[1]));
}

/** Returns the caller's request id, or a new one. */
export function readRequestId(request: IncomingMessage): string {
  const stated = readHeader(request, 'x-request-id');
  const unique = randomUUID();
  if (stated === '' || stated.length > MAX_ID_LENGTH) return unique;
  return `${stated}~${unique}`;
}

/** Returns the value of a header; empty without one. */
export function readHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(',') : (value ?? '');
}
