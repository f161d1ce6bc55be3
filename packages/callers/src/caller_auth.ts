/** Authenticates calls by API key and reads their headers. */
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

/** Returns the customer of a call according to its `Authorization` header. */
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

/**
 * Returns a unique request id. It begins with the caller's own id if the call
 * has one of acceptable length.
 */
export function readRequestId(request: IncomingMessage): string {
  const callerId = readHeader(request, 'x-request-id');
  const uniqueId = randomUUID();
  if (callerId === '' || callerId.length > MAX_ID_LENGTH) return uniqueId;
  return `${callerId}~${uniqueId}`;
}

/** Returns the value of a header; empty if it is missing. */
export function readHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(',') : (value ?? '');
}
