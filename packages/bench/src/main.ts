/** `npm run bench`: prints the comparison of policies and the bound checks. */
import {parseArgs} from 'node:util';
import {createFullPlan, formatResults, runBench} from './bench_report';
import {BOUNDS, checkBound, formatChecks} from './bounds';
import {formatChoiceCost} from './capacity_cost';
import {formatScoring} from './scoring_comparison';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '2'},
    seconds: {type: 'string', default: '240'},
    scenario: {type: 'string'},
  },
});
const plan = createFullPlan(
  Number(values.seed),
  Number(values.seeds),
  Number(values.seconds) * 1_000,
);
const scenarios = plan.scenarios.filter(
  scenario => (values.scenario ?? scenario.name) === scenario.name,
);
const results = runBench({...plan, scenarios});
const checks = BOUNDS.map(bound => checkBound(bound, results));
process.stdout.write(
  `seed ${values.seed}, ${values.seeds} seeds, ${values.seconds} s a run\n`,
);
process.stdout.write(formatResults(results));
process.stdout.write(`\n${formatChecks(checks)}`);
process.stdout.write(`\n${formatScoring(Number(values.seed))}`);
process.stdout.write(`\n${formatChoiceCost(Number(values.seed))}`);
