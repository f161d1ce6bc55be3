/** Splits a byte stream of server-sent events into the data of each event. */

const EVENT_END = '\n\n';
const DATA_FIELD = 'data:';

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
}

function readData(event: string): string {
  const lines = event.split('\n').filter(line => line.startsWith(DATA_FIELD));
  return lines.map(line => line.slice(DATA_FIELD.length).trim()).join('\n');
}
