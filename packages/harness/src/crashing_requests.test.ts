/**
 * A request that crashes every engine that runs it, in separate processes: it
 * is quarantined after two crashes in the complete system, and requests that
 * ran at the same time are answered.
 */
import {CallerAnswer, callCompletion} from './clients';
import {formatDemoRules} from './demo_plan';
import {waitUntil} from './node_status';
import {EndpointPlan, TestSystem} from './system';

const DOMAINS = ['attica-a', 'attica-b', 'attica-c'];
const ENDPOINTS: EndpointPlan[] = DOMAINS.map((failureDomain, index) => ({
  name: `lm-${index + 1}`,
  kind: 'engine',
  service: 'briefing-lm',
  failureDomain,
  options: {tokenIntervalMs: 10},
}));
/** Number of requests that run beside the crashing one. */
const NEIGHBOURS = 9;

let system: TestSystem;
let urls: string[];

beforeAll(async () => {
  system = await TestSystem.create({
    entries: [
      {name: 'entry-a', failureDomain: 'attica-a'},
      {name: 'entry-b', failureDomain: 'attica-b'},
    ],
    endpoints: ENDPOINTS,
    rules: formatDemoRules(300),
  });
  urls = [...system.entries.values()].map(entry => entry.callersUrl);
});

afterAll(async () => {
  await system.close();
});

function callPrompt(
  url: string,
  prompt: string,
  variant = 0,
): Promise<CallerAnswer> {
  const body = {model: 'briefing-lm', prompt, max_tokens: 100, variant};
  return callCompletion(url, 'kyklos', body);
}

async function countCrashes(): Promise<number> {
  let total = 0;
  for (const plan of ENDPOINTS) {
    const url = `${system.getEndpoint(plan.name).url}/admin/truth`;
    await waitUntil(
      `${plan.name} has restarted`,
      async () => (await fetch(url)).ok,
    );
    const truth = (await (await fetch(url)).json()) as {crashes: number};
    total += truth.crashes;
  }
  return total;
}

test('a crashing request is quarantined after two crashes', async () => {
  const neighbours = Array.from({length: NEIGHBOURS}, (_unused, index) =>
    callPrompt(urls[index % urls.length], `neighbour ${index}`),
  );
  const first = await callPrompt(urls[0], 'gala [[crash]]');
  const resent: CallerAnswer[] = [];
  for (const url of [...urls, ...urls]) {
    resent.push(await callPrompt(url, 'gala [[crash]]'));
  }
  const answers = await Promise.all(neighbours);
  expect({
    first: [first.status, first.kind, first.outcome],
    resent: resent.map(answer => [answer.status, answer.kind]),
    neighbours: answers.map(answer => answer.status),
    crashes: await countCrashes(),
  }).toMatchSnapshot();
});

test('control: a caller whose resends differ causes more crashes', async () => {
  const before = await countCrashes();
  for (let variant = 1; variant <= 2; variant++) {
    await callPrompt(urls[0], 'gala [[crash]]', variant);
    await system.waitUntilReady();
  }
  expect((await countCrashes()) - before).toBeGreaterThan(2);
});
