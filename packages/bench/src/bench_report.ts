/** Runs the comparison of policies and formats it as tables. */
import {DEPLOYMENTS, Deployment} from './deployments';
import {POLICIES, Policy} from './policies';
import {SCENARIOS, Scenario} from './scenarios';
import {Simulation} from './simulation';
import {RunSummary, computeMeanSummary, summarizeRun} from './summary';

/** Figures of one policy in one scenario of a deployment. */
export interface BenchResult {
  readonly deployment: string;
  readonly scenario: string;
  readonly policy: string;
  readonly summary: RunSummary;
}

/** Plan of a comparison: all combinations of the lists, for each seed. */
export interface BenchPlan {
  /** First of consecutive seeds; each figure is the mean over the seeds. */
  readonly seed: number;
  readonly seedCount: number;
  /** Length of each run after its warm-up. */
  readonly durationMs: number;
  readonly deployments: readonly Deployment[];
  readonly scenarios: readonly Scenario[];
  readonly policies: readonly Policy[];
}

/** Returns a plan that covers all deployments, scenarios and policies. */
export function createFullPlan(
  seed: number,
  seedCount: number,
  durationMs: number,
): BenchPlan {
  return {
    seed,
    seedCount,
    durationMs,
    deployments: DEPLOYMENTS,
    scenarios: SCENARIOS,
    policies: POLICIES,
  };
}

/** Runs every policy in every scenario of every deployment. */
export function runBench(plan: BenchPlan): BenchResult[] {
  return plan.deployments.flatMap(deployment =>
    plan.scenarios.flatMap(scenario =>
      plan.policies.map(policy => ({
        deployment: deployment.name,
        scenario: scenario.name,
        policy: policy.name,
        summary: runSeeds(plan, deployment, scenario, policy),
      })),
    ),
  );
}

function runSeeds(
  plan: BenchPlan,
  deployment: Deployment,
  scenario: Scenario,
  policy: Policy,
): RunSummary {
  const {durationMs} = plan;
  const summaries = Array.from({length: plan.seedCount}, (_, index) => {
    const seed = plan.seed + index;
    const run = {deployment, scenario, policy, seed, durationMs};
    return summarizeRun(Simulation.run(run), deployment, durationMs);
  });
  return computeMeanSummary(summaries);
}

interface Column {
  readonly title: string;
  readonly format: (summary: RunSummary) => string;
}

const COLUMNS: readonly Column[] = [
  {title: 'idle %', format: row => formatPercent(row.idleShare)},
  {title: 'stale mean', format: row => row.stalenessMean.toFixed(2)},
  {title: 'p99', format: row => row.stalenessP99.toFixed(1)},
  {title: 'dropped', format: row => row.dropped.toFixed(0)},
  {title: 'samples', format: row => row.delivered.toFixed(0)},
  {title: 'engine p50', format: row => row.engineP50Ms.toFixed(0)},
  {title: 'p99 ms', format: row => row.engineP99Ms.toFixed(0)},
  {title: 'refused %', format: row => formatPercent(row.engineRefused)},
  {title: 'good/s', format: row => row.engineGoodput.toFixed(2)},
  {title: 'plain p50', format: row => row.plainP50Ms.toFixed(0)},
  {title: 'p99 ms', format: row => row.plainP99Ms.toFixed(0)},
  {title: 'refused %', format: row => formatPercent(row.plainRefused)},
  {title: 'good/s', format: row => row.plainGoodput.toFixed(1)},
  {title: 'prefix %', format: row => formatPercent(row.prefixHits)},
  {title: 'costly MB', format: row => row.costlyMb.toFixed(1)},
  {title: 'retries', format: row => row.retries.toFixed(0)},
];
const NAME_WIDTH = 18;
const GAP = '  ';

function formatPercent(share: number): string {
  return (share * 100).toFixed(1);
}

/**
 * Formats the results as one table for each deployment and scenario. Results
 * of the same table must be adjacent.
 */
export function formatResults(results: readonly BenchResult[]): string {
  const lines: string[] = [];
  let heading = '';
  for (const result of results) {
    const tableName = `${result.deployment}, ${result.scenario}`;
    if (tableName !== heading) lines.push('', tableName, formatHeader());
    heading = tableName;
    lines.push(formatLine(result));
  }
  return `${lines.join('\n')}\n`;
}

function formatHeader(): string {
  const titles = COLUMNS.map(column => column.title);
  return [''.padEnd(NAME_WIDTH), ...titles].join(GAP);
}

function formatLine(result: BenchResult): string {
  const cells = COLUMNS.map(column =>
    column.format(result.summary).padStart(column.title.length),
  );
  return [result.policy.padEnd(NAME_WIDTH), ...cells].join(GAP);
}
