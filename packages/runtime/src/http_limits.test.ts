/** Limits of the HTTP server, tested by raw TCP clients. */
import {Socket, connect} from 'node:net';
import {
  DEFAULT_HTTP_LIMITS,
  HttpLimits,
  HttpServer,
  Route,
  sendError,
  sendJson,
} from './http_server';
import {readBody} from './read_body';

const TEST_TIMEOUT_MS = 10_000;
const HOST = '127.0.0.1';
const LIMITS: HttpLimits = {
  ...DEFAULT_HTTP_LIMITS,
  maxHeaderBytes: 2_048,
  maxBodyBytes: 100,
  headersTimeoutMs: 300,
  requestTimeoutMs: 600,
  maxOpenRequests: 2,
};

jest.setTimeout(TEST_TIMEOUT_MS);

let releaseHeld: Array<() => void> = [];

const ROUTES: Route[] = [
  {
    method: 'POST',
    path: '/echo',
    handler: async ({request, response}) => {
      const body = await readBody(request, LIMITS.maxBodyBytes);
      if (body.isErr()) sendError(response, body.error);
      else sendJson(response, 200, {length: body.value.length});
    },
  },
  {
    method: 'GET',
    path: '/held',
    handler: ({response}) => {
      releaseHeld.push(() => sendJson(response, 200, {}));
    },
  },
];

let server: HttpServer;
let port: number;

beforeEach(async () => {
  releaseHeld = [];
  server = HttpServer.create(ROUTES, LIMITS);
  port = (await server.listen({host: HOST, port: 0})).port;
});

afterEach(() => server.destroy());

/** Opens a socket and sends text unchanged; the socket stays open. */
function openSocket(text: string): Socket {
  const socket = connect(port, HOST);
  socket.write(text);
  return socket;
}

/** Reads a complete response; returns status, own headers and error. */
function readResponse(socket: Socket) {
  return new Promise<object>((resolve, reject) => {
    let text = '';
    socket.on('error', reject);
    socket.on('data', data => {
      text += data.toString();
      const [head, body] = text.split('\r\n\r\n');
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1]);
      if (body === undefined || body.length < length) return;
      const [status, ...headers] = head.split('\r\n');
      const isOwn = (line: string) => /^(x-|retry-)/i.test(line);
      const error = JSON.parse(body).error;
      resolve({status, headers: headers.filter(isOwn).sort(), error});
      socket.destroy();
    });
  });
}

test('headers over the limit get 431', async () => {
  const header = `x-filler: ${'a'.repeat(4_000)}`;
  const socket = openSocket(`GET / HTTP/1.1\r\nhost: a\r\n${header}\r\n\r\n`);
  expect(await readResponse(socket)).toMatchSnapshot();
});

test('a body whose content length is over the limit gets 413', async () => {
  const socket = openSocket(
    'POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 500\r\n\r\n',
  );
  expect(await readResponse(socket)).toMatchSnapshot();
});

test('a chunked body that grows over the limit gets 413', async () => {
  const socket = openSocket(
    'POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n' +
      `c8\r\n${'a'.repeat(200)}\r\n`,
  );
  expect(await readResponse(socket)).toMatchSnapshot();
});

test('slow headers get 408', async () => {
  const socket = openSocket('GET / HTTP/1.1\r\nhost: a\r\n');
  expect(await readResponse(socket)).toMatchSnapshot();
});

test('a slow body gets 408', async () => {
  const socket = openSocket(
    'POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\nabc',
  );
  expect(await readResponse(socket)).toMatchSnapshot();
});

test('text that is not HTTP gets 400', async () => {
  const socket = openSocket('HELLO\r\n\r\n');
  expect(await readResponse(socket)).toMatchSnapshot();
});

test('a request over the limit of open requests gets 503', async () => {
  const heldRequest = 'GET /held HTTP/1.1\r\nhost: a\r\n\r\n';
  const waiting = [openSocket(heldRequest), openSocket(heldRequest)];
  while (releaseHeld.length < 2) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  expect(await readResponse(openSocket(heldRequest))).toMatchSnapshot();
  for (const socket of waiting) socket.destroy();
});
