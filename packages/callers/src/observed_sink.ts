/** Wraps an answer sink to observe how the answer ends. */
import type {ServiceError} from '@sassafrasspan/core';
import type {AnswerSink} from './caller_backend';

/** Receives the error that ended an answer; undefined if it is complete. */
export type AnswerEndListener = (error: ServiceError | undefined) => void;

/** Forwards an answer to a sink and calls the listener before its end. */
export function observeEnd(
  sink: AnswerSink,
  listener: AnswerEndListener,
): AnswerSink {
  return {
    backpressure: sink.backpressure,
    setHead: head => sink.setHead(head),
    appendChunk: chunk => sink.appendChunk(chunk),
    reset: () => sink.reset(),
    finish: end => {
      listener(undefined);
      sink.finish(end);
    },
    fail: error => {
      listener(error);
      sink.fail(error);
    },
  };
}
