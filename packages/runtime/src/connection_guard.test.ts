/**
 * Connections of an HTTP server with a guard, on loopback. Guards against idle
 * connections that keep ordinary callers out, against many requests sent at once,
 * and against a connection that stays out of reach after a refusal.
 */
import {Server} from 'node:http';
import {Socket, connect} from 'node:net';
import {SYSTEM_CLOCK, waitMs} from './clock';
import {DEFAULT_HTTP_LIMITS, HttpServer, Route, sendJson} from './http_server';
import type {EventLog} from './log';
import {Metrics} from './metrics';

/** Number of requests that were handled and held. */
let handled = 0;
const HOST = '127.0.0.1';
const MAX_CONNECTIONS = 4;
const ROUTES: Route[] = [
  {method: '*', path: '/', handler: ({response}) => sendJson(response, 200, 1)},
  {method: '*', path: '/held', handler: () => void (handled += 1)},
];
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

let server: HttpServer;
let port: number;
let metrics: Metrics;
let sockets: Socket[] = [];

beforeEach(async () => {
  metrics = Metrics.create();
  server = HttpServer.create(ROUTES, {
    ...DEFAULT_HTTP_LIMITS,
    guard: {
      port: 'test',
      maxConnections: MAX_CONNECTIONS,
      clock: SYSTEM_CLOCK,
      log: {writeEvent: () => undefined} as unknown as EventLog,
      metrics,
    },
  });
  port = (await server.listen({host: HOST, port: 0})).port;
});

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  sockets = [];
  server.destroy();
});

/** Opens a connection and sends a text; collects what is received. */
function open(text: string): {socket: Socket; read: () => string} {
  const socket = connect(port, HOST);
  sockets.push(socket);
  let received = '';
  socket.on('error', () => undefined);
  socket.on('data', data => (received += data.toString()));
  socket.write(text);
  return {socket, read: () => received};
}

async function waitUntil(test: () => boolean): Promise<void> {
  while (!test()) await waitMs(10);
}

test('idle connections give way to one with a request', async () => {
  const idle = Array.from({length: 3 * MAX_CONNECTIONS}, () => open(''));
  await waitUntil(
    () => idle.filter(({socket}) => socket.destroyed).length >= 8,
  );
  const ordinary = open(REQUEST);
  await waitUntil(() => ordinary.read().startsWith('HTTP/1.1 200'));
  const count = metrics.getCount('connections_closed_total', {
    ...{port: 'test', reason: 'unstarted'},
  });
  expect(count).toBe(2 * MAX_CONNECTIONS + 1);
});

test('a connection whose request runs is kept, and new ones are closed', async () => {
  const held = Array.from({length: MAX_CONNECTIONS}, () =>
    open(REQUEST.replace('/ ', '/held ')),
  );
  await waitMs(100);
  const next = open(REQUEST);
  await waitUntil(() => next.socket.destroyed);
  expect(held.filter(({socket}) => socket.destroyed)).toEqual([]);
});

test('a connection with many requests at once is closed', async () => {
  const many = open(REQUEST.replace('/ ', '/held ').repeat(200));
  await waitUntil(() => many.socket.destroyed);
  const labels = {port: 'test', reason: 'pipelined'};
  expect(metrics.getCount('connections_closed_total', labels)).toBe(1);
});

// Guards against processes that run out of memory: what a connection had sent before
// it was closed was handled all the same.
test('requests of a connection that was closed are neither parsed nor handled', async () => {
  handled = 0;
  const emit = jest.spyOn(Server.prototype, 'emit');
  const many = open(REQUEST.replace('/ ', '/held ').repeat(2_000));
  await waitUntil(() => many.socket.destroyed);
  await waitMs(100);
  const names = emit.mock.calls.map(([name]) => String(name));
  const parsed = names.filter(name => name === 'request').length;
  emit.mockRestore();
  expect({handled, parsed}).toEqual({handled: 16, parsed: 17});
});

test('a connection that was answered before its body ended gives way', async () => {
  const early = Array.from({length: MAX_CONNECTIONS}, () =>
    open('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nx'),
  );
  await waitUntil(() => early.every(({read}) => read() !== ''));
  for (const {socket} of early) socket.write('xxxx');
  await waitMs(100);
  const ordinary = open(REQUEST);
  await waitUntil(() => ordinary.read().startsWith('HTTP/1.1 200'));
});
