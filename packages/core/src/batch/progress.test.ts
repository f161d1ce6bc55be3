/** Bounds the text that a crash of all nodes loses at any moment of a step. */
import {BatchSimulation, createTestJob} from '../testing';
import type {JobState} from './job_state';
import {
  PROGRESS_INTERVAL_MS,
  collectProgress,
  decodeProgress,
} from './progress';

/** Maximum generation time of a run that a crash of all nodes may lose, in ms. */
const MAX_LOST_MS = 1_000;
/** Time per event of a run with eleven concurrent runs, in ms. */
const EVENT_MS = 40;
const ADVANCE_MS = 50;

/** Returns the largest number of events of an item that are neither in the log
 * nor in a checkpoint. */
function countLostEvents(
  state: JobState,
  savedEvents: ReadonlyMap<string, number>,
): number {
  const lost = [...state.items.values()].map(({item, phase, events}) =>
    phase === 'listed' ? 0 : events.length - (savedEvents.get(item.id) ?? 0),
  );
  return Math.max(...lost);
}

test('a crash of all nodes costs no run more than a second', () => {
  const simulation = BatchSimulation.create({
    engines: 4,
    countEvents: itemId =>
      5 + ((itemId.length * 7 + Number(itemId.at(-1)) * 17) % 110),
  });
  const state = simulation.submitJob(
    createTestJob({id: 'a', groups: 24, size: 4, desiredGroups: 24}),
  );
  let savedEvents = new Map<string, number>();
  let savedAtMs = 0;
  let mostLost = 0;
  while (!state.isComplete()) {
    simulation.advance(ADVANCE_MS);
    mostLost = Math.max(mostLost, countLostEvents(state, savedEvents));
    if (simulation.nowMs - savedAtMs < PROGRESS_INTERVAL_MS) continue;
    savedAtMs = simulation.nowMs;
    const items = collectProgress([state]).flatMap(part => part.items);
    savedEvents = new Map(items.map(item => [item.itemId, item.events.length]));
  }
  expect(mostLost).toBeGreaterThan(0);
  expect(mostLost * EVENT_MS).toBeLessThanOrEqual(MAX_LOST_MS);
});

// Guards against a checkpoint that is lost for one text that can't be read.
test('an odd text in a part of a checkpoint costs the others', () => {
  const text = {jobId: 'j', software: 's', events: [['x', 1]]};
  const sound = {...text, itemId: 'a'};
  const odd = {...text, itemId: 'b', events: [['x', null]]};
  expect(decodeProgress({items: [odd, sound, 'odd']})).toEqual({
    items: [sound],
  });
  expect(decodeProgress({items: 'odd'})).toEqual({items: []});
  expect(decodeProgress(null)).toEqual({items: []});
});
