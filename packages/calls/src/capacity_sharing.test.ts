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

// Guards against a sample that costs those of all other endpoints: nodes with earlier
// software may push one that JSON can't express, or one that makes a sum infinite.
test('samples beside one that can not be read reach the coordinator', async () => {
  const {sharing, metrics} = createSharing('reported');
  const push = sharing.createRoutes()['/capacity/push'];
  const odd = [
    {concurrency: null},
    {slowness: 0},
    {slowness: 1e-322},
    {slowness: null},
    {id: undefined},
  ];
  const samples = ['x', 'y', 'z'].flatMap(id =>
    odd.flatMap(fields => [
      {...SAMPLE, id, ageMs: 0},
      {...SAMPLE, id, ageMs: 0, ...fields},
    ]),
  );
  const {signal} = new AbortController();
  const reply = await push({samples, hub: '', cursor: 0}, {signal});
  const answer: unknown = reply._unsafeUnwrap();
  expect(JSON.parse(JSON.stringify(answer))).toEqual(answer);
  const estimator = sharing.getPusher()?.estimator;
  expect(
    ['x', 'y', 'z'].map(id => estimator?.findView(id)?.estimate.getWeight()),
  ).toEqual([5, 5, 5]);
  const rejected = metrics.getCount('capacity_rejected_total', {
    entry: 'sample',
  });
  expect(rejected).toBe(15);
});

// Guards against an estimate that costs those of all other endpoints.
test('estimates beside one that can not be read are taken over', async () => {
  const coordinator = createSharing('reported').sharing;
  const {signal} = new AbortController();
  const push = coordinator.createRoutes()['/capacity/push'];
  const samples = ['x', 'y'].flatMap(id =>
    Array.from({length: 6}, () => ({...SAMPLE, id, ageMs: 0})),
  );
  await push({samples, hub: '', cursor: 0}, {signal});
  const broken = {
    createRoutes: () => ({
      '/capacity/push': async (...call: Parameters<typeof push>) => {
        const reply = await push(...call);
        return reply.map(answer => replaceDigest(answer as object, 'x'));
      },
    }),
  } as unknown as CapacitySharing;
  const {sharing, metrics} = createSharing('reported', broken);
  const nowMs = SYSTEM_CLOCK.readMonotonicMs();
  sharing.getPusher()?.learnSample('z', SAMPLE, 0, nowMs);
  sharing.start();
  const count = () => metrics.getCount('capacity_digests_total', {});
  while (!(count() > 0)) {
    const waitedMs = SYSTEM_CLOCK.readMonotonicMs() - nowMs;
    if (waitedMs > DEADLINE_MS) throw new Error('no estimate arrived');
    await waitMs(20);
  }
  const estimator = sharing.getPusher()?.estimator;
  expect(estimator?.findView('y')?.estimate.getWeight()).toBeGreaterThan(5);
  expect(estimator?.findView('x')).toBeUndefined();
}, 20_000);

/** Returns an answer whose estimate of one endpoint JSON can't express. */
function replaceDigest(answer: object, spoiltId: string): object {
  const {digests, ...fields} = answer as {digests: Array<{id: string}>};
  return {
    ...fields,
    digests: digests.map(digest =>
      digest.id === spoiltId ? {...digest, meanLoad: Infinity} : digest,
    ),
  };
}

// Guards against new behavior and messages of deployments without the setting.
test('nothing is shared or learned without the setting', () => {
  const {sharing} = createSharing(undefined);
  expect(sharing.getPusher()).toBeUndefined();
  expect(sharing.createRoutes()).toEqual({});
});
