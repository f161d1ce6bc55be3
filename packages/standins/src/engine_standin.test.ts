/** Tests resumption, migration and cache events of the stand-in engine. */
import {EngineStandin} from './engine_standin';

const TEST_TIMEOUT_MS = 20_000;
const PROMPT = {prompt: 'Draft a briefing', max_tokens: 400, seed: 3};

jest.setTimeout(TEST_TIMEOUT_MS);

const startedEngines: EngineStandin[] = [];

afterEach(() => {
  for (const engine of startedEngines.splice(0)) engine.stop();
});

/** Starts an engine; returns its URL. */
async function startEngine(options: object = {}): Promise<string> {
  const engine = EngineStandin.create({tokenIntervalMs: 2, ...options});
  startedEngines.push(engine);
  const {host, port} = await engine.start({host: '127.0.0.1', port: 0});
  return `http://${host}:${port}`;
}

function sendCall(url: string, body: object, signal?: AbortSignal) {
  return fetch(url, {
    method: 'POST',
    headers: {'x-request-id': 'run-1'},
    body: JSON.stringify(body),
    signal,
  });
}

/** Returns the concatenated text of all events of a stream. */
function joinText(stream: string): string {
  return stream
    .split('\n\n')
    .filter(event => event.startsWith('data: {'))
    .map(event => JSON.parse(event.slice('data: '.length)).choices[0].text)
    .join('');
}

/** Reads the first events of a stream, then aborts it; returns their text. */
async function readPartially(url: string): Promise<string> {
  const controller = new AbortController();
  const reply = await sendCall(
    `${url}/v1/completions`,
    PROMPT,
    controller.signal,
  );
  let text = '';
  const reader = reply.body?.getReader();
  while (text.split('\n\n').length < 6) {
    const chunk = await reader?.read();
    text += Buffer.from(chunk?.value ?? []).toString();
  }
  controller.abort();
  return joinText(text);
}

async function readCompletely(url: string): Promise<string> {
  const reply = await sendCall(`${url}/v1/completions`, PROMPT);
  return joinText(await reply.text());
}

test('a broken stream can be resumed from the position of its caller', async () => {
  const url = await startEngine();
  const complete = await readCompletely(url);
  await sendCall(`${url}/admin/faults`, {keepBroken: true});
  const beginning = await readPartially(url);
  const from = beginning.trim().split(' ').length;
  let rest = await sendCall(`${url}/v1/resume`, {requestId: 'run-1', from});
  while (rest.status === 404) {
    rest = await sendCall(`${url}/v1/resume`, {requestId: 'run-1', from});
  }
  expect(beginning + joinText(await rest.text())).toBe(complete);
});

test('a generation can be migrated to another engine with its state', async () => {
  const [from, to] = [await startEngine(), await startEngine()];
  const complete = await readCompletely(to);
  const first = await sendCall(`${from}/v1/completions`, PROMPT);
  const exported = await sendCall(`${from}/kv/export`, {requestId: 'run-1'});
  const snapshot = (await exported.json()) as {readonly next: number};
  const rest = await sendCall(`${to}/kv/import`, snapshot);
  const parts = [joinText(await first.text()), joinText(await rest.text())];
  expect(parts.join('')).toBe(complete);
  expect(parts[0].trim().split(' ').filter(Boolean)).toHaveLength(
    snapshot.next,
  );
});

test('cache events have gaps and are published late', async () => {
  const url = await startEngine({cachedPrompts: 1});
  await sendCall(`${url}/admin/faults`, {dropCacheEvery: 3});
  for (const prompt of ['a', 'b', 'c']) {
    const body = {prompt, max_tokens: 1};
    await (await sendCall(`${url}/v1/completions`, body)).text();
  }
  const readEvents = async () =>
    (await (await fetch(`${url}/cache-events?after=1`)).json()) as object;
  expect(await readEvents()).toMatchSnapshot();
  await sendCall(`${url}/admin/faults`, {cacheEventLagMs: 3_600_000});
  expect(await readEvents()).toEqual({events: []});
});
