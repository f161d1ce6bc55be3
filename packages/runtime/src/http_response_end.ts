/** How responses end: completely, by a reset, or not at all. */
import type {IncomingMessage} from 'node:http';

/** Size and time within which a body is discarded to reuse its connection. */
const MAX_DISCARDED_BYTES = 65_536;
const DISCARD_TIMEOUT_MS = 1_000;

/** Discards a streamed body, and closes its connection if the body does not end
 * soon. */
export function dropBody(message: IncomingMessage): void {
  let size = 0;
  const timer = setTimeout(() => message.destroy(), DISCARD_TIMEOUT_MS);
  message.on('close', () => clearTimeout(timer));
  message.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_DISCARDED_BYTES) message.destroy();
  });
}

/** Returns whether closing the connection marks the end of a response. */
export function isDelimitedByClose(message: IncomingMessage): boolean {
  const {headers} = message;
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * Calls back once the complete response has arrived. If a response is delimited
 * by the end of the connection, Node also reports a reset right after the last
 * bytes as an end. Writing an empty line distinguishes the two, because the
 * write fails after a reset.
 */
export function waitForEnd(
  message: IncomingMessage,
  onReset: (detail: string) => void,
  onComplete: () => void,
): void {
  let hasEnded = false;
  let isConfirmed = !isDelimitedByClose(message);
  const finish = () => {
    if (hasEnded && isConfirmed) onComplete();
  };
  message.on('end', () => {
    hasEnded = message.complete;
    finish();
  });
  if (isConfirmed) return;
  // Must run before Node's own listener, which closes the writable side.
  message.socket.prependOnceListener('end', () => {
    message.socket.write('\r\n', error => {
      if (error) {
        return onReset('connection reset instead of closed');
      }
      isConfirmed = true;
      finish();
    });
  });
}
