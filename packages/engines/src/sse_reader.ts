/** Splits a byte stream of server-sent events into the data of each event. */

const EVENT_END = '\n\n';
const DATA_FIELD = 'data:';
/** Maximum size of an event, in characters. */
const MAX_EVENT_CHARACTERS = 1_048_576;

/** Incremental parser that returns complete events. */
export class SseReader {
  private readonly decoder = new TextDecoder();
  private pending = '';

  private constructor() {}

  static create(): SseReader {
    return new SseReader();
  }

  /** Appends bytes; returns the data of each event that they complete. */
  readEvents(bytes: Uint8Array): string[] {
    this.pending += this.decoder.decode(bytes, {stream: true});
    this.pending = this.pending.replaceAll('\r\n', '\n');
    const parts = this.pending.split(EVENT_END);
    this.pending = parts.pop() ?? '';
    return parts.map(readData).filter(data => data !== '');
  }

  /** Returns whether the present event is longer than any may be. */
  isOversized(): boolean {
    return this.pending.length > MAX_EVENT_CHARACTERS;
  }
}

function readData(event: string): string {
  const lines = event.split('\n').filter(line => line.startsWith(DATA_FIELD));
  return lines.map(line => line.slice(DATA_FIELD.length).trim()).join('\n');
}
