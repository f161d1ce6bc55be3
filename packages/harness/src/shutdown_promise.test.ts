/**
 * Graceful shutdown while tokens are streamed: to callers that read slowly,
 * with connections that go silent, and with every node replaced in turn.
 */
import {IncomingMessage, request} from 'node:http';
import {formatDemoRules} from './demo_plan';
import {StartedNode, SystemPlan, TestSystem, createApiKey} from './system';

const DOMAINS = ['attica-a', 'attica-b'];
const ENDPOINTS = DOMAINS.map((failureDomain, index) => ({
  name: `lm-${index + 1}`,
  service: 'briefing-lm',
  kind: 'engine' as const,
  failureDomain,
  options: {tokenIntervalMs: 30},
}));
const PLAN: SystemPlan = {
  entries: DOMAINS.map(failureDomain => ({
    name: failureDomain.replace('attica', 'entry'),
    failureDomain,
  })),
  endpoints: ENDPOINTS,
  rules: formatDemoRules(300),
  hasRelays: true,
};
const TOKENS = 100;
/** A prompt to which the stand-in engine gives a long answer. */
const LONG_PROMPT = 'Brief gala 37';
const STREAM_MS = 500;
const READ_PAUSE_MS = 3_000;
const LAST_EVENT = 'data: [DONE]';

let system: TestSystem;

beforeEach(async () => {
  system = await TestSystem.create(PLAN);
});

afterEach(async () => {
  await system.close();
});

function waitFor(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Streams a completion; resolves with the text received until its end. */
function streamCompletion(
  entry: StartedNode,
  readBody: (reply: IncomingMessage) => Promise<string>,
): Promise<string> {
  const body = {model: 'briefing-lm', prompt: LONG_PROMPT, max_tokens: TOKENS};
  return new Promise(resolve => {
    const call = request(`${entry.callersUrl}/v1/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${createApiKey('kyklos')}`,
        'content-type': 'application/json',
      },
    });
    call.on('response', reply => void readBody(reply).then(resolve));
    call.on('error', error => resolve(String(error)));
    call.end(JSON.stringify({...body, stream: true}));
  });
}

async function readAll(reply: IncomingMessage): Promise<string> {
  let text = '';
  try {
    for await (const chunk of reply) text += String(chunk);
  } catch (error) {
    text += String(error);
  }
  return text;
}

async function readSlowly(reply: IncomingMessage): Promise<string> {
  await waitFor(READ_PAUSE_MS);
  return readAll(reply);
}

/** The oracle: whether a stream has reached its last event. */
function isComplete(text: string): boolean {
  return text.trimEnd().endsWith(LAST_EVENT);
}

function startStreams(entries: Iterable<StartedNode>): Promise<string>[] {
  return [...entries].flatMap(entry => [
    streamCompletion(entry, readAll),
    streamCompletion(entry, readSlowly),
  ]);
}

async function countAborted(streams: Promise<string>[]): Promise<number> {
  const texts = await Promise.all(streams);
  return texts.filter(text => !isComplete(text)).length;
}

test('an entry stops while callers read slowly', async () => {
  const entry = system.getEntry('entry-a');
  const streams = startStreams([entry]);
  await waitFor(STREAM_MS);
  expect(await entry.process.stop()).toBe(0);
  expect(await countAborted(streams)).toBe(0);
});

test('an agent stops after its connections have gone silent', async () => {
  const streams = startStreams(system.entries.values());
  await waitFor(STREAM_MS);
  const agent = system.getAgent('agent-lm-1');
  system.peerRelays.get(agent.name)?.silenceConnections();
  expect(await agent.process.stop()).toBe(0);
  expect(await countAborted(streams)).toBe(0);
});

test('every node is replaced in turn', async () => {
  const streams: Promise<string>[] = [];
  for (const plan of ENDPOINTS) {
    streams.push(...startStreams(system.entries.values()));
    await waitFor(STREAM_MS);
    await system.getAgent(`agent-${plan.name}`).process.stop();
    await system.startAgent(plan);
    await system.waitUntilReady();
  }
  for (const plan of PLAN.entries) {
    streams.push(...startStreams(system.entries.values()));
    await waitFor(STREAM_MS);
    await system.getEntry(plan.name).process.stop();
    await system.startEntry(plan);
    await system.waitUntilReady();
  }
  expect(await countAborted(streams)).toBe(0);
});

test('control: an entry that is killed', async () => {
  const streams = startStreams(system.entries.values());
  await waitFor(STREAM_MS);
  await system.getEntry('entry-a').process.kill();
  expect(await countAborted(streams)).toBeGreaterThan(0);
});
