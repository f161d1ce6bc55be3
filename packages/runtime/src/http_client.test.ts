/** Calls against raw TCP servers that respond correctly or incorrectly. */
import {AddressInfo, Server, Socket, createServer} from 'node:net';
import {HttpClient} from './http_client';

const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: a\r\n';
const FRAMED = `${HEAD}Content-Length: 4\r\n\r\nbody`;

let server: Server;
let connections = 0;
let client: HttpClient;

function listen(respond: (socket: Socket) => void): Promise<void> {
  connections = 0;
  server = createServer(socket => {
    connections += 1;
    socket.on('error', () => undefined);
    socket.on('data', () => respond(socket));
  });
  return new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
}

beforeEach(() => {
  client = HttpClient.create();
});

afterEach(() => {
  client.close();
  server.close();
});

async function callServer(timeoutMs = 2_000) {
  const {port} = server.address() as AddressInfo;
  const reply = await client.call({
    address: {host: '127.0.0.1', port},
    method: 'GET',
    path: '/',
    timeoutMs,
    isExpectedResponse: headers => headers['request-id'] === 'a',
  });
  if (reply.isOk()) return `complete: ${reply.value.body.toString()}`;
  const {reason, isSent, isAnswered} = reply.error;
  return `${reason}, sent ${isSent}, answered ${isAnswered}`;
}

/** Server behaviours by name; the snapshot holds each call's result. */
const BEHAVIOURS: Readonly<Record<string, (socket: Socket) => void>> = {
  'complete with a content length': socket => socket.write(FRAMED),
  'cut off before its content length': socket =>
    socket.end(FRAMED.slice(0, -2)),
  'ended by closing the connection': socket => socket.end(`${HEAD}\r\nbody`),
  'reset right after its data': socket => {
    socket.write(`${HEAD}\r\nbo`, () => socket.resetAndDestroy());
  },
  'reset later': socket => {
    socket.write(`${HEAD}\r\nbo`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
  'a response to another call': socket =>
    socket.write(FRAMED.replace('Id: a', 'Id: b')),
  'not HTTP': socket => socket.write('\u0000garbage\r\n\r\n'),
  'closed without a response': socket => socket.end(),
};

test('complete responses are distinguished from failures', async () => {
  const results: Record<string, string> = {};
  for (const [name, respond] of Object.entries(BEHAVIOURS)) {
    await listen(respond);
    results[name] = await callServer();
    server.close();
  }
  expect(results).toMatchInlineSnapshot(`
    {
      "a response to another call": "broken, sent true, answered false",
      "closed without a response": "broken, sent true, answered false",
      "complete with a content length": "complete: body",
      "cut off before its content length": "broken, sent true, answered true",
      "ended by closing the connection": "complete: body",
      "not HTTP": "broken, sent true, answered false",
      "reset later": "broken, sent true, answered true",
      "reset right after its data": "broken, sent true, answered true",
    }
  `);
});

test('a connection with data after its response is not reused', async () => {
  await listen(socket => socket.write(`${FRAMED}${FRAMED}`));
  await callServer();
  await callServer();
  expect(connections).toBe(2);
});

test('a connection is reused after a complete response', async () => {
  await listen(socket => socket.write(FRAMED));
  await callServer();
  await callServer();
  expect(connections).toBe(1);
});

test('an idle connection that the peer closes is not reused', async () => {
  await listen(socket => {
    socket.write(FRAMED);
    setTimeout(() => socket.end(), 10);
  });
  await callServer();
  await new Promise(resolve => setTimeout(resolve, 60));
  expect(await callServer()).toBe('complete: body');
  expect(connections).toBe(2);
});

test('a retriable call succeeds despite a stale connection', async () => {
  await listen(socket => {
    if (connections === 2) return socket.write(FRAMED);
    if (socket.bytesRead > 100) return socket.destroy();
    return socket.write(FRAMED);
  });
  const {port} = server.address() as AddressInfo;
  const call = (mayRepeat: boolean) =>
    client.call({
      address: {host: '127.0.0.1', port},
      method: 'GET',
      path: '/',
      timeoutMs: 1_000,
      mayRetry: mayRepeat,
    });
  await call(false);
  const notRetried = await call(false);
  connections = 0;
  await call(false);
  const retried = await call(true);
  expect([notRetried.isOk(), retried.isOk()]).toEqual([false, true]);
});

/** Calls a server that breaks a kept connection after a delay and is gone. */
async function callEndingServer(delayMs: number) {
  await listen(socket => {
    if (connections === 1 && socket.bytesRead < 100) {
      return socket.write(FRAMED);
    }
    server.close();
    return setTimeout(() => socket.destroy(), delayMs);
  });
  const {port} = server.address() as AddressInfo;
  const call = () =>
    client.call({
      address: {host: '127.0.0.1', port},
      method: 'GET',
      path: '/',
      timeoutMs: 1_000,
      mayRetry: true,
      retryWindowMs: 50,
    });
  await call();
  const reply = await call();
  if (reply.isOk()) throw new Error('the call succeeded');
  const {reason, isSent, isPortClosed} = reply.error;
  return {reason, isSent, isPortClosed};
}

test('a call that ran counts as not sent, since its retry was refused', async () => {
  expect(await callEndingServer(0)).toEqual({
    reason: 'broken',
    isSent: true,
    isPortClosed: true,
  });
});

test('a call is sent again long after it began, with its first time limit', async () => {
  expect(await callEndingServer(100)).toEqual({
    reason: 'broken',
    isSent: true,
    isPortClosed: false,
  });
});

test('a silent server is a timeout, a closed port is a refusal', async () => {
  await listen(() => undefined);
  const silent = await callServer(50);
  server.close();
  const {port} = (server.address() as AddressInfo) ?? {port: 1};
  const reply = await client.call({
    address: {host: '127.0.0.1', port: port > 1 ? port : 1},
    method: 'GET',
    path: '/',
    timeoutMs: 500,
  });
  expect({
    silent,
    closed: reply.isErr() && [reply.error.reason, reply.error.isSent],
  }).toMatchInlineSnapshot(`
    {
      "closed": [
        "refused",
        false,
      ],
      "silent": "timeout, sent true, answered false",
    }
  `);
});

test('a late second response is not the answer to the next call', async () => {
  let requestCount = 0;
  await listen(socket => {
    requestCount += 1;
    const isFirst = requestCount === 1;
    const answer = isFirst ? FRAMED : FRAMED.replace('Id: a', 'Id: b');
    if (isFirst) socket.write(answer);
    // The second request gets a copy of the first answer before its own.
    else socket.write(`${FRAMED}${answer}`);
  });
  const {port} = server.address() as AddressInfo;
  const call = async (id: string) => {
    const reply = await client.call({
      address: {host: '127.0.0.1', port},
      method: 'GET',
      path: '/',
      timeoutMs: 2_000,
      isExpectedResponse: headers => headers['request-id'] === id,
    });
    return reply.isOk()
      ? reply.value.headers['request-id']
      : reply.error.reason;
  };
  expect([await call('a'), await call('b')]).toEqual(['a', 'broken']);
});

// Guards against runs that end at once since their time is over 24 days.
test('a call with a very long time limit times out at once', async () => {
  await listen(socket => setTimeout(() => socket.write(FRAMED), 50));
  for (const timeoutMs of [2 ** 31, Infinity]) {
    expect(await callServer(timeoutMs)).toBe('complete: body');
  }
});
