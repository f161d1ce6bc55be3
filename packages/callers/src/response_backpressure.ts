/** Backpressure of an HTTP response. */
import type {ServerResponse} from 'node:http';
import type {Backpressure} from './caller_backend';

/** Reports backpressure while the response's write buffer is full. */
export function createBackpressure(response: ServerResponse): Backpressure {
  return {
    isFull: () => response.writableNeedDrain,
    addDrainListener: listener => response.once('drain', listener),
  };
}
