/**
 * A home that takes over hears its agents one after the other: what they have
 * of an item is used, whichever of them is heard first.
 */
import {createTestJob} from '../testing';
import type {TextEvent} from './batch_types';
import {HomeScheduler} from './home_scheduler';
import {restoreProgress} from './progress';
import type {EngineState, RunUpdate} from './run_messages';

const ENGINE: EngineState = {
  isReachable: true,
  versions: {m: 1},
  isBusy: false,
  running: 0,
  waiting: 0,
  memoryUsed: 0,
};
/** Longer than a new home waits for agents that do not answer, in ms. */
const LONG_MS = 1_000;

/** A new home with one open job of one item and two agents. */
function createHome() {
  let runs = 0;
  const scheduler = HomeScheduler.create({
    findBounds: () => ({
      service: 'lm',
      maxAttempts: 3,
      retentionMs: 40_000,
      runDeadlineMs: 7_500,
    }),
    epoch: 2,
    createRunId: () => `2.${(runs += 1)}`,
  });
  const job = createTestJob({
    id: 'a',
    groups: 1,
    size: 1,
    desiredGroups: 1,
    minVersion: 1,
  });
  const state = scheduler.openJob(job, 0);
  scheduler.startTakeover(0);
  scheduler.setRunners(
    ['first', 'second'].map(endpointId => ({
      endpointId,
      service: 'lm',
      slots: 4,
      memoryTokens: 100_000,
      tokensPerEvent: 57,
      versions: new Map([['m', 1]]),
      isDraining: false,
    })),
    0,
  );
  return {scheduler, state};
}

function createText(count: number): Array<[string, number]> {
  return Array.from({length: count}, (_, index) => [`e${index}`, 1]);
}

function createUpdate(count: number, end?: RunUpdate['end']): RunUpdate {
  return {
    runId: '1.1',
    jobId: 'a',
    itemId: 'a-0',
    endpointId: 'second',
    firstEvent: 0,
    from: 0,
    events: createText(count),
    end,
  };
}

function describeText(events: readonly TextEvent[] | undefined): string {
  return (events ?? []).map(event => event.data).join(' ');
}

test('a new home waits for its agents before it starts items', () => {
  const {scheduler} = createHome();
  scheduler.applySync('first', [], ENGINE, 10);
  expect(scheduler.plan(20)).toEqual([]);
  scheduler.applySync('second', [], ENGINE, 30);
  const started = scheduler.plan(40).flatMap(orders => orders.starts);
  expect(started.map(order => order.itemId)).toEqual(['a-0']);
});

test('a new home does not wait long for an agent that is gone', () => {
  const {scheduler} = createHome();
  scheduler.applySync('first', [], ENGINE, 10);
  const started = scheduler.plan(LONG_MS).flatMap(orders => orders.starts);
  expect(started.map(order => order.endpointId)).toEqual(['first']);
});

/** A home that has begun an item anew before the second agent is heard. */
function createHasty() {
  const {scheduler, state} = createHome();
  const progress = createText(3);
  const items = [{jobId: 'a', itemId: 'a-0', events: progress}];
  restoreProgress(state, [{items}]);
  scheduler.applySync('first', [], ENGINE, 10);
  const [started] = scheduler.plan(LONG_MS).flatMap(orders => orders.starts);
  return {scheduler, state, started};
}

test('a finished text of an agent that is heard late ends the item', () => {
  const {scheduler, state, started} = createHasty();
  scheduler.applySync(
    'second',
    [createUpdate(9, 'completed')],
    ENGINE,
    LONG_MS + 10,
  );
  const stops = scheduler.plan(LONG_MS + 20).flatMap(orders => orders.stops);
  const item = state.items.get('a-0');
  expect(item?.phase).toBe('finished');
  expect(item?.result?.text.split('\n')).toHaveLength(9);
  expect(stops).toEqual([started.runId]);
});

test('a run that is further goes on in place of the one begun anew', () => {
  const {scheduler, state, started} = createHasty();
  scheduler.applySync('second', [createUpdate(40)], ENGINE, LONG_MS + 10);
  const stops = scheduler.plan(LONG_MS + 20).flatMap(orders => orders.stops);
  const item = state.items.get('a-0');
  expect(item?.run?.runId).toBe('1.1');
  expect(describeText(item?.events).split(' ')).toHaveLength(40);
  expect(stops).toEqual([started.runId]);
});

test('a run that is hardly further is broken off', () => {
  const {scheduler, state, started} = createHasty();
  scheduler.applySync('second', [createUpdate(4)], ENGINE, LONG_MS + 10);
  const stops = scheduler.plan(LONG_MS + 20).flatMap(orders => orders.stops);
  expect(state.items.get('a-0')?.run?.runId).toBe(started.runId);
  expect(stops).toEqual(['1.1']);
});

test('a finished text of versions that are too old is not used', () => {
  const {scheduler, state, started} = createHasty();
  const old = createText(9).map(([data]): [string, number] => [data, 0]);
  scheduler.applySync(
    'second',
    [{...createUpdate(9, 'completed'), events: old}],
    ENGINE,
    LONG_MS + 10,
  );
  expect(state.items.get('a-0')?.run?.runId).toBe(started.runId);
});
