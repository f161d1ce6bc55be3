/** Events of routes are classified by the times of the configuration. */
import {RouteBurnTracker} from './route_burn_tracker';

const NOW_MS = 1_800_000_000_000;

function sumEvents(burn: RouteBurnTracker) {
  return burn.listPromises(NOW_MS).map(({id, text, windows}) => {
    const buckets = windows[0].buckets;
    const good = buckets.reduce((sum, bucket) => sum + bucket.good, 0);
    const bad = buckets.reduce((sum, bucket) => sum + bucket.bad, 0);
    return {id, text, good, bad};
  });
}

test('late and failed requests are bad and faults of callers are ignored', () => {
  const burn = RouteBurnTracker.create();
  burn.recordCall('pages', 200, 150, undefined, NOW_MS);
  burn.recordCall('pages', 200, 250, undefined, NOW_MS);
  burn.recordCall('pages', 200, 10, 'no-endpoint', NOW_MS);
  burn.recordCall('pages', 200, 10, 'not-found', NOW_MS);
  burn.recordCall('pages', 200, 10, 'cancelled', NOW_MS);
  burn.recordResults('steps', 7_500, 7_000, 12, NOW_MS);
  burn.recordResults('steps', 7_500, 8_000, 3, NOW_MS);
  expect(sumEvents(burn)).toMatchInlineSnapshot(`
    [
      {
        "bad": 2,
        "good": 1,
        "id": "pages-latency",
        "text": "99% of requests are answered within 200 ms",
      },
      {
        "bad": 3,
        "good": 12,
        "id": "steps-results",
        "text": "99% of results are listed within 7500 ms",
      },
    ]
  `);
});

test('a changed target latency starts a new promise', () => {
  const burn = RouteBurnTracker.create();
  burn.recordCall('pages', 200, 250, undefined, NOW_MS);
  burn.recordCall('pages', 300, 250, undefined, NOW_MS);
  expect(sumEvents(burn)).toHaveLength(2);
});

test('the number of promises is bounded', () => {
  const burn = RouteBurnTracker.create();
  for (let i = 0; i < 1_000; i++) {
    burn.recordCall(`route-${i}`, 200, 100, undefined, NOW_MS);
  }
  expect(burn.listPromises(NOW_MS)).toHaveLength(400);
});
