/**
 * `npm run bench:slopes`: prints how costs grow with size, the measurements
 * behind docs/CAPACITY.md.
 */
import {measureDecisions} from './decision_costs';
import {measureHeartbeats} from './heartbeat_costs';
import {measurePaths} from './path_costs';
import {formatMeasurements} from './cost_measurements';

async function runSlopes(): Promise<void> {
  process.stdout.write(formatMeasurements(measureDecisions()));
  process.stdout.write(formatMeasurements(await measureHeartbeats()));
  process.stdout.write(formatMeasurements(await measurePaths()));
}

void runSlopes().then(() => process.exit(0));
