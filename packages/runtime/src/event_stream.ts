/**
 * Reads a stream of server-sent events. Bytes after the last empty line belong
 * to no event, so that a stream that breaks off never yields half of one.
 */
import {StringDecoder} from 'node:string_decoder';

/** One event. */
export interface StreamEvent {
  /** Value of the `id` field; undefined without one. */
  readonly id: string | undefined;
  readonly data: string;
  /** Lines of other fields, by their lower-case names. */
  readonly fields: ReadonlyMap<string, string>;
}

/** Splits text into events. */
export class EventStreamReader {
  private readonly decoder = new StringDecoder('utf8');
  private pending = '';

  private constructor() {}

  /** Builds a reader at the beginning of a stream. */
  static create(): EventStreamReader {
    return new EventStreamReader();
  }

  /** Takes bytes and returns the events that they complete. */
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

  /** Tells whether bytes are left that belong to no whole event. */
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
