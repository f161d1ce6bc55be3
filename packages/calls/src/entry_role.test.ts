/** Tests how an entry handles requests before it has routes. */
import {RouteBurnTracker} from '@sassafrasspan/core';
import type {ClusterWatch, PeerClient} from '@sassafrasspan/peers';
import type {ObjectCollections} from '@sassafrasspan/platform';
import {EventLog, Metrics, SYSTEM_CLOCK} from '@sassafrasspan/runtime';
import {EntryRole} from './entry_role';

test('a request that arrives before the first routes is refused and logged', () => {
  const lines: object[] = [];
  const log = {
    writeEvent: (name: string, fields: object) => lines.push({name, ...fields}),
  } as unknown as EventLog;
  const role = EntryRole.create({
    name: 'entry-1',
    failureDomain: 'a',
    cluster: {} as ClusterWatch,
    peers: {} as PeerClient,
    store: {} as ObjectCollections,
    caller: {} as never,
    clock: SYSTEM_CLOCK,
    random: Math.random,
    log,
    metrics: Metrics.create(),
    burn: RouteBurnTracker.create(),
    onRoutes: () => undefined,
  });
  expect(role.findTable('r1').isErr()).toBe(true);
  expect(lines).toMatchInlineSnapshot(`
    [
      {
        "detail": "no routes yet",
        "kind": "not-ready",
        "name": "request-refused",
        "requestId": "r1",
      },
    ]
  `);
});
