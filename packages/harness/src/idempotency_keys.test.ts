/**
 * Calls that may run at most once, in separate processes: the service aborts a
 * call, the agent that owns the key is killed, the call is sent again through
 * another entry, the platform is down. The services' own counts are the ground
 * truth.
 */
import {CallerAnswer, callEntry, createIdempotencyKey} from './clients';
import {formatDemoRules} from './demo_plan';
import {waitUntil} from './node_status';
import {EndpointPlan, TestSystem} from './system';

/** Longer than the clock skew that owners of idempotency keys allow for. */
const KEY_AGE_MS = 6_000;
const ENDPOINTS: EndpointPlan[] = ['attica-a', 'attica-b'].map(
  (failureDomain, index) => ({
    name: `app-${index + 1}`,
    kind: 'plain',
    service: 'booking-app',
    failureDomain,
  }),
);

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
  await new Promise(resolve => setTimeout(resolve, KEY_AGE_MS));
});

afterAll(async () => {
  await system.close();
});

function sendShift(
  url: string,
  shift: string,
  key: string,
  body = 'Maria',
): Promise<CallerAnswer> {
  return callEntry(url, 'kyklos', `/services/booking-app/shifts/${shift}`, {
    method: 'POST',
    headers: key === '' ? {} : {'idempotency-key': key},
    body,
  });
}

async function countExecutions(shift: string): Promise<number> {
  let total = 0;
  for (const endpoint of system.endpoints.values()) {
    const reply = await fetch(`${endpoint.url}/admin/truth`);
    const truth = (await reply.json()) as {executions: Record<string, number>};
    total += truth.executions[`/shifts/${shift}`] ?? 0;
  }
  return total;
}

async function setFaults(faults: Record<string, unknown>): Promise<void> {
  for (const endpoint of system.endpoints.values()) {
    await system.setFaults(endpoint, faults);
  }
}

function selectOutcome(answer: CallerAnswer) {
  const {status, outcome, kind} = answer;
  return {status, outcome, kind};
}

/**
 * Sends a call again while it is refused as not run, until it runs: an endpoint
 * whose load page answers late counts as down for a while. Returns the pending
 * answer.
 */
async function startShift(
  shift: string,
  key: string,
): Promise<{answer: Promise<CallerAnswer>}> {
  let answer = sendShift(urls[0], shift, key);
  let earlyAnswer: CallerAnswer | undefined;
  await waitUntil(`shift ${shift} runs`, async () => {
    earlyAnswer = await Promise.race([answer, resolveUndefined()]);
    if (earlyAnswer === undefined) return (await countExecutions(shift)) === 1;
    if (earlyAnswer.outcome !== 'not-run') return true;
    answer = sendShift(urls[0], shift, key);
    return false;
  });
  expect(earlyAnswer).toBeUndefined();
  return {answer};
}

function resolveUndefined(): Promise<undefined> {
  return Promise.resolve(undefined);
}

test('a resend through another entry gets the first answer', async () => {
  const key = createIdempotencyKey();
  const first = await sendShift(urls[0], 'resent', key);
  const second = await sendShift(urls[1], 'resent', key);
  expect(first.status).toBe(200);
  expect(second.text).toBe(first.text);
  expect(await countExecutions('resent')).toBe(1);
});

test('another body under the same key is a conflict', async () => {
  const key = createIdempotencyKey();
  await sendShift(urls[0], 'bound', key);
  const other = await sendShift(urls[1], 'bound', key, 'Eleni');
  expect(selectOutcome(other)).toMatchSnapshot();
  expect(await countExecutions('bound')).toBe(1);
});

test('a resend of a running call is refused as in progress', async () => {
  await setFaults({delayMs: 1_500});
  const key = createIdempotencyKey();
  const first = await startShift('running', key);
  const second = await sendShift(urls[1], 'running', key);
  await setFaults({delayMs: 0});
  expect(selectOutcome(second)).toMatchSnapshot();
  expect((await first.answer).status).toBe(200);
  expect(await countExecutions('running')).toBe(1);
});

test('control: a call resent without a key runs twice', async () => {
  await sendShift(urls[0], 'naive', '');
  await sendShift(urls[1], 'naive', '');
  expect(await countExecutions('naive')).toBe(2);
});

test('a call that the service aborts has an unknown outcome', async () => {
  await setFaults({breakNext: true});
  const key = createIdempotencyKey();
  const first = await sendShift(urls[0], 'broken', key);
  await setFaults({breakNext: false});
  const second = await sendShift(urls[1], 'broken', key);
  expect(selectOutcome(first)).toMatchSnapshot();
  expect(second.outcome).toBe('unknown');
  expect(await countExecutions('broken')).toBe(1);
});

test('keys are answered while the platform is down', async () => {
  const key = createIdempotencyKey();
  system.platform.process.sendSignal('SIGSTOP');
  let first = await sendShift(urls[0], 'outage', key);
  await waitUntil('the owner accepts the call', async () => {
    first = await sendShift(urls[0], 'outage', key);
    return first.status === 200;
  });
  const second = await sendShift(urls[1], 'outage', key);
  system.platform.process.sendSignal('SIGCONT');
  expect(first.status).toBe(200);
  expect(second.text).toBe(first.text);
  expect(await countExecutions('outage')).toBe(1);
});

test('an owner that replaces a killed one runs no older key', async () => {
  await setFaults({delayMs: 1_500});
  const key = createIdempotencyKey();
  const first = await startShift('killed', key);
  const plan = await findRunningPlan('killed');
  await system.getAgent(`agent-${plan.name}`).process.kill();
  const firstAnswer = await first.answer;
  await system.startAgent(plan);
  await setFaults({delayMs: 0});
  let second = await sendShift(urls[1], 'killed', key);
  await waitUntil('the new owner answers', async () => {
    second = await sendShift(urls[1], 'killed', key);
    return second.outcome === 'unknown';
  });
  expect(selectOutcome(firstAnswer)).toMatchSnapshot();
  expect(await countExecutions('killed')).toBe(1);
});

async function findRunningPlan(shift: string): Promise<EndpointPlan> {
  const url = system.getEndpoint('app-1').url;
  const reply = await fetch(`${url}/admin/truth`);
  const truth = (await reply.json()) as {executions: Record<string, number>};
  return ENDPOINTS[truth.executions[`/shifts/${shift}`] === 1 ? 0 : 1];
}
