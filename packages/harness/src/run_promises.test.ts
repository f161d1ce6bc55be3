/**
 * Runs between entries and agents in separate processes: agents are killed and
 * paused, connections go silent. The stand-ins' own counts are the ground
 * truth.
 */
import {callCompletion, callEntry} from './clients';
import {formatDemoRules} from './demo_plan';
import {dispatchNaively} from './naive_entry';
import {waitUntil} from './node_status';
import {EndpointPlan, TestSystem} from './system';

const ENGINE = {tokenIntervalMs: 25};
const ENDPOINTS: EndpointPlan[] = [
  createEndpointPlan('lm-1', 'attica-a', ENGINE),
  createEndpointPlan('lm-2', 'attica-b', ENGINE),
  createEndpointPlan('app-1', 'attica-a'),
  createEndpointPlan('app-2', 'attica-b'),
];
const AGENTS = ENDPOINTS.map(plan => `agent-${plan.name}`);
const SHIFTS_PATH = '/services/booking-app/shifts/';

let system: TestSystem;
let url: string;

function createEndpointPlan(
  name: string,
  failureDomain: string,
  options: Readonly<Record<string, unknown>> = {},
): EndpointPlan {
  const kind = name.startsWith('lm') ? 'engine' : 'plain';
  const service = kind === 'engine' ? 'briefing-lm' : 'booking-app';
  return {name, kind, service, failureDomain, options};
}

beforeAll(async () => {
  system = await TestSystem.create({
    entries: [{name: 'entry-a', failureDomain: 'attica-a'}],
    endpoints: ENDPOINTS,
    rules: formatDemoRules(300),
    hasRelays: true,
  });
  url = system.getEntry('entry-a').callersUrl;
});

afterAll(async () => {
  await system.close();
});

async function readExecutions(name: string): Promise<Record<string, number>> {
  const reply = await fetch(`${system.getEndpoint(name).url}/admin/truth`);
  return ((await reply.json()) as {executions: Record<string, number>})
    .executions;
}

async function countExecutions(path: string): Promise<number> {
  const [first, second] = await Promise.all(
    ['app-1', 'app-2'].map(readExecutions),
  );
  return (first[path] ?? 0) + (second[path] ?? 0);
}

async function setDelay(delayMs: number): Promise<void> {
  for (const name of ['app-1', 'app-2']) {
    await system.setFaults(system.getEndpoint(name), {delayMs});
  }
}

function silenceAgents(): void {
  for (const agent of AGENTS) {
    system.peerRelays.get(agent)?.silenceConnections();
  }
}

async function callPrompts(prompts: readonly string[]): Promise<string[]> {
  const answers = await Promise.all(
    prompts.map(prompt =>
      callCompletion(url, 'kyklos', {
        model: 'briefing-lm',
        prompt,
        max_tokens: 150,
      }),
    ),
  );
  return answers.map(answer =>
    answer.status === 200
      ? (JSON.parse(answer.text) as {choices: [{text: string}]}).choices[0].text
      : `${answer.status} ${answer.kind}`,
  );
}

const PROMPTS = Array.from({length: 8}, (_unused, index) => `gala ${index}`);

test('answers are complete when every connection goes silent', async () => {
  const expected = await callPrompts(PROMPTS);
  const disturbed = await startPrompts();
  silenceAgents();
  expect(await disturbed.answers).toEqual(expected);
});

test('answers are complete when an agent is killed', async () => {
  const expected = await callPrompts(PROMPTS);
  const disturbed = await startPrompts();
  await system.getAgent('agent-lm-1').process.kill();
  expect(await disturbed.answers).toEqual(expected);
  await system.startAgent(ENDPOINTS[0]);
  await system.waitUntilReady();
});

/** Calls every prompt and waits until the engines have started all of them. */
async function startPrompts(): Promise<{answers: Promise<string[]>}> {
  const before = await countGenerations();
  const answers = callPrompts(PROMPTS);
  await waitUntil('the engines run all prompts', async () => {
    return (await countGenerations()) >= before + PROMPTS.length;
  });
  return {answers};
}

async function countGenerations(): Promise<number> {
  const counts = ['lm-1', 'lm-2'].map(async name => {
    const reply = await fetch(`${system.getEndpoint(name).url}/admin/truth`);
    return ((await reply.json()) as {executions: unknown[]}).executions.length;
  });
  const [first, second] = await Promise.all(counts);
  return first + second;
}

test('a call is not run again over a silent connection', async () => {
  await setDelay(4_000);
  const path = '/shifts/silent';
  const call = callEntry(url, 'kyklos', `${SHIFTS_PATH}silent`, {
    method: 'POST',
  });
  await waitUntil('the call runs', async () => {
    return (await countExecutions(path)) === 1;
  });
  silenceAgents();
  const {status, outcome} = await call;
  await setDelay(0);
  const executions = await countExecutions(path);
  expect({status, outcome, executions}).toMatchSnapshot();
});

test('a paused agent that resumes does not run abandoned calls', async () => {
  const agents = ['agent-app-1', 'agent-app-2'].map(name =>
    system.getAgent(name),
  );
  for (const agent of agents) agent.process.sendSignal('SIGSTOP');
  const calls = Array.from({length: 4}, (_unused, index) =>
    callEntry(url, 'kyklos', `${SHIFTS_PATH}paused-${index}`, {
      method: 'POST',
      headers: {'x-timeout-ms': '1000'},
    }),
  );
  const answers = await Promise.all(calls);
  await new Promise(resolve => setTimeout(resolve, 5_000));
  for (const agent of agents) agent.process.sendSignal('SIGCONT');
  await waitUntil('the service answers', async () => {
    const path = `${SHIFTS_PATH}probe`;
    return (await callEntry(url, 'kyklos', path)).status === 200;
  });
  for (const [index, answer] of answers.entries()) {
    const executions = await countExecutions(`/shifts/paused-${index}`);
    expect(answer.outcome).toMatch(/^(not-run|unknown)$/);
    expect(executions).toBe(0);
  }
});

test('a call whose agent is killed has run once, outcome unknown', async () => {
  await setDelay(2_000);
  const path = '/shifts/killed';
  const call = callEntry(url, 'kyklos', `${SHIFTS_PATH}killed`, {
    method: 'POST',
  });
  await waitUntil('the call runs', async () => {
    return (await countExecutions(path)) === 1;
  });
  const ranOnFirst = (await readExecutions('app-1'))[path] === 1;
  const plan = ENDPOINTS[ranOnFirst ? 2 : 3];
  await system.getAgent(`agent-${plan.name}`).process.kill();
  const {status, outcome} = await call;
  await system.startAgent(plan);
  await system.waitUntilReady();
  await setDelay(0);
  const executions = await countExecutions(path);
  expect({status, outcome, executions}).toMatchSnapshot();
});

test('control: an entry that retries on silence runs a call twice', async () => {
  await setDelay(3_000);
  const relay = system.peerRelays.get('agent-app-1');
  const path = '/shifts/naive';
  const call = dispatchNaively({
    agentAddress: relay?.getAddress() ?? '',
    endpoint: 'app-1',
    method: 'POST',
    path,
  });
  await waitUntil('the call runs', async () => {
    return (await countExecutions(path)) === 1;
  });
  relay?.silenceConnections();
  const {outcome} = await call;
  await setDelay(0);
  const executions = await countExecutions(path);
  expect({outcome, executions}).toMatchSnapshot();
});
