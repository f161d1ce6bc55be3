/**
 * A shortened benchmark: checks the bounds of bounds.json and that runs with
 * equal seeds give equal results.
 */
import {BenchResult, runBench} from './bench_report';
import {BOUNDS, checkBound} from './bounds';
import {DEPLOYMENTS} from './deployments';
import {POLICIES} from './policies';
import {SCENARIOS} from './scenarios';

const SHORT_PLAN = {seed: 1, seedCount: 2, durationMs: 120_000};
const SETUP_TIMEOUT_MS = 600_000;
const COMPARED_SCENARIOS = [
  'calm',
  'at-capacity',
  'overload-1.3',
  'stragglers',
];

function runShort(policy: string, scenarios: readonly string[]): BenchResult[] {
  return runBench({
    ...SHORT_PLAN,
    deployments: DEPLOYMENTS,
    scenarios: SCENARIOS.filter(item => scenarios.includes(item.name)),
    policies: POLICIES.filter(item => item.name === policy),
  });
}

describe('benchmark bounds', () => {
  let results: BenchResult[] = [];

  beforeAll(() => {
    results = [
      ...runShort('current', COMPARED_SCENARIOS),
      ...runShort('least-outstanding', ['stragglers']),
    ];
  }, SETUP_TIMEOUT_MS);

  test.each(BOUNDS)('$id', bound => {
    expect(checkBound(bound, results)).toMatchObject({isMet: true});
  });
});

test('two runs with the same seed give equal results', () => {
  const runOnce = () =>
    runBench({
      seed: 7,
      seedCount: 1,
      durationMs: 20_000,
      deployments: DEPLOYMENTS.slice(0, 1),
      scenarios: SCENARIOS.filter(item => item.name === 'domain-lost'),
      policies: POLICIES.filter(item => item.name === 'current'),
    });
  expect(runOnce()).toEqual(runOnce());
});
