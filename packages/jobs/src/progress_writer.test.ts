/** The checkpoint of a home against a ledger in memory. */
import {
  JobProgress,
  JobState,
  PROGRESS_INTERVAL_MS,
  createError,
} from '@sassafrasspan/core';
import {createTestJob} from '@sassafrasspan/core/testing';
import {err, ok} from 'neverthrow';
import type {JobLedger} from './job_ledger';
import {ProgressWriter} from './progress_writer';

/** Characters of an event, so that a few texts fill a part. */
const EVENT_CHARACTERS = 10_000;

/** A job whose items have so many events each. */
function createJob(
  id: string,
  events: number,
  data = 'x'.repeat(EVENT_CHARACTERS),
): JobState {
  const job = createTestJob({id, groups: 1, size: 4, desiredGroups: 1});
  const state = JobState.create(job, 0);
  const text = Array.from({length: events}, () => ({data, version: 1}));
  for (const itemId of state.items.keys()) state.adoptText(itemId, text);
  return state;
}

/** A ledger that keeps parts, written on top of versions that are known. */
function createLedger(parts: JobProgress[], versions: number[] = []) {
  const calls: string[] = [];
  const ledger = {
    writeProgress: async (
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
    findProgressVersion: async (part: number) => ok(versions[part]),
  } as unknown as JobLedger;
  return {ledger, calls};
}

function createWriter(jobs: readonly JobState[], ledger: JobLedger) {
  let nowMs = 0;
  const clock = {readMonotonicMs: () => nowMs, readWallMs: () => nowMs};
  const writer = ProgressWriter.create({listJobs: () => jobs, ledger, clock});
  const advance = () => {
    nowMs += PROGRESS_INTERVAL_MS;
    return writer.advance();
  };
  return {advance};
}

test('several jobs cost one call for a checkpoint', async () => {
  const parts: JobProgress[] = [];
  const {ledger, calls} = createLedger(parts);
  const jobs = ['a', 'b', 'c'].map(id => createJob(id, 10, 'short'));
  const {advance} = createWriter(jobs, ledger);
  await advance();
  await advance();
  expect(calls).toEqual(['write 0', 'write 0']);
  expect(parts[0].items).toHaveLength(12);
});

test('a checkpoint over the size of an object is written in parts', async () => {
  const parts: JobProgress[] = [];
  const {ledger} = createLedger(parts);
  const {advance} = createWriter(
    [createJob('a', 20), createJob('b', 12)],
    ledger,
  );
  await advance();
  expect(parts.map(part => part.items.length)).toEqual([2, 2, 3, 1]);
});

test('a home writes on top of what an earlier one has left', async () => {
  const parts: JobProgress[] = [];
  const {ledger, calls} = createLedger(parts, [7]);
  const {advance} = createWriter([createJob('a', 10)], ledger);
  await advance();
  expect(parts).toEqual([]);
  await advance();
  expect(parts[0].items).toHaveLength(4);
  expect(calls).toHaveLength(2);
});
