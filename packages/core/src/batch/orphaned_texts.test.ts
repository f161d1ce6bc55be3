/** Texts whose software no engine runs any more. */
import {createTestJob} from '../testing';
import {createJobView} from '../testing/plan_views';
import {isOrphaned} from './orphaned_texts';
import {restoreProgress} from './progress';
import type {EngineVersions} from './start_plan';

/** Time to generate the text again, in ms: 10 events of 57 tokens. */
const COST_MS = 10 * 57 * 0.72;

function checkOrphaned(engines: EngineVersions[], waitedMs: number): boolean {
  const job = createTestJob({id: 'a', groups: 1, size: 1, desiredGroups: 1});
  const view = {...createJobView(job), available: engines};
  const item = view.state.items.get('a-0');
  if (item === undefined) throw new Error('the job has no item');
  const event = {data: 'x', version: 2, software: 'old'};
  item.events = Array.from({length: 10}, () => event);
  return isOrphaned(view, item, waitedMs);
}

test('a text waits for ever for an engine of software that is gone', () => {
  const old = {software: 'old', weights: 2};
  const engines = {
    'of the same software': [old],
    'of other software': [{...old, software: 'new'}],
    'with older weights': [{...old, weights: 1}],
  };
  const outcomes = Object.entries(engines).map(([name, list]) => [
    name,
    checkOrphaned(list, COST_MS - 1),
    checkOrphaned(list, COST_MS + 1),
  ]);
  expect(outcomes).toEqual([
    ['of the same software', false, false],
    ['of other software', false, true],
    ['with older weights', false, true],
  ]);
});

test('restored texts begin again before engines have come back after an outage', () => {
  expect(checkOrphaned([], COST_MS + 1)).toBe(false);
  const job = createTestJob({id: 'a', groups: 1, size: 1, desiredGroups: 1});
  const view = {
    ...createJobView(job),
    available: [{software: 'new', weights: 1}],
  };
  const events = Array.from({length: 10}, (): [string, number] => ['x', 1]);
  const saved = {jobId: 'a', itemId: 'a-0', software: 'old', events};
  const restoredAtMs = 60_000;
  restoreProgress(view.state, [{items: [saved]}], restoredAtMs);
  const item = view.state.items.get('a-0');
  if (item === undefined) throw new Error('the job has no item');
  expect([
    isOrphaned(view, item, restoredAtMs + 300),
    isOrphaned(view, item, restoredAtMs + COST_MS + 1),
  ]).toEqual([false, true]);
});
