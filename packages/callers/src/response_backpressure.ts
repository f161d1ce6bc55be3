/** Reports backpressure of an HTTP response to the code that writes to it. */
import type {ServerResponse} from 'node:http';
import type {Backpressure} from './caller_backend';

/** Reports backpressure of the response while its write buffer is full. */
export function createBackpressure(response: ServerResponse): Backpressure {
  return {
    isFull: () => response.writableNeedDrain,
    addDrainListener: listener => response.once('drain', listener),
  };
}
