/** Streams texts of some 30 events, or of a few, as a sound model server does. */
import type {StreamFault} from '../../platform/src/testing/stream_faults';

/** Time between two events, in ms. */
const EVENT_MS = 120;
const MIN_EVENTS = 26;
const SPREAD = 7;
const SHORT_EVENTS = 2;

/** Returns whether the text of an item is short: that of half of all ids. */
export function hasShortText(itemId: string): boolean {
  return Number.parseInt(itemId.slice(0, 1), 16) < 8;
}

/** Returns the events of an item's text; they depend only on its id. */
export function createLongText(itemId: string): string[] {
  const digits = Number.parseInt(itemId.slice(-4), 16) || 0;
  const count = hasShortText(itemId)
    ? SHORT_EVENTS
    : MIN_EVENTS + (digits % SPREAD);
  return Array.from({length: count}, (_, index) => `${itemId}/${index + 1}`);
}

/** Answers a request for an item with its text, from the event after the last
 * one that the sender has. */
export const streamLongText: StreamFault = (
  response,
  {itemId, resumedAfter},
) => {
  const text = createLongText(itemId);
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'request-id': itemId,
    'server-stamp': 'x',
    'weight-versions': '1',
  });
  let number = resumedAfter;
  let timer: NodeJS.Timeout | undefined;
  const writeEvent = () => {
    number += 1;
    if (number > text.length) {
      response.end();
      return;
    }
    response.write(`id: ${number}\ndata: ${text[number - 1]}\n\n`);
    timer = setTimeout(writeEvent, EVENT_MS);
  };
  // Prompts take different times to read.
  const digits = Number.parseInt(itemId.slice(1, 5), 16) || 0;
  timer = setTimeout(writeEvent, digits % EVENT_MS);
  response.on('close', () => clearTimeout(timer));
};
