/** Wraps a sink to learn how its answer ends. */
import type {ServiceError} from '@sassafrasspan/core';
import type {AnswerSink} from './caller_backend';

/** Takes the end of an answer: an error, or undefined when it is whole. */
export type AnswerEndListener = (error: ServiceError | undefined) => void;

/** Passes an answer on and tells the listener of its end first. */
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
