/** Guards against requests that are written after they may not be any more. */
import {Server, createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {HttpClient} from './http_client';

let server: Server;
let client: HttpClient;
let requests = 0;

beforeEach(async () => {
  requests = 0;
  client = HttpClient.create();
  server = createServer((_request, response) => {
    requests += 1;
    response.end();
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
});

afterEach(() => {
  client.close();
  server.close();
  server.closeAllConnections();
});

async function callServer(mayWrite: () => boolean): Promise<string> {
  const {port} = server.address() as AddressInfo;
  const reply = await client.call({
    address: {host: '127.0.0.1', port},
    method: 'POST',
    path: '/',
    body: 'body',
    timeoutMs: 2_000,
    mayWrite,
  });
  if (reply.isOk()) return `status ${reply.value.status}`;
  const {reason, isSent} = reply.error;
  return `${reason}, sent ${isSent}`;
}

test('a request is not written if that ends while the connection opens', async () => {
  let mayWrite = true;
  const call = callServer(() => mayWrite);
  // The connection is opened in a later turn of the event loop.
  await Promise.resolve();
  mayWrite = false;
  expect(await call).toBe('cancelled, sent false');
  await new Promise(resolve => setTimeout(resolve, 50));
  expect(requests).toBe(0);
});

test('a request is not written on a kept connection either', async () => {
  expect(await callServer(() => true)).toBe('status 200');
  await new Promise(resolve => setTimeout(resolve, 10));
  expect(await callServer(() => false)).toBe('cancelled, sent false');
  await new Promise(resolve => setTimeout(resolve, 50));
  expect(requests).toBe(1);
});
