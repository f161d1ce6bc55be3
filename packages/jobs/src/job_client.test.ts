/** A job that no coordinator accepts is stored by the entry, which says so. */
import {createRandomSource} from '@sassafrasspan/core';
import {ClusterWatch, PeerClient} from '@sassafrasspan/peers';
import {SILENT_LOG, SYSTEM_CLOCK} from '@sassafrasspan/runtime';
import {ok} from 'neverthrow';
import {JobClient} from './job_client';
import type {JobStore} from './job_store';

const JOB = {
  ...{id: 'j', host: 'h', path: '/p', route: 'r', model: 'm', minVersion: 3},
  ...{isSingleVersion: false, desiredGroups: 2, step: 4, acceptedAtMs: 0},
  items: [],
};

/** Time that passes with each reading of the clock, in ms: calls end at once. */
const TICK_MS = 600;

async function submit(isNew: boolean): Promise<unknown[]> {
  const lines: unknown[] = [];
  let nowMs = 0;
  const readMonotonicMs = () => (nowMs += TICK_MS);
  const client = JobClient.create({
    cluster: {
      getCoordinator: () => undefined,
      listNodes: () => [],
      acceptCoordinator: () => undefined,
    } as unknown as ClusterWatch,
    peers: PeerClient.create(),
    jobStore: {
      createJob: () => Promise.resolve(ok(isNew)),
    } as unknown as JobStore,
    clock: {readMonotonicMs, readWallMs: readMonotonicMs},
    random: createRandomSource(1),
    log: {writeEvent: (name, fields) => lines.push({name, fields})},
  });
  const submitted = await client.submit(JOB, new AbortController().signal);
  expect(submitted.isOk()).toBe(true);
  return lines;
}

test('an entry logs the job that it stores', async () => {
  expect(await submit(true)).toMatchSnapshot();
});

test('an entry does not log a job that was stored before', async () => {
  expect(await submit(false)).toEqual([]);
});

// Guards against results that a coordinator knew before it stood still, while readers
// have had more from its successor.
test('a read is answered by a coordinator that has been replaced meanwhile', async () => {
  let epoch = 1;
  const calledEpochs: number[] = [];
  const client = JobClient.create({
    cluster: {
      getCoordinator: () => ({record: {address: 'h:1', epoch}, version: epoch}),
      listNodes: () => [],
      acceptCoordinator: () => undefined,
    } as unknown as ClusterWatch,
    peers: {
      call: async () => {
        const answer = {total: epoch, results: []};
        calledEpochs.push(epoch);
        epoch = 2;
        return ok(answer);
      },
    } as unknown as PeerClient,
    jobStore: {} as JobStore,
    clock: SYSTEM_CLOCK,
    random: createRandomSource(1),
    log: SILENT_LOG,
  });
  const call = {jobId: 'j', after: 0, waitMs: 0};
  const read = await client.read(call, new AbortController().signal);
  expect(read._unsafeUnwrap().total).toBe(2);
  expect(calledEpochs).toEqual([1, 2]);
});
