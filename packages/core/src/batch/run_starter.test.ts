/** Tests the orders to start runs. */
import {createTestJob} from '../testing';
import {BatchScheduler} from './batch_scheduler';
import {RUN_ORDER_SCHEMA} from './run_messages';

// Guards against items that never start, since agents can't read the orders to run
// them.
test.each([1e300, Infinity])(
  'an order of a job that is kept for %s ms is refused by its agent',
  retentionMs => {
    const bounds = {service: 's', maxAttempts: 3, retentionMs};
    let runs = 0;
    const scheduler = BatchScheduler.create({
      findBounds: () => ({...bounds, runDeadlineMs: 7_500, tokensPerEvent: 1}),
      epoch: 1,
      createRunId: () => `r${(runs += 1)}`,
    });
    const endpoint = {
      ...{endpointId: 'e', service: 's', software: 's', slots: 4},
      ...{memoryTokens: 1e6, tokensPerEvent: 1, isDraining: false},
      versions: new Map([['m', 1]]),
    };
    scheduler.setEndpoints([endpoint], 0);
    const engine = {
      ...{isReachable: true, versions: {m: 1}, isBusy: false},
      ...{running: 0, waiting: 0, memoryUsed: 0},
    };
    scheduler.applySync('e', [], engine, 0);
    scheduler.openJob(
      createTestJob({id: 'j', groups: 1, size: 2, desiredGroups: 1}),
      0,
    );
    const starts = scheduler.plan(0).flatMap(orders => orders.starts);
    expect(starts).toHaveLength(2);
    for (const start of starts) {
      const received: unknown = JSON.parse(JSON.stringify(start));
      expect(RUN_ORDER_SCHEMA.safeParse(received).success).toBe(true);
    }
  },
);
