/** `npm run bench:slopes`: prints what docs/CAPACITY.md is worked out from. */
import {measureDecisions} from './decision_slopes';
import {measureHeartbeats} from './heartbeat_slopes';
import {measurePaths} from './path_slopes';
import {formatSlopes} from './slope_measures';

async function runSlopes(): Promise<void> {
  process.stdout.write(formatSlopes(measureDecisions()));
  process.stdout.write(formatSlopes(await measureHeartbeats()));
  process.stdout.write(formatSlopes(await measurePaths()));
}

void runSlopes().then(() => process.exit(0));
