/** `npm run bench`: prints the comparison and the bounds. */
import {parseArgs} from 'node:util';
import {createFullPlan, formatResults, runBench} from './bench_report';

const DEFAULT_SEED = '1';
const DEFAULT_SECONDS = '200';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: DEFAULT_SEED},
    seconds: {type: 'string', default: DEFAULT_SECONDS},
    scenario: {type: 'string'},
  },
});
const full = createFullPlan(
  Number(values.seed),
  Number(values.seconds) * 1_000,
);
const scenarios = full.scenarios.filter(
  scenario => (values.scenario ?? scenario.name) === scenario.name,
);
const results = runBench({...full, scenarios});
process.stdout.write(`seed ${values.seed}, ${values.seconds} s a run\n`);
process.stdout.write(formatResults(results));
