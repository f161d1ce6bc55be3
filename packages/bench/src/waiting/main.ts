/** `npm run bench:waiting`: prints a comparison of waiting policies. */
import {parseArgs} from 'node:util';
import {WAITING_POLICIES} from './waiting_policies';
import {WaitingScenario, simulateWaiting} from './waiting_simulation';

/** One failure domain's share of a pool against all others together. */
const SCENARIOS: readonly WaitingScenario[] = [
  {name: 'kyklos', localSlots: 16, remoteSlots: 48, latencyMs: 3.5},
  {name: 'leoben', localSlots: 24, remoteSlots: 40, latencyMs: 4},
];

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    seconds: {type: 'string', default: '1200'},
  },
});
const seed = Number(values.seed);
const durationMs = Number(values.seconds) * 1_000;

function printRow(cells: readonly string[]): void {
  process.stdout.write(`${cells.map(cell => cell.padEnd(13)).join('')}\n`);
}

for (const scenario of SCENARIOS) {
  printRow([scenario.name, 'wait mean', 'wait p99', 'slowdown', 'spilled']);
  for (const [name, policy] of Object.entries(WAITING_POLICIES)) {
    const result = simulateWaiting(scenario, policy, seed, durationMs);
    printRow([
      name,
      `${result.meanWaitMs.toFixed(0)} ms`,
      `${result.p99WaitMs.toFixed(0)} ms`,
      result.slowdown.toFixed(2),
      `${(100 * result.spilledShare).toFixed(1)}%`,
    ]);
  }
}
