/**
 * JSON from and to other programs. `JSON.parse` reads any depth, but
 * `JSON.stringify` overflows the stack on a value of some thousand levels, so that
 * a value that one node has read may be one that it cannot pass on.
 */
import {ServiceError, createError} from '@sassafrasspan/core';
import {Result, err, ok} from 'neverthrow';
import {describeError} from './describe_error';
import {estimateDecodedBytes} from './json_cost';

/** Length of texts whose decoded values always fit, in bytes. */
const SMALL_TEXT_BYTES = 262_144;

/** Parses JSON; invalid text is a `bad-request` error. */
export function parseJson(text: string): Result<unknown, ServiceError> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch (error) {
    return err(createError('bad-request', describeError(error)));
  }
}

/** Parses the JSON of a body, unless its values would take over `maxDecodedBytes`:
 * that is a `memory-short` error. */
export function parseBody(
  body: Buffer,
  maxDecodedBytes: number,
): Result<unknown, ServiceError> {
  const isSmall = body.length <= SMALL_TEXT_BYTES;
  const decodedBytes = isSmall ? 0 : estimateDecodedBytes(body);
  if (decodedBytes <= maxDecodedBytes) return parseJson(body.toString('utf8'));
  const detail = `the decoded body takes ${decodedBytes} bytes; the limit is ${maxDecodedBytes}`;
  return err(createError('memory-short', detail));
}

/** Encodes a value as JSON; one that has no JSON form is an `internal` error. */
export function encodeJson(value: unknown): Result<string, ServiceError> {
  try {
    return ok(JSON.stringify(value));
  } catch (error) {
    return err(createError('internal', describeError(error)));
  }
}

/** Returns whether a parsed value has at most `maxDepth` levels of arrays and
 * objects. */
export function isWithinDepth(value: unknown, maxDepth: number): boolean {
  let level = [value].filter(isContainer);
  for (let depth = 0; level.length > 0; depth++) {
    if (depth === maxDepth) return false;
    level = level.flatMap(container =>
      Object.values(container).filter(isContainer),
    );
  }
  return true;
}

function isContainer(value: unknown): value is object {
  return typeof value === 'object' && value !== null;
}
