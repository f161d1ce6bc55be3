/** Faults in files are reported with file, line, key and the expected value. */
import {readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import {RULE_SCHEMAS} from '@sassafrasspan/core';
import {formatSettingsFault} from '@sassafrasspan/runtime';
import {parse} from 'yaml';
import {checkFile, checkFileText} from './check_file';

const EXAMPLES = path.join(__dirname, '../../../../examples');
const ENTRY = readFileSync(path.join(EXAMPLES, 'kyklos/entry-1.yaml'), 'utf8');
const AGENT = readFileSync(
  path.join(EXAMPLES, 'kyklos/agent-lm-1.yaml'),
  'utf8',
);

test.each([
  ['an unknown key', ENTRY.replace('log:', 'logs:')],
  ['an unknown nested key', ENTRY.replace('maxBodyBytes', 'maxBodyKb')],
  ['a number with a unit', ENTRY.replace('30000', '30s')],
  ['a wrong type', ENTRY.replace('port: 4000', 'port: http')],
  ['a missing address', ENTRY.replace(/^callers:.*\n/m, '')],
  ['a missing part of an address', ENTRY.replace(', port: 4200', '')],
  ['a URL of another scheme', AGENT.replace('http://10.10.0.30', 'ftp://x')],
  ['no endpoint', AGENT.replace(/endpoints:\n.*\n/, 'endpoints: []\n')],
  ['an unknown kind', AGENT.replace('kind: engine', 'kind: lm')],
  ['inconsistent timeouts', ENTRY.replace('10000', '60000')],
  ['two faults', AGENT.replace('level: info', 'level: 3').replace('name', 'n')],
  ['an unknown role', ENTRY.replace('role: entry', 'role: router')],
  ['invalid YAML', 'role: entry\nname: [\n'],
  ['an empty file', ''],
  ['a rules file', 'rules:\n  - {id: a, kind: wish}  # ops\n'],
])('%s', (_name, text) => {
  const checked = checkFileText('node.yaml', text);
  const faults = checked.isErr() ? checked.error : [];
  expect(faults.map(formatSettingsFault)).toMatchSnapshot();
});

test('the rules in OPERATIONS.md are valid and include every kind', () => {
  const docs = path.join(EXAMPLES, '../docs/OPERATIONS.md');
  const text = readFileSync(docs, 'utf8');
  const rules = /```yaml\n(rules:[^`]*)```/.exec(text)?.[1] ?? '';
  const kinds = [...rules.matchAll(/kind: ([a-z-]+)/g)].map(match => match[1]);
  expect(new Set(kinds)).toEqual(new Set(Object.keys(RULE_SCHEMAS)));
  const checked = checkFileText('OPERATIONS.md', rules);
  expect(checked.isErr() ? checked.error : []).toEqual([]);
});

test('a missing file is a fault', () => {
  const checked = checkFile('missing/node.yaml');
  const faults = checked.isErr() ? checked.error : [];
  expect(faults.map(formatSettingsFault)).toMatchSnapshot();
});

/** The keys of an example that the tests below read. */
interface ExampleFile {
  readonly role?: string;
  readonly failureDomain?: string;
  readonly endpoints?: ReadonlyArray<{readonly name: string; service: string}>;
  readonly rules?: ReadonlyArray<{
    readonly kind: string;
    readonly service: string;
    readonly endpoints: readonly string[];
  }>;
}

describe.each(['kyklos', 'leoben'])('the example of %s', deployment => {
  const folder = path.join(EXAMPLES, deployment);
  const files = readdirSync(folder).map(name => path.join(folder, name));

  test.each(files)('%s is valid', file => {
    const checked = checkFile(file);
    expect(checked.isErr() ? checked.error : []).toEqual([]);
  });

  test('has the pools and failure domains of its deployment', () => {
    const contents = files.map(
      file => parse(readFileSync(file, 'utf8')) as ExampleFile,
    );
    const domains = contents.flatMap(file => file.failureDomain ?? []);
    const endpoints = contents.flatMap(file => file.endpoints ?? []);
    const pools = contents
      .flatMap(file => file.rules ?? [])
      .filter(rule => rule.kind === 'pool');
    for (const pool of pools) {
      const names = endpoints
        .filter(endpoint => endpoint.service === pool.service)
        .map(endpoint => endpoint.name);
      expect(names.sort()).toEqual([...pool.endpoints].sort());
    }
    expect({
      domains: [...new Set(domains)].sort(),
      pools: pools.map(pool => `${pool.service}: ${pool.endpoints.length}`),
    }).toMatchSnapshot();
  });
});
