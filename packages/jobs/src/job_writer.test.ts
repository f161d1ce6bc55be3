/** The log of a batch job against a ledger that fails, and other writers. */
import {JobState, createError, createResult} from '@sassafrasspan/core';
import {createTestJob} from '@sassafrasspan/core/testing';
import {SILENT_LOG, SYSTEM_CLOCK} from '@sassafrasspan/runtime';
import {err, ok} from 'neverthrow';
import type {JobLedger, LogRecord} from './job_ledger';
import {JobWriter} from './job_writer';

const JOB = createTestJob({id: 'j', groups: 2, size: 2, desiredGroups: 2});

function finishItem(state: JobState, itemId: string): void {
  const run = {runId: itemId, endpointId: 'e', startedAtMs: 0, firstEvent: 0};
  state.startRun(itemId, run, 0);
  state.addEvents(itemId, itemId, 0, [{data: itemId, version: 1}], 0);
  state.endRun(itemId, itemId, 'completed', 0, 3);
}

/** A log in memory; `failures` next writes are not answered. */
function createLedger(log: LogRecord[], failures = 0) {
  let left = failures;
  return {
    appendRecord: async (_jobId: string, record: LogRecord) => {
      const known = log[record.sequence];
      if (known !== undefined) return ok(known);
      log.push(record);
      left -= 1;
      return left >= 0 ? err(createError('platform-down', 'lost')) : ok(record);
    },
  } as unknown as JobLedger;
}

function createWriter(state: JobState, ledger: JobLedger) {
  const listed: string[] = [];
  const writer = JobWriter.create({
    state,
    ledger,
    writer: 'me',
    findRunDeadline: () => 7_500,
    clock: SYSTEM_CLOCK,
    log: SILENT_LOG,
    onListed: results => listed.push(...results.map(result => result.itemId)),
  });
  return {writer, listed};
}

/** Lets everything run that is due now. */
function waitTurn(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 1));
}

async function finishAll(state: JobState, writer: JobWriter): Promise<void> {
  for (const itemId of state.items.keys()) finishItem(state, itemId);
  writer.schedule();
  while (!state.isComplete()) await waitTurn();
}

test('a write whose answer is lost is found again', async () => {
  const state = JobState.create(JOB, 0);
  const log: LogRecord[] = [];
  const {writer, listed} = createWriter(state, createLedger(log, 1));
  await finishAll(state, writer);
  expect({records: log.length, listed}).toEqual({
    records: 1,
    listed: ['j-0', 'j-1', 'j-2', 'j-3'],
  });
});

test('a record of another home goes first, and no item stands twice', async () => {
  const state = JobState.create(JOB, 0);
  const other = createResult('j-1', [{data: 'other', version: 1}]);
  const log: LogRecord[] = [{sequence: 0, results: [other], writer: 'other'}];
  const {writer, listed} = createWriter(state, createLedger(log));
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

test('a job that ends with unlisted results leaves its writer idle', async () => {
  const state = JobState.create(JOB, 0);
  const log: LogRecord[] = [];
  const {writer} = createWriter(state, createLedger(log));
  finishItem(state, 'j-0');
  state.isEnded = true;
  writer.schedule();
  await waitTurn();
  expect(log).toEqual([]);
});
