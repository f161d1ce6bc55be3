/** Tests the checkpoint writer with a job store in memory. */
import {
  JobProgress,
  JobState,
  PROGRESS_INTERVAL_MS,
  createError,
} from '@sassafrasspan/core';
import {createTestJob} from '@sassafrasspan/core/testing';
import {err, ok} from 'neverthrow';
import type {JobStore} from './job_store';
import {CheckpointWriter} from './checkpoint_writer';

/** Size of an event, large enough that a few items fill a part. */
const EVENT_CHARACTERS = 10_000;

/** Creates a job; `events` is the number of events of each item. */
function createJob(
  id: string,
  events: number,
  data = 'x'.repeat(EVENT_CHARACTERS),
): JobState {
  const job = createTestJob({id, groups: 1, size: 4, desiredGroups: 1});
  const state = JobState.create(job, 0);
  const text = Array.from({length: events}, () => ({
    data,
    version: 1,
    software: 's',
  }));
  for (const itemId of state.items.keys()) state.restoreText(itemId, text, 0);
  return state;
}

/** Creates a job store that checks versions and records its calls. */
function createStore(parts: JobProgress[], versions: number[] = []) {
  const calls: string[] = [];
  const jobStore = {
    writeCheckpointPart: async (
      part: number,
      progress: JobProgress,
      version: number | undefined,
    ) => {
      calls.push(`write ${part}`);
      if (version !== versions[part]) return err(createError('conflict', ''));
      parts[part] = progress;
      versions[part] = (version ?? 0) + 1;
      return ok(versions[part]);
    },
    findCheckpointVersion: async (part: number) => ok(versions[part]),
  } as unknown as JobStore;
  return {jobStore, calls};
}

function createWriter(jobs: readonly JobState[], jobStore: JobStore) {
  let nowMs = 0;
  const clock = {readMonotonicMs: () => nowMs, readWallMs: () => nowMs};
  const writer = CheckpointWriter.create({
    listJobs: () => jobs,
    jobStore,
    clock,
  });
  const advance = () => {
    nowMs += PROGRESS_INTERVAL_MS;
    return writer.writeIfDue();
  };
  return {advance};
}

test('one call writes the checkpoint of several small jobs', async () => {
  const parts: JobProgress[] = [];
  const {jobStore, calls} = createStore(parts);
  const jobs = ['a', 'b', 'c'].map(id => createJob(id, 10, 'short'));
  const {advance} = createWriter(jobs, jobStore);
  await advance();
  await advance();
  expect(calls).toEqual(['write 0', 'write 0']);
  expect(parts[0].items).toHaveLength(12);
});

test('a checkpoint larger than a stored object is split into parts', async () => {
  const parts: JobProgress[] = [];
  const {jobStore} = createStore(parts);
  const {advance} = createWriter(
    [createJob('a', 20), createJob('b', 12)],
    jobStore,
  );
  await advance();
  expect(parts.map(part => part.items.length)).toEqual([2, 2, 3, 1]);
});

test('a new coordinator overwrites the checkpoint of an earlier one', async () => {
  const parts: JobProgress[] = [];
  const {jobStore, calls} = createStore(parts, [7]);
  const {advance} = createWriter([createJob('a', 10)], jobStore);
  await advance();
  expect(parts).toEqual([]);
  await advance();
  expect(parts[0].items).toHaveLength(4);
  expect(calls).toHaveLength(2);
});
