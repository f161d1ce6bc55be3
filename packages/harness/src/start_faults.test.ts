/** A process with invalid settings exits at its start and serves nothing. */
import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {AddressInfo, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';

const BUNDLE = path.join(__dirname, '../../../dist/sassafrasspan.cjs');
const RUN_TIMEOUT_MS = 20_000;

let folder: string;

beforeAll(() => {
  folder = mkdtempSync(path.join(tmpdir(), 'sassafrasspan-start-'));
});

afterAll(() => rmSync(folder, {recursive: true}));

function formatEntry(callersPort: number | string): string {
  return [
    'role: entry',
    'name: entry-1',
    'failureDomain: attica-a',
    'peers: {host: 127.0.0.1, port: 0}',
    'operators: {host: 127.0.0.1, port: 0}',
    `callers: {host: 127.0.0.1, port: ${callersPort}}`,
    'platform: {objectsUrl: "http://127.0.0.1:1", vmsUrl: "http://127.0.0.1:1"}',
    'log: {level: error}',
  ].join('\n');
}

/** Runs an entry with settings that make it exit at its start. */
function runEntry(name: string, text: string) {
  const file = path.join(folder, name);
  writeFileSync(file, text);
  const child = spawnSync(process.execPath, [BUNDLE, 'entry', file], {
    encoding: 'utf8',
    timeout: RUN_TIMEOUT_MS,
  });
  return {
    status: child.status,
    stdout: child.stdout,
    stderr: child.stderr.replaceAll(`${folder}/`, ''),
  };
}

test('a wrong type exits with 2 and names line and key', () => {
  expect(runEntry('type.yaml', formatEntry('web'))).toMatchSnapshot();
});

test('a port in use exits with 2 and names line and key', async () => {
  const portHolder = createServer();
  await new Promise<void>(resolve => {
    portHolder.listen(0, '127.0.0.1', () => resolve());
  });
  const {port} = portHolder.address() as AddressInfo;
  const result = runEntry('port.yaml', formatEntry(port));
  portHolder.close();
  const stderr = result.stderr.replaceAll(String(port), 'PORT');
  expect({...result, stderr}).toMatchSnapshot();
});

test('a file that cannot be read exits with 2', () => {
  const args = [BUNDLE, 'agent', 'missing.yaml'];
  const {status, stderr} = spawnSync(process.execPath, args, {
    encoding: 'utf8',
  });
  expect({status, stderr}).toMatchSnapshot();
});
