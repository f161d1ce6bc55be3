/** Texts of runs that go on after their job has ended, which later jobs reuse. */
import {createTestJob} from '../testing';
import {CarryOver} from './carry_over';
import {JobState} from './job_state';
import type {RunUpdate} from './run_messages';

const JOB = createTestJob({
  id: 'a',
  groups: 1,
  size: 1,
  desiredGroups: 1,
  minVersion: 1,
});

/** Creates an update with `count` events of the run, from position `from` on. */
function createUpdate(
  from: number,
  count: number,
  end?: RunUpdate['end'],
): RunUpdate {
  const base = {runId: '1.1', jobId: 'a', itemId: 'a-0', endpointId: 'e'};
  const events = Array.from({length: count}, (_, index): [string, number] => [
    `e${from + index}`,
    1,
  ]);
  return {...base, software: 's', firstEvent: 0, from, events, end};
}

/** Applies updates to a run that was detached after two events. Returns whether each
 * was applied, and what a later job reuses. */
function reuseText(updates: readonly RunUpdate[]) {
  const ended = JobState.create(JOB, 0);
  const run = {runId: '1.1', endpointId: 'e', startedAtMs: 0, firstEvent: 0};
  ended.startRun('a-0', run, 0);
  const text = createUpdate(0, 2).events.map(([data, version]) => {
    return {data, version, software: 's'};
  });
  ended.addEvents('a-0', '1.1', 0, text, 0);
  const carryOver = CarryOver.create();
  for (const item of ended.items.values()) carryOver.saveItem(item, 1, 0, true);
  const applied = updates.map(update => carryOver.applyUpdate(update));
  const next = JobState.create({...JOB, id: 'b'}, 0);
  const {reusable, obsolete} = carryOver.restoreInto(next, 0);
  const item = next.items.get('a-0');
  return {
    applied,
    phase: item?.phase,
    events: item?.events.map(({data}) => data).join(' '),
    result: item?.result?.text.replaceAll('\n', ' '),
    goesOn: reusable.length,
    stopped: obsolete.length,
  };
}

// Guards against texts with missing and doubled events: a detached run went on after
// a gap, and the next job resumed it at the length of what was left.
test('a detached run whose updates have a gap passes on its text so far', () => {
  expect(reuseText([createUpdate(4, 2)])).toEqual({
    applied: [false],
    phase: 'waiting',
    events: 'e0 e1',
    result: undefined,
    goesOn: 0,
    stopped: 0,
  });
  expect(reuseText([createUpdate(4, 2, 'completed')])).toMatchObject({
    applied: [false],
    phase: 'waiting',
    events: 'e0 e1',
  });
});

test('a detached run takes updates that overlap', () => {
  const updates = [createUpdate(1, 2), createUpdate(0, 4)];
  expect(reuseText(updates)).toMatchObject({
    applied: [true, true],
    events: 'e0 e1 e2 e3',
    goesOn: 1,
  });
  const last = createUpdate(0, 5, 'completed');
  expect(reuseText([...updates, last])).toMatchObject({
    applied: [true, true, true],
    phase: 'finished',
    result: 'e0 e1 e2 e3 e4',
  });
});
