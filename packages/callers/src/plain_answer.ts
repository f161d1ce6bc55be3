/** Forwards the answer of a plain service to the caller. */
import type {ServerResponse} from 'node:http';
import type {AnswerHead} from '@sassafrasspan/core';
import {sendError} from '@sassafrasspan/runtime';
import type {AnswerSink} from './caller_backend';
import {createBackpressure} from './response_backpressure';

/** Sends status, headers and body to the caller as they arrive. */
export function createPlainSink(response: ServerResponse): AnswerSink {
  return {
    backpressure: createBackpressure(response),
    setHead: head => startAnswer(response, head),
    appendChunk: chunk => {
      response.write(chunk.data);
    },
    finish: () => {
      response.end();
    },
    fail: error => sendError(response, error),
    reset: () => !response.headersSent,
  };
}

function startAnswer(response: ServerResponse, head: AnswerHead): void {
  if (response.headersSent) return;
  const headers = head.headers.flatMap(field => [field.name, field.value]);
  response.writeHead(head.status, [...headers, 'x-outcome', 'ran']);
}
