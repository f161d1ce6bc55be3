/** Pushes of capacity samples through the schemas of the messages. */
import type {CapacityMode} from '@sassafrasspan/core';
import type {ClusterWatch, PeerCall, PeerClient} from '@sassafrasspan/peers';
import {
  Metrics,
  SILENT_LOG,
  SYSTEM_CLOCK,
  waitMs,
} from '@sassafrasspan/runtime';
import {ok} from 'neverthrow';
import {CapacitySharing} from './capacity_sharing';

const SAMPLE = {tookMs: 80, concurrency: 1, slots: 6, slowness: 1};
const DEADLINE_MS = 8_000;

function createSharing(
  capacityEstimates: CapacityMode | undefined,
  coordinator?: CapacitySharing,
) {
  const metrics = Metrics.create();
  const record = {node: 'c', incarnation: 'c', address: 'c:1', epoch: 1};
  const cluster = {
    getCoordinator: () => ({record, version: 1}),
    listNodes: () => [],
  } as unknown as ClusterWatch;
  const peers = {
    call: async <T>({path, body, schema}: PeerCall<T>) => {
      const handler = coordinator?.createRoutes()[path];
      const sent: unknown = JSON.parse(JSON.stringify(body));
      const {signal} = new AbortController();
      const reply = await handler?.(sent, {signal});
      const text = JSON.stringify(reply?._unsafeUnwrap());
      return ok(schema.parse(JSON.parse(text)));
    },
  } as unknown as PeerClient;
  const sharing = CapacitySharing.create({
    capacityEstimates,
    name: 'n',
    cluster,
    peers,
    clock: SYSTEM_CLOCK,
    random: () => 0.5,
    log: SILENT_LOG,
    metrics,
  });
  return {sharing, metrics};
}

// Guards against a node that keeps its samples to itself, and against messages
// that the receiver's schema rejects.
test('samples of one node reach the estimate of another', async () => {
  const coordinator = createSharing('reported').sharing;
  const sender = createSharing('reported', coordinator);
  const receiver = createSharing('reported', coordinator);
  const nowMs = SYSTEM_CLOCK.readMonotonicMs();
  for (let i = 0; i < 6; i++) {
    sender.sharing.getPusher()?.learnSample('x', SAMPLE, 0, nowMs);
  }
  // A node takes part once an endpoint has reported its slowness to it.
  receiver.sharing.getPusher()?.learnSample('y', SAMPLE, 0, nowMs);
  sender.sharing.start();
  receiver.sharing.start();
  const findWeight = () =>
    receiver.sharing.getPusher()?.estimator.findView('x')?.estimate.getWeight();
  while ((findWeight() ?? 0) < 5) {
    const waitedMs = SYSTEM_CLOCK.readMonotonicMs() - nowMs;
    if (waitedMs > DEADLINE_MS) throw new Error('no estimate arrived');
    await waitMs(20);
  }
  expect(
    sender.metrics.getCount('capacity_pushes_total', {result: 'answered'}),
  ).toBeGreaterThan(0);
}, 20_000);

// Guards against new behavior and messages of deployments without the setting.
test('nothing is shared or learned without the setting', () => {
  const {sharing} = createSharing(undefined);
  expect(sharing.getPusher()).toBeUndefined();
  expect(sharing.createRoutes()).toEqual({});
});
