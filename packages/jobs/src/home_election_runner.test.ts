/** Elections of a home against a store and nodes that are faked in memory. */
import {CoordinatorRecord, createError} from '@sassafrasspan/core';
import type {ClusterWatch, PeerClient} from '@sassafrasspan/peers';
import type {ObjectCollections} from '@sassafrasspan/platform';
import {SILENT_LOG} from '@sassafrasspan/runtime';
import {err, ok} from 'neverthrow';
import {HomeElectionRunner} from './home_election_runner';

/** Longer than any home may be silent, in ms. */
const LONG_MS = 60_000;

function createRecord(node: string, epoch: number): CoordinatorRecord {
  return {node, incarnation: `${node}-1`, address: '127.0.0.1:1', epoch};
}

/** A candidate beside a silent home; `onAsked` runs when agents are asked. */
function createCandidate(onAsked: (world: World) => void) {
  const world = new World();
  const runner = HomeElectionRunner.create({
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
class World {
  nowMs = 0;
  readonly elected: number[] = [];
  home = {record: createRecord('first', 1), version: 10};

  getHome() {
    return this.home;
  }

  acceptHome(home: World['home']): void {
    this.home = home;
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
    if (version !== this.home.version) return err(createError('conflict', ''));
    this.home = {record, version: version + 1};
    return ok({version: version + 1});
  }

  async readObject() {
    return ok({value: this.home.record, version: this.home.version});
  }
}

test('a silent home is replaced', async () => {
  const {world, runner} = createCandidate(() => undefined);
  await runner.advance();
  world.nowMs = LONG_MS;
  await runner.advance();
  expect(world.elected).toEqual([2]);
});

test('a home that is elected while agents are asked is left in place', async () => {
  const {world, runner} = createCandidate(asked => {
    asked.home = {record: createRecord('second', 2), version: 11};
  });
  await runner.advance();
  world.nowMs = LONG_MS;
  await runner.advance();
  expect(world.home.record.node).toBe('second');
  expect(world.elected).toEqual([]);
});
