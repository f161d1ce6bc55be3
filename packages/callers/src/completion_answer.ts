/**
 * Sends completions to callers, either as one JSON body or as a stream of
 * server-sent events.
 */
import type {ServerResponse} from 'node:http';
import type {
  AnswerChunk,
  AnswerEnd,
  ServiceError,
  VersionSegment,
} from '@sassafrasspan/core';
import {sendError, sendJson} from '@sassafrasspan/runtime';
import type {AnswerSink} from './caller_backend';
import {createBackpressure} from './response_backpressure';

/** Fields that every event or body of a completion contains. */
export interface CompletionMetadata {
  readonly requestId: string;
  readonly model: string;
  readonly createdAtSeconds: number;
}

/** Buffers a completion and sends it as JSON when it is complete. */
export function createBufferedSink(
  response: ServerResponse,
  metadata: CompletionMetadata,
): AnswerSink {
  let chunks: Uint8Array[] = [];
  return {
    setHead: () => undefined,
    appendChunk: chunk => {
      chunks.push(chunk.data);
    },
    finish: end => {
      const text = Buffer.concat(chunks).toString('utf8');
      response.setHeader('x-outcome', 'ran');
      sendJson(response, 200, formatCompletion(metadata, text, end));
    },
    fail: error => sendError(response, error),
    reset: () => {
      chunks = [];
      return true;
    },
  };
}

/** Streams a completion as server-sent events. */
export function createStreamSink(
  response: ServerResponse,
  metadata: CompletionMetadata,
): AnswerSink {
  const decoder = new TextDecoder();
  return {
    backpressure: createBackpressure(response),
    setHead: () => undefined,
    appendChunk: chunk => {
      startStream(response);
      const text = decoder.decode(chunk.data, {stream: true});
      sendEvent(response, formatChunk(metadata, text, chunk));
    },
    finish: end => {
      startStream(response);
      sendEvent(response, formatCompletion(metadata, '', end));
      response.write('data: [DONE]\n\n');
      response.end();
    },
    fail: (error: ServiceError) => sendError(response, error),
    reset: () => !response.headersSent,
  };
}

function startStream(response: ServerResponse): void {
  if (response.headersSent) return;
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
    'x-outcome': 'ran',
  });
}

function sendEvent(response: ServerResponse, value: unknown): void {
  response.write(`data: ${JSON.stringify(value)}\n\n`);
}

function formatChunk(
  metadata: CompletionMetadata,
  text: string,
  chunk: AnswerChunk,
) {
  return {
    ...formatMetadata(metadata),
    choices: [{index: 0, text, finish_reason: null}],
    weight_version: chunk.weightVersion,
  };
}

function formatCompletion(
  metadata: CompletionMetadata,
  text: string,
  end: AnswerEnd,
) {
  return {
    ...formatMetadata(metadata),
    choices: [{index: 0, text, finish_reason: end.finishReason}],
    usage: {
      prompt_tokens: end.promptTokens,
      completion_tokens: end.completionTokens,
      total_tokens: end.promptTokens + end.completionTokens,
    },
    weight_segments: end.segments.map(formatSegment),
  };
}

function formatSegment(segment: VersionSegment) {
  return {version: segment.version, from: segment.from, to: segment.to};
}

function formatMetadata(metadata: CompletionMetadata) {
  return {
    id: metadata.requestId,
    object: 'text_completion',
    created: metadata.createdAtSeconds,
    model: metadata.model,
  };
}
