/**
 * Incremental parser of server-sent events. An event is returned only once its
 * terminating empty line has arrived, so a truncated stream never yields a
 * partial event.
 */
import {StringDecoder} from 'node:string_decoder';

/** Maximum size of an event, in characters. */
const MAX_EVENT_CHARACTERS = 1_048_576;

/** One server-sent event. */
export interface StreamEvent {
  /** Value of the `id` field, if present. */
  readonly id: string | undefined;
  /** Values of the `data` fields, joined by newlines. */
  readonly data: string;
  /** Values of all other fields by lower-case name. */
  readonly fields: ReadonlyMap<string, string>;
}

/** Splits a byte stream into events. */
export class EventStreamReader {
  private readonly decoder = new StringDecoder('utf8');
  private pending = '';

  private constructor() {}

  static create(): EventStreamReader {
    return new EventStreamReader();
  }

  /** Appends bytes and returns the events that they complete. */
  read(chunk: Buffer): StreamEvent[] {
    this.pending += this.decoder.write(chunk);
    const events: StreamEvent[] = [];
    for (;;) {
      const match = /\r?\n\r?\n/.exec(this.pending);
      if (match === null) return events;
      const text = this.pending.slice(0, match.index);
      this.pending = this.pending.slice(match.index + match[0].length);
      if (text.trim() !== '') events.push(parseEvent(text));
    }
  }

  /** Returns whether the present event is longer than any may be. */
  isOversized(): boolean {
    return this.pending.length > MAX_EVENT_CHARACTERS;
  }

  /** Returns whether the bytes read so far end inside an event. */
  isPartial(): boolean {
    return this.pending.trim() !== '';
  }
}

function parseEvent(text: string): StreamEvent {
  let id: string | undefined;
  const data: string[] = [];
  const fields = new Map<string, string>();
  for (const line of text.split(/\r?\n/)) {
    const colon = line.indexOf(':');
    if (colon <= 0) continue;
    const name = line.slice(0, colon).toLowerCase();
    const value = line.slice(colon + 1).replace(/^ /, '');
    if (name === 'id') id = value;
    else if (name === 'data') data.push(value);
    else fields.set(name, value);
  }
  return {id, data: data.join('\n'), fields};
}
