/**
 * Calls, a rollout step, a change of the rules and the load generator, end to
 * end through two entries, agents and stand-ins in separate processes.
 */
import {TestTrainer, callCompletion, callEntry} from './clients';
import {DEMO_PLAN, formatDemoRules} from './demo_plan';
import {fetchStatus, waitUntil} from './node_status';
import {runCommand} from './run_command';
import {TestSystem, createApiKey} from './system';

const STEP = {
  prompts: [
    {prompt: 'Draft the briefing for gala 1', maxTokens: 60},
    {prompt: 'Draft the briefing for gala 2', maxTokens: 60},
  ],
  groupSize: 4,
  scoring: 'score',
  stalenessBound: 1,
  temperature: 1,
};

let system: TestSystem;
let urls: string[];

beforeAll(async () => {
  system = await TestSystem.create(DEMO_PLAN);
  urls = [...system.entries.values()].map(entry => entry.callersUrl);
});

afterAll(async () => {
  await system.close();
});

describe('serving callers', () => {
  const body = {model: 'briefing-lm', prompt: 'Brief the bar', max_tokens: 30};

  test('get a complete answer', async () => {
    const answer = await callCompletion(urls[0], 'kyklos', body);
    const {choices, usage} = JSON.parse(answer.text);
    expect({status: answer.status, choices, usage}).toMatchSnapshot();
  });

  test('get the same completion as a stream', async () => {
    const streamed = {...body, stream: true};
    const answer = await callCompletion(urls[1], 'kyklos', streamed);
    const events = answer.text.trim().split('\n\n');
    const text = events
      .slice(0, -1)
      .map(event => JSON.parse(event.slice('data: '.length)).choices[0].text)
      .join('');
    expect({text, last: events.at(-1)}).toMatchSnapshot();
  });

  test('reach a plain service with any method and status', async () => {
    const path = '/services/booking-app/shifts/17?status=418';
    const answer = await callEntry(urls[0], 'kyklos', path, {
      method: 'PATCH',
      body: 'swap',
    });
    const {method, path: called, body: echoed} = JSON.parse(answer.text);
    expect({status: answer.status, method, called, echoed}).toMatchSnapshot();
  });

  test('are refused without a valid key', async () => {
    const answer = await callEntry(urls[0], 'nobody', '/services/booking-app/');
    const {status, kind, outcome} = answer;
    expect({status, kind, outcome}).toMatchSnapshot();
  });
});

test('a trainer gets a complete step after it publishes a version', async () => {
  const trainer = TestTrainer.create('kyklos', 'briefs');
  await trainer.publishVersion(urls[0], 1);
  await waitUntil('version 1 everywhere', async () => {
    const status = await fetchStatus(system.getEntry('entry-a'));
    const engines = status.agents
      .flatMap(agent => agent.report.endpoints)
      .filter(endpoint => endpoint.name.startsWith('lm-'));
    return engines.every(engine => engine.weightVersion === 1);
  });
  const put = await trainer.putStep(urls[0], 'step-1', STEP);
  const result = await trainer.pullStep(urls, 'step-1', STEP.stalenessBound);
  const slots = result.samples.map(sample => sample.slot).sort();
  const versions = new Set(
    result.samples.flatMap(sample => sample.segments.map(part => part.version)),
  );
  expect({
    put: put.status,
    slots,
    versions: [...versions],
    duplicated: result.duplicated,
    stale: result.stale,
  }).toMatchSnapshot();
});

test('a rules change comes into force in every process', async () => {
  const revision = await system.applyRules(formatDemoRules(200));
  for (const entry of system.entries.values()) {
    await waitUntil(`revision ${revision} at ${entry.name}`, async () => {
      return (await fetchStatus(entry)).rulesRevision === revision;
    });
  }
  expect(revision).toBe(2);
});

test('the load command counts complete steps and answered calls', async () => {
  const result = await runCommand(
    'load',
    ...urls.flatMap(url => ['--entry', url]),
    ...['--key', createApiKey('kyklos'), '--trainer', 'briefs'],
    ...['--model', 'briefing-lm', '--call', 'booking-app/shifts'],
    ...['--seconds', '2', '--rate', '20', '--steps', '2', '--groups', '2'],
    ...['--version', '1', '--train-ms', '50', '--publish', '--seed', '7'],
  );
  expect(result.stderr).toBe('');
  expect(result.code).toBe(0);
  expect(result.stdout).toMatch(/^seed 7, 42 calls planned$/m);
  expect(result.stdout).toMatch(
    /^42 calls answered; refused or failed: none$/m,
  );
  expect(result.stdout).toMatch(/^briefs +2 complete, 0 timed out +16 +0 /m);
});
