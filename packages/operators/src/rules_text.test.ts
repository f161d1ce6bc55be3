import {parseRules} from './rules_text';

const KEY = 'a'.repeat(64);
const POOL =
  '{id: p, kind: pool, service: app, type: plain, endpoints: [a]}  # ops';

function formatFile(...rules: string[]): string {
  return ['rules:', ...rules.map(rule => `  - ${rule}`)].join('\n');
}

test.each([
  ['a rule with its comment', formatFile(POOL)],
  ['a missing comment', formatFile('{id: a, kind: staleness, trainer: t}')],
  ['an unknown kind', formatFile('{id: a, kind: wish}  # ops')],
  ['an unknown field', formatFile(POOL.replace('type', 'typo: 1, type'))],
  ['a duplicate id', formatFile(POOL, POOL)],
  ['a rule over two lines', formatFile(POOL.replace(', kind', ',\n    kind'))],
  [
    'an unknown service',
    formatFile(
      '{id: l, kind: latency, customer: k, service: x, percentile: 99, withinMs: 5}  # me',
    ),
  ],
  [
    'shares that add up to over 100 percent',
    formatFile(
      POOL,
      '{id: s, kind: share, customer: k, service: app, percent: 60}  # k',
      '{id: t, kind: share, customer: l, service: app, percent: 60}  # l',
    ),
  ],
  [
    'a duplicate API key',
    formatFile(
      `{id: k, kind: api-key, customer: k, sha256: ${KEY}}  # k`,
      `{id: l, kind: api-key, customer: l, sha256: ${KEY}}  # l`,
    ),
  ],
  ['text that is not YAML', 'rules: [\n'],
  ['an unknown key at the top level', 'promises: []\n'],
])('%s', (_name, text) => {
  const parsed = parseRules(text);
  expect(parsed.isOk() ? parsed.value : parsed.error).toMatchSnapshot();
});
