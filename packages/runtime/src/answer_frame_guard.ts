/**
 * Bounds what arrives of an answer beside its body: status line, head, interim
 * responses, framing and trailers. `undici` bounds headers itself, but neither a
 * status line nor the extensions of chunks; it discards them, so that a server could
 * keep the processor busy until a time limit. Uses the channels that `undici`
 * publishes for diagnostics.
 */
import {subscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

/** Maximum size of what is not the body, in bytes. */
const MAX_FRAME_BYTES = 262_144;
/** The same for each byte of the body, for chunks of a single byte. */
const MAX_FRAME_BYTES_PER_BYTE = 16;

/** Fields of the messages that `undici` publishes about a request. */
interface RequestMessage {
  readonly request: object;
  /** In messages about a request that is sent. */
  readonly socket: Socket;
  /** In messages about a part of a body. */
  readonly chunk: Uint8Array;
}

/** A request whose answer has not arrived whole. */
interface OpenRequest {
  bodyBytes: number;
  readonly end: () => void;
}

const openRequests = new WeakMap<object, OpenRequest>();
let isAttached = false;

const HANDLERS: Readonly<Record<string, (message: RequestMessage) => void>> = {
  'undici:client:sendHeaders': ({request, socket}) => {
    openRequests.set(request, watchAnswer(socket));
  },
  'undici:request:bodyChunkReceived': ({request, chunk}) => {
    const open = openRequests.get(request);
    if (open !== undefined) open.bodyBytes += chunk.length;
  },
  'undici:request:trailers': ({request}) => openRequests.get(request)?.end(),
  'undici:request:error': ({request}) => openRequests.get(request)?.end(),
};

/** Attaches the guard to all requests of the process, once. */
export function attachFrameGuard(): void {
  if (isAttached) return;
  isAttached = true;
  for (const [channel, handle] of Object.entries(HANDLERS)) {
    subscribe(channel, message => handle(message as RequestMessage));
  }
}

/** Closes the connection when too much arrives that is not the body. */
function watchAnswer(socket: Socket): OpenRequest {
  const readBefore = socket.bytesRead;
  const open = {bodyBytes: 0, end: () => socket.off('readable', check)};
  const check = () => {
    const {bodyBytes} = open;
    const frameBytes = socket.bytesRead - readBefore - bodyBytes;
    const mostBytes = MAX_FRAME_BYTES + bodyBytes * MAX_FRAME_BYTES_PER_BYTE;
    if (frameBytes <= mostBytes) return;
    open.end();
    socket.destroy(new Error(`${frameBytes} bytes beside a body`));
  };
  socket.on('readable', check);
  return open;
}
