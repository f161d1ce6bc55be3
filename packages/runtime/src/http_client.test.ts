/** Calls against raw servers that answer in every way that was seen. */
import {AddressInfo, Server, Socket, createServer} from 'node:net';
import {HttpClient} from './http_client';

const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: a\r\n';
const FRAMED = `${HEAD}Content-Length: 4\r\n\r\nbody`;

let server: Server;
let connections = 0;
let caller: HttpClient;

function listen(answer: (socket: Socket) => void): Promise<void> {
  connections = 0;
  server = createServer(socket => {
    connections += 1;
    socket.on('error', () => undefined);
    socket.on('data', () => answer(socket));
  });
  return new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
}

beforeEach(() => {
  caller = HttpClient.create();
});

afterEach(() => {
  caller.close();
  server.close();
});

async function callServer(timeoutMs = 2_000) {
  const {port} = server.address() as AddressInfo;
  const reply = await caller.call({
    address: {host: '127.0.0.1', port},
    method: 'GET',
    path: '/',
    timeoutMs,
    isExpectedResponse: headers => headers['request-id'] === 'a',
  });
  if (reply.isOk()) return `whole: ${reply.value.body.toString()}`;
  const {reason, isSent, isAnswered} = reply.error;
  return `${reason}, sent ${isSent}, answered ${isAnswered}`;
}

/** Ways of a server to answer, and what the caller makes of each. */
const ANSWERS: Readonly<Record<string, (socket: Socket) => void>> = {
  'framed and whole': socket => socket.write(FRAMED),
  'framed and cut': socket => socket.end(FRAMED.slice(0, -2)),
  'ended by the connection': socket => socket.end(`${HEAD}\r\nbody`),
  'reset right after its bytes': socket => {
    socket.write(`${HEAD}\r\nbo`, () => socket.resetAndDestroy());
  },
  'reset later': socket => {
    socket.write(`${HEAD}\r\nbo`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
  'an answer to another call': socket =>
    socket.write(FRAMED.replace('Id: a', 'Id: b')),
  'no protocol at all': socket => socket.write('\u0000garbage\r\n\r\n'),
  'closed without a byte': socket => socket.end(),
};

test('each way to answer is told from the others', async () => {
  const seen: Record<string, string> = {};
  for (const [name, answer] of Object.entries(ANSWERS)) {
    await listen(answer);
    seen[name] = await callServer();
    server.close();
  }
  expect(seen).toMatchInlineSnapshot(`
    {
      "an answer to another call": "broken, sent true, answered false",
      "closed without a byte": "broken, sent true, answered false",
      "ended by the connection": "whole: body",
      "framed and cut": "broken, sent true, answered true",
      "framed and whole": "whole: body",
      "no protocol at all": "broken, sent true, answered false",
      "reset later": "broken, sent true, answered true",
      "reset right after its bytes": "broken, sent true, answered true",
    }
  `);
});

test('a connection with bytes after its answer is not used again', async () => {
  await listen(socket => socket.write(`${FRAMED}${FRAMED}`));
  await callServer();
  await callServer();
  expect(connections).toBe(2);
});

test('a connection is used again after a whole answer', async () => {
  await listen(socket => socket.write(FRAMED));
  await callServer();
  await callServer();
  expect(connections).toBe(1);
});

test('a kept connection that the peer closes is not used again', async () => {
  await listen(socket => {
    socket.write(FRAMED);
    setTimeout(() => socket.end(), 10);
  });
  await callServer();
  await new Promise(resolve => setTimeout(resolve, 60));
  expect(await callServer()).toBe('whole: body');
  expect(connections).toBe(2);
});

test('a call that may be repeated outlives a stale connection', async () => {
  await listen(socket => {
    if (connections === 2) return socket.write(FRAMED);
    if (socket.bytesRead > 100) return socket.destroy();
    return socket.write(FRAMED);
  });
  const {port} = server.address() as AddressInfo;
  const call = (mayRepeat: boolean) =>
    caller.call({
      address: {host: '127.0.0.1', port},
      method: 'GET',
      path: '/',
      timeoutMs: 1_000,
      mayRetry: mayRepeat,
    });
  await call(false);
  const once = await call(false);
  connections = 0;
  await call(false);
  const repeated = await call(true);
  expect([once.isOk(), repeated.isOk()]).toEqual([false, true]);
});

test('silence ends with the time of the call, and nobody with a refusal', async () => {
  await listen(() => undefined);
  const silent = await callServer(50);
  server.close();
  const {port} = (server.address() as AddressInfo) ?? {port: 1};
  const reply = await caller.call({
    address: {host: '127.0.0.1', port: port > 1 ? port : 1},
    method: 'GET',
    path: '/',
    timeoutMs: 500,
  });
  expect({
    silent,
    nobody: reply.isErr() && [reply.error.reason, reply.error.isSent],
  }).toMatchInlineSnapshot(`
    {
      "nobody": [
        "refused",
        false,
      ],
      "silent": "timeout, sent true, answered false",
    }
  `);
});
