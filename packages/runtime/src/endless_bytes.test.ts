/** Servers that send bytes without end, until the caller closes the connection. */
import {AddressInfo, Server, Socket, createServer} from 'node:net';
import {HttpClient} from './http_client';

const HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNK = 'x'.repeat(65_536);
const LIMIT_BYTES = 1_048_576;
/** Bytes that may be under way when the caller closes the connection. */
const SLACK_BYTES = 16_777_216;
const TIMEOUT_MS = 20_000;

let server: Server;
let sentBytes = 0;
let isClosed: Promise<void>;

/** Sends a beginning and then a part over and over. */
function listen(beginning: string, part: string): Promise<void> {
  sentBytes = 0;
  isClosed = new Promise(resolve => {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('close', () => resolve());
      socket.once('data', () => {
        socket.write(beginning);
        sendForever(socket, part);
      });
    });
  });
  return new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
}

function sendForever(socket: Socket, part: string): void {
  if (socket.destroyed) return;
  sentBytes += part.length;
  socket.write(part, () => setImmediate(() => sendForever(socket, part)));
}

const ANSWERS: Readonly<Record<string, readonly [string, string]>> = {
  'a body without length': [`${HEAD}\r\n`, CHUNK],
  'a body in chunks': [
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    `10000\r\n${CHUNK}\r\n`,
  ],
  'a body of a great length': [
    `${HEAD}Content-Length: 900000000000\r\n\r\n`,
    CHUNK,
  ],
  'a head with more and more headers': [HEAD, 'X-A: b\r\n'],
  'a header without end': [`${HEAD}X-A: `, CHUNK],
  'a status line without end': ['HTTP/1.1 200 ', CHUNK],
  'heads that announce an answer': ['', 'HTTP/1.1 100 Continue\r\n\r\n'],
};

test.each(Object.keys(ANSWERS))(
  'the caller reads %s until its memory is full',
  async name => {
    const [beginning, part] = ANSWERS[name];
    await listen(beginning, part);
    const client = HttpClient.create();
    const {port} = server.address() as AddressInfo;
    const reply = await client.call({
      address: {host: '127.0.0.1', port},
      method: 'GET',
      path: '/',
      timeoutMs: TIMEOUT_MS,
      maxBodyBytes: LIMIT_BYTES,
      mayRetry: true,
    });
    expect(reply.isErr() && reply.error.reason).toBe('broken');
    await isClosed;
    expect(sentBytes).toBeLessThan(LIMIT_BYTES + SLACK_BYTES);
    client.close();
    server.close();
  },
);
