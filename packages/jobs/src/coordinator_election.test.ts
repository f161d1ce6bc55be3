/** Tests the coordinator election with a store and nodes faked in memory. */
import {CoordinatorRecord, createError} from '@sassafrasspan/core';
import type {ClusterWatch, PeerClient} from '@sassafrasspan/peers';
import type {ObjectCollections} from '@sassafrasspan/platform';
import {SILENT_LOG} from '@sassafrasspan/runtime';
import {err, ok} from 'neverthrow';
import {CoordinatorElection} from './coordinator_election';

/** Longer than any coordinator may be silent, in ms. */
const LONG_MS = 60_000;

function createRecord(node: string, epoch: number): CoordinatorRecord {
  return {node, incarnation: `${node}-1`, address: '127.0.0.1:1', epoch};
}

/**
 * Creates a candidate while the coordinator is silent; `onAsked` is called when
 * an agent is asked for a contact report.
 */
function createCandidate(onAsked: (cluster: FakeCluster) => void) {
  const cluster = new FakeCluster();
  const candidate = CoordinatorElection.create({
    name: 'me',
    incarnation: 'me-1',
    address: '127.0.0.1:2',
    cluster: cluster as unknown as ClusterWatch,
    store: cluster as unknown as ObjectCollections,
    peers: {
      call: async ({path}: {path: string}) => {
        if (path !== '/agent/home') return err(createError('peer-lost', 'no'));
        onAsked(cluster);
        return ok({epoch: 1, agoMs: LONG_MS});
      },
    } as unknown as PeerClient,
    clock: {readMonotonicMs: () => cluster.nowMs, readWallMs: () => 0},
    log: SILENT_LOG,
    onElected: record => cluster.elected.push(record.epoch),
  });
  return {cluster, candidate};
}

/** The candidate's view of the cluster, and the store. */
class FakeCluster {
  nowMs = 0;
  readonly elected: number[] = [];
  coordinator = {record: createRecord('first', 1), version: 10};

  getCoordinator() {
    return this.coordinator;
  }

  acceptCoordinator(coordinator: FakeCluster['coordinator']): void {
    this.coordinator = coordinator;
  }

  listNodes(role: string) {
    const address = '127.0.0.1:3';
    return role === 'agent' ? [{name: 'a', role, address}] : [];
  }

  async replaceObject(
    _kind: string,
    _name: string,
    record: CoordinatorRecord,
    version: number,
  ) {
    if (version !== this.coordinator.version) {
      return err(createError('conflict', ''));
    }
    this.coordinator = {record, version: version + 1};
    return ok({version: version + 1});
  }

  async readObject() {
    return ok({
      value: this.coordinator.record,
      version: this.coordinator.version,
    });
  }
}

test('a silent coordinator is replaced', async () => {
  const {cluster, candidate} = createCandidate(() => undefined);
  await candidate.runRound();
  cluster.nowMs = LONG_MS;
  await candidate.runRound();
  expect(cluster.elected).toEqual([2]);
});

test('a coordinator elected while agents are asked is not replaced', async () => {
  const {cluster, candidate} = createCandidate(fake => {
    fake.coordinator = {record: createRecord('second', 2), version: 11};
  });
  await candidate.runRound();
  cluster.nowMs = LONG_MS;
  await candidate.runRound();
  expect(cluster.coordinator.record.node).toBe('second');
  expect(cluster.elected).toEqual([]);
});
