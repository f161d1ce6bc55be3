/**
 * Runs the fuzz tests with a given seed and number of runs per test:
 * `npm run fuzz -- --seed 7 --runs 1000 [PATTERN]`. The seed is random by
 * default and is printed, so that a failure can be reproduced.
 */
import {spawnSync} from 'node:child_process';
import {parseArgs} from 'node:util';

const {values, positionals} = parseArgs({
  options: {seed: {type: 'string'}, runs: {type: 'string'}},
  allowPositionals: true,
});
const seed = values.seed ?? String(Math.floor(Math.random() * 2 ** 31));
const runs = values.runs ?? '500';
console.log(`fuzz: seed ${seed}, ${runs} runs per test`);
const pattern = positionals[0] ?? 'fuzz.test.ts';
const jest = spawnSync(
  'npx',
  ['jest', '--testTimeout=3600000', '--testPathPatterns', pattern],
  {
    stdio: 'inherit',
    env: {...process.env, FUZZ_SEED: seed, FUZZ_RUNS: runs},
  },
);
process.exit(jest.status ?? 1);
