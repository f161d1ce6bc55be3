import {RuleSet} from '../rules/rule_set';
import type {Rule, RulesRevision} from '../rules/rule_schemas';
import {BurnTracker} from './burn_tracker';
import {BURN_WINDOWS} from './burn_counter';

const MINUTE_MS = 60_000;
const DAY_MS = 86_400_000;
const FAST: Rule = {
  id: 'fast',
  kind: 'latency',
  customer: 'kyklos',
  service: 'app',
  percentile: 90,
  withinMs: 100,
};
const FRESH: Rule = {
  id: 'fresh',
  kind: 'staleness',
  trainer: 'briefs',
  maxVersions: 1,
};

function createRuleSet(revision: number, ...rules: Rule[]): RuleSet {
  const entries = rules.map((rule, index) => ({
    rule,
    askedBy: 'ops',
    line: index + 2,
  }));
  const body: RulesRevision = {
    revision,
    operationId: 'op',
    author: 'ops',
    writtenAtMs: 0,
    text: '',
    rules: entries,
  };
  return RuleSet.create(body);
}

/** Returns good and bad events of every window, as `good/bad`. */
function sumWindows(burn: BurnTracker, nowMs: number) {
  return burn.listPromises(nowMs).map(promise => {
    const sums = promise.windows.map(({buckets}) => {
      const good = buckets.reduce((sum, bucket) => sum + bucket.good, 0);
      const bad = buckets.reduce((sum, bucket) => sum + bucket.bad, 0);
      return `${good}/${bad}`;
    });
    return `${promise.id}: ${sums.join(' ')}`;
  });
}

test('events expire from each window in turn', () => {
  const ruleSet = createRuleSet(1, FAST, FRESH);
  const burn = BurnTracker.create(() => ruleSet);
  const call = {customer: 'kyklos', service: 'app', kind: undefined};
  burn.recordCall({...call, durationMs: 100}, 0);
  burn.recordCall({...call, durationMs: 101}, 0);
  burn.recordCall({...call, durationMs: 1, kind: 'endpoint-failed'}, 0);
  burn.recordCall({...call, durationMs: 1, kind: 'bad-request'}, 0);
  burn.recordCall({...call, customer: 'leoben', durationMs: 900}, 0);
  burn.recordSamples('briefs', [0, 1, 2], 0);
  const times = [0, 6 * MINUTE_MS, 61 * MINUTE_MS, DAY_MS, 3 * DAY_MS];
  expect(times.map(nowMs => sumWindows(burn, nowMs))).toMatchSnapshot();
});

test('an unchanged rule keeps its counts in a new revision', () => {
  let ruleSet = createRuleSet(1, FAST, FRESH);
  const burn = BurnTracker.create(() => ruleSet);
  burn.recordSamples('briefs', [5], 0);
  const call = {customer: 'kyklos', service: 'app', kind: undefined};
  burn.recordCall({...call, durationMs: 1}, 0);
  ruleSet = createRuleSet(2, {...FAST, withinMs: 50}, FRESH);
  expect(sumWindows(burn, 0)).toEqual([
    'fast: 0/0 0/0 0/0 0/0',
    'fresh: 0/1 0/1 0/1 0/1',
  ]);
});

test('the number of buckets is bounded whatever the load', () => {
  const ruleSet = createRuleSet(1, FRESH);
  const burn = BurnTracker.create(() => ruleSet);
  for (let nowMs = 0; nowMs < DAY_MS; nowMs += MINUTE_MS) {
    burn.recordSamples('briefs', [0], nowMs);
  }
  const [promise] = burn.listPromises(DAY_MS);
  const sizes = promise.windows.map(window => window.buckets.length);
  expect(Math.max(...sizes)).toBeLessThanOrEqual(30);
  expect(sizes).toHaveLength(BURN_WINDOWS.length);
});
