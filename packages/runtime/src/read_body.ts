/** Reads the bodies of requests at a bounded cost in memory and processor time. */
import type {IncomingMessage} from 'node:http';
import {ErrorKind, ServiceError, createError} from '@sassafrasspan/core';
import {Result, err, ok} from 'neverthrow';
import {BodyBuffer} from './body_buffer';
import {ChunkMeter} from './read_turns';

/** Follows the reading of a body and may end it. */
export interface BodyMeter {
  /** Called with the size of each part that is kept. */
  readonly onBytes: (bytes: number) => void;
  /** Resolves if the rest of the body is to be discarded. */
  readonly refusal: Promise<ServiceError>;
}

/**
 * Reads a complete body up to a limit in bytes. A larger body is still read,
 * and discarded, so that the sender can finish and read the error response.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  meter?: BodyMeter,
): Promise<Result<Buffer, ServiceError>> {
  const body = BodyBuffer.create();
  const chunks = ChunkMeter.create(request.socket);
  let isDiscarded = false;
  return new Promise(resolve => {
    const drop = (error: ServiceError) => {
      isDiscarded = true;
      body.clear();
      resolve(err(error));
    };
    const fail = (kind: ErrorKind, detail: string) =>
      resolve(err(createError(kind, detail)));
    const dropOversized = () =>
      drop(createError('body-too-large', `the body is over ${maxBytes} bytes`));
    void meter?.refusal.then(drop);
    if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
      dropOversized();
    }
    request.on('data', (chunk: Buffer) => {
      chunks.addChunk(chunk.length);
      if (isDiscarded) return;
      if (body.getLength() + chunk.length > maxBytes) return dropOversized();
      body.append(chunk);
      meter?.onBytes(chunk.length);
    });
    request.on('end', () => resolve(ok(body.take())));
    request.on('error', error => fail('slow-sender', error.message));
    request.on('close', () =>
      fail('slow-sender', 'the client closed the connection'),
    );
  });
}

/** Discards a body that is not wanted, so that its sender can finish it. */
export function dropBody(request: IncomingMessage): void {
  const chunks = ChunkMeter.create(request.socket);
  request.on('data', (chunk: Buffer) => chunks.addChunk(chunk.length));
}
