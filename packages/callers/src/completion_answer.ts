/** Writes completions to callers: whole as JSON, or as a stream of events. */
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

/** What every answer of a completion repeats. */
export interface CompletionMetadata {
  readonly requestId: string;
  readonly model: string;
  readonly createdAtSeconds: number;
}

/** Collects a completion and sends it when it is whole. */
export function createBufferedSink(
  response: ServerResponse,
  identity: CompletionMetadata,
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
      sendJson(response, 200, formatCompletion(identity, text, end));
    },
    fail: error => sendError(response, error),
    reset: () => {
      chunks = [];
      return true;
    },
  };
}

/** Sends a completion event by event. */
export function createStreamSink(
  response: ServerResponse,
  identity: CompletionMetadata,
): AnswerSink {
  const decoder = new TextDecoder();
  return {
    backpressure: createBackpressure(response),
    setHead: () => undefined,
    appendChunk: chunk => {
      startStream(response);
      const text = decoder.decode(chunk.data, {stream: true});
      sendEvent(response, formatChunk(identity, text, chunk));
    },
    finish: end => {
      startStream(response);
      sendEvent(response, formatCompletion(identity, '', end));
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
  identity: CompletionMetadata,
  text: string,
  chunk: AnswerChunk,
) {
  return {
    ...formatMetadata(identity),
    choices: [{index: 0, text, finish_reason: null}],
    weight_version: chunk.weightVersion,
  };
}

function formatCompletion(
  identity: CompletionMetadata,
  text: string,
  end: AnswerEnd,
) {
  return {
    ...formatMetadata(identity),
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

function formatMetadata(identity: CompletionMetadata) {
  return {
    id: identity.requestId,
    object: 'text_completion',
    created: identity.createdAtSeconds,
    model: identity.model,
  };
}
