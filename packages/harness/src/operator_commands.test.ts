/** The operators' commands against a running system. */
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
  - {id: one-ms, kind: latency, customer: kyklos, service: briefing-lm, percentile: 98, withinMs: 1}  # test only
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

/** Waits until every node has the newest accepted revision. */
function waitUntilInForce(): Promise<void> {
  return waitUntil('the newest revision everywhere', async () => {
    const {stdout} = await runCommand('rules', 'show', '--brief', ...sources);
    return stdout.includes('in force') && !stdout.includes('behind');
  });
}

/** Replaces times, UUIDs and durations, which differ from run to run. */
function replaceTimes(text: string): string {
  return text
    .replace(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, 'TIME')
    .replace(/\d\d:\d\d:\d\d\.\d{3}/g, 'TIME')
    .replace(/[0-9a-f]{8}-[0-9a-f-]{27}/g, 'UUID')
    .replace(/durationMs \d+/g, 'durationMs N');
}

test('rules show prints the rules file and the revisions in force', async () => {
  const result = await runCommand('rules', 'show', ...sources);
  expect({...result, stdout: replaceTimes(result.stdout)}).toMatchSnapshot();
});

test('rules history lists revisions, newest first', async () => {
  const revision = await system.applyRules(`${PLAN.rules}# reviewed\n`);
  expect(revision).toBe(2);
  await waitUntilInForce();
  const result = await runCommand('rules', 'history', ...sources);
  expect({...result, stdout: replaceTimes(result.stdout)}).toMatchSnapshot();
});

test('explain finds a request by the request id that its caller set', async () => {
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
  const result = await runCommand('explain', 'shift-17', ...sources);
  expect({...result, stdout: replaceTimes(result.stdout)}).toMatchSnapshot();
  const missing = await runCommand('explain', 'nothing', ...sources);
  expect(missing).toMatchSnapshot();
});

test('report burn shows kept and broken promises', async () => {
  const {callersUrl} = system.getEntry('entry-a');
  const body = {model: 'briefing-lm', prompt: 'Brief', max_tokens: 40};
  await callCompletion(callersUrl, 'kyklos', body);
  const result = await runCommand('report', 'burn', ...sources);
  expect(result.stderr).toBe('');
  expect(result.code).toBe(1);
  expect(result.stdout).toMatch(/^whole-hour +kept .*venue sales$/m);
  expect(result.stdout).toMatch(/^one-ms +broken +urgent .*test only$/m);
  expect(result.stdout).toMatch(/^kyklos briefing-lm +2 /m);
});

test('operators and callers are served on separate ports', async () => {
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

test('drain stops work to an endpoint, and status shows the reason', async () => {
  const drained = await runCommand('drain', 'app-1', '--wait', ...sources);
  expect(drained).toMatchSnapshot();
  const {callersUrl} = system.getEntry('entry-a');
  const path = '/services/booking-app/shifts';
  const refused = await callEntry(callersUrl, 'kyklos', path);
  expect(refused.outcome).toBe('not-run');
  await waitUntil('status shows the endpoint as leaving', async () => {
    const {stdout} = await runCommand('status', ...sources);
    return /app-1 .*leaving/.test(stdout);
  });
  const result = await runCommand('status', ...sources);
  expect(result).toMatchSnapshot();
  const entry = await runCommand('drain', 'entry-a', ...sources);
  expect(entry).toMatchSnapshot();
});

test('a platform outage is reported while serving continues', async () => {
  await system.setFaults(system.platform, {down: true});
  await waitUntil('the entry reports the outage', async () => {
    const {stdout} = await runCommand('status', ...sources);
    return /rules\/head, seen by entry-a/.test(stdout);
  });
  const {stdout} = await runCommand('status', ...sources);
  expect(stdout).toMatch(/object API, seen by this command/);
  expect(stdout).toMatch(/VM list, seen by this command/);
  const result = await runCommand('rules', 'show', ...sources);
  expect(result.code).toBe(1);
  expect(result.stdout).toMatch(
    /in force in attica-a: revision 2 in 2 of 2 nodes/,
  );
  const {callersUrl} = system.getEntry('entry-a');
  const body = {model: 'briefing-lm', prompt: 'Brief', max_tokens: 4};
  const answer = await callCompletion(callersUrl, 'kyklos', body);
  expect(answer.status).toBe(200);
});
