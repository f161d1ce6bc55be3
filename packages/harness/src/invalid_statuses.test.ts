/**
 * Guards against answers with a status that is none (RFC 9110, section 15), as
 * servers in trouble send them: a caller must not get them as an answer.
 */
import {AddressInfo, Server, createServer} from 'node:net';
import type {HttpWork, RunSink} from '@sassafrasspan/core';
import {EngineClient} from '@sassafrasspan/engines';
import {ObjectClient} from '@sassafrasspan/platform';
import {BoundedAnswer, HttpClient} from '@sassafrasspan/runtime';
import {ScoringClient} from '@sassafrasspan/scoring';
import {ServiceClient} from '@sassafrasspan/services';

const TIMEOUT_MS = 2_000;
const INVALID = ['000', '001', '099', '100', '101', '199', '600', '999', 'abc'];
const VALID = ['200', '201', '404', '500', '599'];

let server: Server;

async function listen(status: string, body: string): Promise<number> {
  server = createServer(socket => {
    socket.on('error', () => undefined);
    const length = `Content-Length: ${body.length}`;
    const text = `HTTP/1.1 ${status} X\r\n${length}\r\n\r\n${body}`;
    socket.once('data', () => socket.end(text));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

/** Calls a service and returns the status that its caller gets, or `failed`. */
function callService(url: string): Promise<string> {
  return new Promise(resolve => {
    let status = 0;
    const sink: RunSink = {
      setHead: head => (status = head.status),
      appendData: () => undefined,
      finish: () => resolve(String(status)),
      fail: () => resolve(status === 0 ? 'failed' : `failed after ${status}`),
    };
    const work: HttpWork = {
      ...{type: 'http', method: 'GET', path: '/', headers: []},
      body: new Uint8Array(),
    };
    const run = {requestId: 'r', priority: 0, budgetMs: TIMEOUT_MS};
    ServiceClient.create(url).startRun({...run, work}, sink);
  });
}

async function callHttp(port: number): Promise<string> {
  const client = HttpClient.create();
  const reply = await client.call({
    address: {host: '127.0.0.1', port},
    ...{method: 'GET', path: '/', timeoutMs: TIMEOUT_MS},
  });
  client.close();
  return reply.isOk() ? String(reply.value.status) : 'failed';
}

async function openHttp(port: number): Promise<string> {
  const client = HttpClient.create();
  const call = {
    address: {host: '127.0.0.1', port},
    ...{method: 'GET', path: '/', timeoutMs: TIMEOUT_MS},
  };
  const listener = {onComplete: () => undefined, onFailure: () => undefined};
  const stream = await client.open(call, listener);
  client.close();
  return stream.isOk() ? String(stream.value.status) : 'failed';
}

afterEach(() => {
  server.close();
});

test.each(INVALID)('status %s is no answer', async status => {
  const port = await listen(status, '{"score": 1, "key": "k", "version": 1}');
  const url = `http://127.0.0.1:${port}`;
  const objects = ObjectClient.create(url);
  const sample = {prompt: '', text: ''};
  const order = {kind: 'stage', version: 1, source: '', fencing: 1} as const;
  expect({
    call: await callHttp(port),
    stream: await openHttp(port),
    service: await callService(url),
    score: (await ScoringClient.create(url).scoreSample(sample)).isOk(),
    object: (await objects.readObject('k')).isOk(),
    order: (await EngineClient.create(url).sendOrder(order)).isOk(),
  }).toEqual({
    ...{call: 'failed', stream: 'failed', service: 'failed'},
    ...{score: false, object: false, order: false},
  });
  await objects.close();
});

test.each(VALID)('status %s is an answer', async status => {
  const port = await listen(status, 'x');
  const url = `http://127.0.0.1:${port}`;
  expect([
    await callHttp(port),
    await openHttp(port),
    await callService(url),
  ]).toEqual([status, status, status]);
});

// Guards against a refusal of answers whose heads state the size of a body that they
// do not have.
test('the answer to HEAD may state any size', async () => {
  const port = await listen('200', '');
  server.removeAllListeners('connection');
  server.on('connection', socket => {
    socket.once('data', () =>
      socket.end('HTTP/1.1 200 X\r\nContent-Length: 100000000000\r\n\r\n'),
    );
  });
  const client = HttpClient.create();
  const reply = await client.call({
    address: {host: '127.0.0.1', port},
    ...{method: 'HEAD', path: '/', timeoutMs: TIMEOUT_MS},
  });
  client.close();
  expect(reply.isOk() && reply.value.status).toBe(200);
  const answer = await BoundedAnswer.request(`http://127.0.0.1:${port}`, {
    ...{method: 'HEAD', maxBytes: 1_000},
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  expect(await answer.readText()).toBe('');
});
