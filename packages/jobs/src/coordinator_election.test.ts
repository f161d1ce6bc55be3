/** Elections of a home against a store and nodes that are faked in memory. */
import {HomeRecord, createError} from '@sassafrasspan/core';
import type {ClusterWatch, PeerClient} from '@sassafrasspan/peers';
import type {ObjectCollections} from '@sassafrasspan/platform';
import {SILENT_LOG} from '@sassafrasspan/runtime';
import {err, ok} from 'neverthrow';
import {CoordinatorElection} from './coordinator_election';

/** Longer than any home may be silent, in ms. */
const LONG_MS = 60_000;

function createRecord(node: string, epoch: number): HomeRecord {
  return {node, incarnation: `${node}-1`, address: '127.0.0.1:1', epoch};
}

/** A candidate beside a silent home; `onAsked` runs when agents are asked. */
function createCandidate(onAsked: (world: FakeCluster) => void) {
  const world = new FakeCluster();
  const runner = CoordinatorElection.create({
    name: 'me',
    incarnation: 'me-1',
    address: '127.0.0.1:2',
    cluster: world as unknown as ClusterWatch,
    store: world as unknown as ObjectCollections,
    peers: {
      call: async ({path}: {path: string}) => {
        if (path !== '/agent/home') return err(createError('peer-lost', 'no'));
        onAsked(world);
        return ok({epoch: 1, agoMs: LONG_MS});
      },
    } as unknown as PeerClient,
    clock: {readMonotonicMs: () => world.nowMs, readWallMs: () => 0},
    log: SILENT_LOG,
    onElected: record => world.elected.push(record.epoch),
  });
  return {world, runner};
}

/** The cluster as the candidate knows it, and the store. */
class FakeCluster {
  nowMs = 0;
  readonly elected: number[] = [];
  coordinator = {record: createRecord('first', 1), version: 10};

  getCoordinator() {
    return this.coordinator;
  }

  acceptCoordinator(home: FakeCluster['coordinator']): void {
    this.coordinator = home;
  }

  listNodes(role: string) {
    const address = '127.0.0.1:3';
    return role === 'agent' ? [{name: 'a', role, address}] : [];
  }

  async replaceObject(
    _kind: string,
    _name: string,
    record: HomeRecord,
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

test('a silent home is replaced', async () => {
  const {world, runner} = createCandidate(() => undefined);
  await runner.runRound();
  world.nowMs = LONG_MS;
  await runner.runRound();
  expect(world.elected).toEqual([2]);
});

test('a home that is elected while agents are asked is left in place', async () => {
  const {world, runner} = createCandidate(asked => {
    asked.coordinator = {record: createRecord('second', 2), version: 11};
  });
  await runner.runRound();
  world.nowMs = LONG_MS;
  await runner.runRound();
  expect(world.coordinator.record.node).toBe('second');
  expect(world.elected).toEqual([]);
});
