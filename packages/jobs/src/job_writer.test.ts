/** Tests the log writer with store failures and with other writers. */
import {
  JobState,
  createError,
  createCompletedResult,
} from '@sassafrasspan/core';
import {createTestJob} from '@sassafrasspan/core/testing';
import {SILENT_LOG, SYSTEM_CLOCK} from '@sassafrasspan/runtime';
import {err, ok} from 'neverthrow';
import type {JobStore, LogRecord} from './job_store';
import {JobWriter} from './job_writer';

const JOB = createTestJob({id: 'j', groups: 2, size: 2, desiredGroups: 2});

function finishItem(state: JobState, itemId: string): void {
  const run = {runId: itemId, endpointId: 'e', startedAtMs: 0, firstEvent: 0};
  state.startRun(itemId, run, 0);
  state.addEvents(
    itemId,
    itemId,
    0,
    [{data: itemId, version: 1, software: 's'}],
    0,
  );
  state.endRun(itemId, itemId, 'completed', 0, 3);
}

/** Creates a log in memory; the first `failures` writes are stored but fail. */
function createStore(log: LogRecord[], failures = 0) {
  let remainingFailures = failures;
  return {
    appendRecord: async (_jobId: string, record: LogRecord) => {
      const existing = log[record.sequence];
      if (existing !== undefined) return ok(existing);
      log.push(record);
      remainingFailures -= 1;
      return remainingFailures >= 0
        ? err(createError('platform-down', 'lost'))
        : ok(record);
    },
  } as unknown as JobStore;
}

function createWriter(state: JobState, jobStore: JobStore) {
  const listed: string[] = [];
  const writer = JobWriter.create({
    state,
    jobStore,
    writer: 'me',
    findBounds: () => ({runDeadlineMs: 7_500, tokensPerEvent: 57}),
    clock: SYSTEM_CLOCK,
    log: SILENT_LOG,
    onListed: results => listed.push(...results.map(result => result.itemId)),
  });
  return {writer, listed};
}

/** Yields to timers that are due. */
function waitTurn(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 1));
}

async function finishAll(state: JobState, writer: JobWriter): Promise<void> {
  for (const itemId of state.items.keys()) finishItem(state, itemId);
  writer.schedule();
  while (!state.isComplete()) await waitTurn();
}

test('a retry finds the record that was stored although the write failed', async () => {
  const state = JobState.create(JOB, 0);
  const log: LogRecord[] = [];
  const {writer, listed} = createWriter(state, createStore(log, 1));
  await finishAll(state, writer);
  expect({records: log.length, listed}).toEqual({
    records: 1,
    listed: ['j-0', 'j-1', 'j-2', 'j-3'],
  });
});

test('a record of another coordinator comes first, and no item is listed twice', async () => {
  const state = JobState.create(JOB, 0);
  const other = createCompletedResult('j-1', [
    {data: 'other', version: 1, software: 's'},
  ]);
  const log: LogRecord[] = [{sequence: 0, results: [other], writer: 'other'}];
  const {writer, listed} = createWriter(state, createStore(log));
  await finishAll(state, writer);
  expect({
    listed,
    texts: state.results.map(result => result.text),
    records: log.length,
  }).toEqual({
    listed: ['j-1', 'j-0', 'j-2', 'j-3'],
    texts: ['other', 'j-0', 'j-2', 'j-3'],
    records: 2,
  });
});

test('nothing is written for a job that ended with unlisted results', async () => {
  const state = JobState.create(JOB, 0);
  const log: LogRecord[] = [];
  const {writer} = createWriter(state, createStore(log));
  finishItem(state, 'j-0');
  state.isEnded = true;
  writer.schedule();
  await waitTurn();
  expect(log).toEqual([]);
});

test('results that complete the step do not wait for a write that collects', async () => {
  jest.useFakeTimers();
  await jest.advanceTimersByTimeAsync(2_000);
  const state = JobState.create(JOB, 0);
  const {writer, listed} = createWriter(state, createStore([]));
  finishItem(state, 'j-0');
  writer.schedule();
  await jest.advanceTimersByTimeAsync(1);
  finishItem(state, 'j-1');
  writer.schedule();
  await jest.advanceTimersByTimeAsync(1);
  const listedBefore = [...listed];
  finishItem(state, 'j-2');
  finishItem(state, 'j-3');
  writer.schedule();
  await jest.advanceTimersByTimeAsync(1);
  jest.useRealTimers();
  expect({listedBefore, listed}).toEqual({
    listedBefore: ['j-0'],
    listed: ['j-0', 'j-1', 'j-2', 'j-3'],
  });
});
