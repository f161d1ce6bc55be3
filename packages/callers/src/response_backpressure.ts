/** Backpressure of an HTTP response whose caller reads slowly. */
import type {ServerResponse} from 'node:http';
import type {Backpressure} from './caller_backend';

/** Reads how fast the caller takes a response. */
export function createBackpressure(response: ServerResponse): Backpressure {
  return {
    isFull: () => response.writableNeedDrain,
    addDrainListener: listener => response.once('drain', listener),
  };
}
