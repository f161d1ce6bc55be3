/**
 * Guards against processes that run out of memory: servers of other systems send
 * bytes that are no answer, without end, until the caller closes the connection.
 */
import {AddressInfo, Server, Socket, createServer} from 'node:net';
import type {RunSink, Work} from '@sassafrasspan/core';
import {EngineClient} from '@sassafrasspan/engines';
import {fetchPages} from '@sassafrasspan/operators';
import {ObjectClient, VmListClient} from '@sassafrasspan/platform';
import {ScoringClient} from '@sassafrasspan/scoring';
import {ServiceClient} from '@sassafrasspan/services';
import {WeightStoreClient} from '@sassafrasspan/weights';
import {z} from 'zod';

/** Most that a caller may take before it closes the connection, in bytes: under a
 * quarter of a VM of 200 MB. */
const MOST_BYTES = 50_331_648;
/** Time budget of runs, in ms: long enough to take far more. */
const BUDGET_MS = 5_000;
const CHUNK = 'x'.repeat(65_536);
const HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

/** Beginning and repeated part of each answer. */
const ANSWERS: Readonly<Record<string, readonly [string, string]>> = {
  'a body without length': [`${HEAD}\r\n`, CHUNK],
  'a body in chunks': [CHUNKED, `10000\r\n${CHUNK}\r\n`],
  'a failure in chunks': [
    CHUNKED.replace('200 OK', '500 X'),
    `10000\r\n${CHUNK}\r\n`,
  ],
  'a body of a great length': [
    `${HEAD}Content-Length: 100000000000\r\n\r\n`,
    CHUNK,
  ],
  'a head with more and more headers': [HEAD, 'X-A: b\r\n'.repeat(1_000)],
  'a header without end': [`${HEAD}X-A: `, CHUNK],
  'a status line without end': ['HTTP/1.1 200 ', CHUNK],
  'heads that announce an answer': [
    '',
    'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(1_000),
  ],
  'a chunk extension without end': [`${CHUNKED}1;a=`, CHUNK],
  'trailers without end': [`${CHUNKED}0\r\n`, 'X-A: b\r\n'.repeat(1_000)],
};

/** Makes a call and returns whether it failed. */
type Call = (url: string) => Promise<boolean>;

const CALLS: Readonly<Record<string, Call>> = {
  'a load of an engine': async url =>
    (await EngineClient.create(url).readLoad()).isErr(),
  'an order to an engine': async url => {
    const order = {kind: 'stage', version: 1, source: '', fencing: 1} as const;
    return (await EngineClient.create(url).sendOrder(order)).isErr();
  },
  'a run at an engine': url =>
    run(EngineClient.create(url), {type: 'completion', bodyJson: '{}'}),
  'a load of a service': async url =>
    (await ServiceClient.create(url).readLoad()).isErr(),
  'a call of a service': url =>
    run(ServiceClient.create(url), {
      ...{type: 'http', method: 'GET', path: '/', headers: []},
      body: new Uint8Array(),
    }),
  'a score': async url => {
    const sample = {prompt: '', text: ''};
    return (await ScoringClient.create(url).scoreSample(sample)).isErr();
  },
  'an object': async url => {
    const client = ObjectClient.create(url);
    const isFailed = (await client.readObject('k')).isErr();
    await client.close();
    return isFailed;
  },
  'the list of VMs': async url =>
    (await VmListClient.create(url).listVms()).isErr(),
  'a page of a node': async url => {
    const [fetched] = await fetchPages([url], '/status', z.unknown());
    return fetched.page.isErr();
  },
  'weights that are refused': async url => {
    const opened = await WeightStoreClient.create(url).openWeights('k');
    return opened.isErr();
  },
};

/** Answers whose success is a stream that its reader bounds. */
const STREAMED: ReadonlySet<string> = new Set([
  'a body without length',
  'a body in chunks',
  'a body of a great length',
  'a chunk extension without end',
  'trailers without end',
]);

const CASES = Object.keys(CALLS)
  .flatMap(call => Object.keys(ANSWERS).map(answer => [call, answer] as const))
  .filter(
    ([call, answer]) =>
      call !== 'weights that are refused' || !STREAMED.has(answer),
  );

let server: Server;
let sentBytes = 0;
const sockets = new Set<Socket>();

function run(
  client: EngineClient | ServiceClient,
  work: Work,
): Promise<boolean> {
  return new Promise(resolve => {
    const sink: RunSink = {
      setHead: () => undefined,
      appendData: () => undefined,
      finish: () => resolve(false),
      fail: () => resolve(true),
    };
    const base = {requestId: 'r', priority: 0, budgetMs: BUDGET_MS};
    client.startRun({...base, work}, sink);
  });
}

/** Sends a beginning and then a part over and over. */
async function listen(beginning: string, part: string): Promise<string> {
  sentBytes = 0;
  server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.once('data', () => {
      socket.write(beginning);
      sendForever(socket, part);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Stops once the bound is passed, so that a failing test ends. */
function sendForever(socket: Socket, part: string): void {
  if (socket.destroyed || sentBytes > 2 * MOST_BYTES) return;
  sentBytes += part.length;
  socket.write(part, () => setImmediate(() => sendForever(socket, part)));
}

async function waitForClose(): Promise<void> {
  while (sockets.size > 0 && sentBytes <= MOST_BYTES) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  server.close();
});

test.each(CASES)(
  '%s: the caller does not take %s without a bound',
  async (call, answer) => {
    const [beginning, part] = ANSWERS[answer];
    const url = await listen(beginning, part);
    const isFailed = await CALLS[call](url);
    await waitForClose();
    expect({isFailed, isWithinBound: sentBytes <= MOST_BYTES}).toEqual({
      isFailed: true,
      isWithinBound: true,
    });
  },
  20_000,
);
