/** What operators read back of a running system, by the commands. */
import {callCompletion, callEntry} from './clients';
import {waitUntil} from './node_status';
import {runCommand} from './run_command';
import {SystemPlan, TestSystem, hashCustomerKey} from './system';

const PLAN: SystemPlan = {
  entries: [{name: 'entry-a', failureDomain: 'attica-a'}],
  endpoints: [
    {
      name: 'lm-1',
      service: 'briefing-lm',
      kind: 'engine',
      failureDomain: 'attica-a',
    },
    {
      name: 'app-1',
      service: 'booking-app',
      kind: 'plain',
      failureDomain: 'attica-b',
    },
  ],
  rules: `rules:
  - {id: key, kind: api-key, customer: kyklos, sha256: ${hashCustomerKey('kyklos')}}  # onboarding
  - {id: lm, kind: pool, service: briefing-lm, type: engine, endpoints: [lm-1]}  # platform team
  - {id: app, kind: pool, service: booking-app, type: plain, endpoints: [app-1]}  # platform team
  - {id: whole-hour, kind: latency, customer: kyklos, service: briefing-lm, percentile: 99, withinMs: 3600000}  # venue sales
  - {id: one-ms, kind: latency, customer: kyklos, service: briefing-lm, percentile: 98, withinMs: 1}  # nobody in earnest
`,
};

let system: TestSystem;
let sources: string[];

beforeAll(async () => {
  system = await TestSystem.create(PLAN);
  const nodes = [...system.entries.values(), ...system.agents.values()];
  sources = [
    ...['--objects', system.platform.url, '--vms', system.platform.url],
    ...nodes.flatMap(node => ['--node', node.operatorsUrl]),
  ];
  await waitUntilInForce();
});

afterAll(async () => {
  await system.close();
});

/** Waits until no node is behind the newest accepted revision. */
function waitUntilInForce(): Promise<void> {
  return waitUntil('the newest revision everywhere', async () => {
    const {stdout} = await runCommand('rules', 'show', '--brief', ...sources);
    return stdout.includes('in force') && !stdout.includes('behind');
  });
}

/** Replaces what differs from run to run. */
function replaceTimes(text: string): string {
  return text
    .replace(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, 'TIME')
    .replace(/\d\d:\d\d:\d\d\.\d{3}/g, 'TIME')
    .replace(/[0-9a-f]{8}-[0-9a-f-]{27}/g, 'UUID')
    .replace(/durationMs \d+/g, 'durationMs N');
}

test('rules show gives a rules file and what is in force where', async () => {
  const shown = await runCommand('rules', 'show', ...sources);
  expect({...shown, stdout: replaceTimes(shown.stdout)}).toMatchSnapshot();
});

test('rules history lists revisions, newest first', async () => {
  const revision = await system.applyRules(`${PLAN.rules}# reviewed\n`);
  expect(revision).toBe(2);
  await waitUntilInForce();
  const shown = await runCommand('rules', 'history', ...sources);
  expect({...shown, stdout: replaceTimes(shown.stdout)}).toMatchSnapshot();
});

test('explain finds a request by the id of its caller', async () => {
  const {callersUrl} = system.getEntry('entry-a');
  const answer = await callEntry(callersUrl, 'kyklos', '/v1/completions', {
    method: 'POST',
    headers: {'x-request-id': 'shift-17'},
    body: JSON.stringify({
      model: 'briefing-lm',
      prompt: 'Brief',
      max_tokens: 4,
    }),
  });
  expect(answer.status).toBe(200);
  const shown = await runCommand('explain', 'shift-17', ...sources);
  expect({...shown, stdout: replaceTimes(shown.stdout)}).toMatchSnapshot();
  const missing = await runCommand('explain', 'nothing', ...sources);
  expect(missing).toMatchSnapshot();
});

test('report burn tells kept promises from broken ones', async () => {
  const {callersUrl} = system.getEntry('entry-a');
  const body = {model: 'briefing-lm', prompt: 'Brief', max_tokens: 40};
  await callCompletion(callersUrl, 'kyklos', body);
  const shown = await runCommand('report', 'burn', ...sources);
  expect(shown.stderr).toBe('');
  expect(shown.code).toBe(1);
  expect(shown.stdout).toMatch(/^whole-hour +kept .*venue sales$/m);
  expect(shown.stdout).toMatch(/^one-ms +broken +urgent .*nobody in earnest$/m);
  expect(shown.stdout).toMatch(/^kyklos briefing-lm +2 /m);
});

test('pages for operators and for callers stay at their own ports', async () => {
  const {callersUrl, operatorsUrl} = system.getEntry('entry-a');
  const pages = ['/status', '/metrics', '/burn', '/explain/x', '/health'];
  for (const page of pages) {
    const answer = await callEntry(callersUrl, 'kyklos', page);
    expect(`${page} ${answer.status}`).toBe(`${page} 404`);
  }
  const body = {model: 'briefing-lm', prompt: 'Brief', max_tokens: 4};
  const answer = await callCompletion(operatorsUrl, 'kyklos', body);
  expect(answer.status).toBe(404);
  const metrics = await callEntry(operatorsUrl, 'kyklos', '/metrics');
  expect(metrics.text).toMatch(/^sassafrasspan_platform_parts_down 0$/m);
});

test('drain takes an endpoint out, and status says why', async () => {
  const drained = await runCommand('drain', 'app-1', '--wait', ...sources);
  expect(drained).toMatchSnapshot();
  const {callersUrl} = system.getEntry('entry-a');
  const path = '/services/booking-app/shifts';
  const refused = await callEntry(callersUrl, 'kyklos', path);
  expect(refused.outcome).toBe('not-run');
  await waitUntil('the entry has heard of it', async () => {
    const {stdout} = await runCommand('status', ...sources);
    return /app-1 .*leaving/.test(stdout);
  });
  const shown = await runCommand('status', ...sources);
  expect(shown).toMatchSnapshot();
  const entry = await runCommand('drain', 'entry-a', ...sources);
  expect(entry).toMatchSnapshot();
});

test('an outage of the platform is named, and serving goes on', async () => {
  await system.setFaults(system.platform, {down: true});
  await waitUntil('the nodes see the outage', async () => {
    const {stdout} = await runCommand('status', ...sources);
    return /rules\/head, seen by entry-a/.test(stdout);
  });
  const {stdout} = await runCommand('status', ...sources);
  expect(stdout).toMatch(/object API, seen by this command/);
  expect(stdout).toMatch(/VM list, seen by this command/);
  const shown = await runCommand('rules', 'show', ...sources);
  expect(shown.code).toBe(1);
  expect(shown.stdout).toMatch(
    /in force in attica-a: revision 2 in 2 of 2 nodes/,
  );
  const {callersUrl} = system.getEntry('entry-a');
  const body = {model: 'briefing-lm', prompt: 'Brief', max_tokens: 4};
  const answer = await callCompletion(callersUrl, 'kyklos', body);
  expect(answer.status).toBe(200);
});
