/** A customer's rate limit, enforced jointly by two entries. */
import {callEntry} from './clients';
import {DEMO_PLAN, formatDemoRules} from './demo_plan';
import {TestSystem} from './system';

const LIMIT_RULE =
  '  - {id: cap, kind: limit, customer: leoben, requestsPerSecond: 4}' +
  '  # finance, contract 2026-20\n';
const CALLS = 20;

let system: TestSystem;

beforeAll(async () => {
  const rules = `${formatDemoRules(300)}${LIMIT_RULE}`;
  system = await TestSystem.create({...DEMO_PLAN, rules});
});

afterAll(async () => {
  await system.close();
});

async function callMany(customer: string): Promise<number[]> {
  const urls = [...system.entries.values()].map(entry => entry.callersUrl);
  const calls = Array.from({length: CALLS}, (_, index) =>
    callEntry(
      urls[index % urls.length],
      customer,
      '/services/booking-app/shifts/17',
      {method: 'GET'},
    ),
  );
  const answers = await Promise.all(calls);
  return answers.map(answer => answer.status);
}

test('only the customer over its limit is refused', async () => {
  const limited = await callMany('leoben');
  const unlimited = await callMany('kyklos');
  const refused = limited.filter(status => status === 429).length;
  expect(refused).toBeGreaterThan(0);
  expect(limited.filter(status => status === 200).length).toBe(CALLS - refused);
  expect(new Set(unlimited)).toEqual(new Set([200]));
});
