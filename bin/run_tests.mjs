/**
 * Runs `npm test` for CI. Failures of tests that KNOWN-RED.txt lists by full
 * name are printed but tolerated; any other failure fails the run.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';

const ROOT = path.join(import.meta.dirname, '..');
const KNOWN_RED = path.join(ROOT, 'KNOWN-RED.txt');
const TEST_LINE = /^test: (.+)$/;

function readKnownRed() {
  if (!existsSync(KNOWN_RED)) return [];
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n');
  return lines.map(line => TEST_LINE.exec(line)?.[1]).filter(Boolean);
}

/** Configurations of the test runner; the tests of the second one run one at a
 * time, apart from all others. */
const CONFIGURATIONS = ['jest.config.cjs', 'jest.crowds.config.cjs'];

function runTests(configuration) {
  const folder = mkdtempSync(path.join(tmpdir(), 'sassafrasspan-tests-'));
  const output = path.join(folder, 'results.json');
  const args = ['jest', '--config', configuration, '--json'];
  const options = {cwd: ROOT, stdio: 'inherit'};
  spawnSync('npx', [...args, `--outputFile=${output}`], options);
  if (!existsSync(output)) return undefined;
  return JSON.parse(readFileSync(output, 'utf8'));
}

/**
 * Lists the full names of failed tests, or the file's name where a file failed
 * outside its tests.
 */
function listFailures(results) {
  return results.testResults.flatMap(file => {
    const failed = file.assertionResults.filter(
      test => test.status === 'failed',
    );
    if (failed.length > 0) return failed.map(test => test.fullName);
    return file.status === 'failed' ? [file.name] : [];
  });
}

spawnSync('npm', ['run', '--silent', 'bundle'], {cwd: ROOT, stdio: 'inherit'});
const results = CONFIGURATIONS.map(runTests);
if (results.includes(undefined)) {
  console.error('A test run wrote no results.');
  process.exit(1);
}
if (existsSync(KNOWN_RED)) console.log(readFileSync(KNOWN_RED, 'utf8'));
const knownRed = readKnownRed();
const failures = results.flatMap(listFailures);
for (const name of failures.filter(item => knownRed.includes(item))) {
  console.log(`KNOWN RED: ${name}`);
}
const unexpected = failures.filter(item => !knownRed.includes(item));
for (const name of unexpected) console.log(`FAILED: ${name}`);
const passed = results.map(({numPassedTests}) => numPassedTests);
console.log(`${passed.reduce((sum, count) => sum + count)} tests passed`);
process.exit(unexpected.length > 0 || passed.includes(0) ? 1 : 0);
