/** What a crash of everything costs a step, at any moment of it. */
import {BatchSimulation, createTestJob} from '../testing';
import type {JobState} from './job_state';
import {PROGRESS_INTERVAL_MS, collectProgress} from './progress';

/** Most of a run that a crash of everything may cost, in ms. */
const MAX_LOST_MS = 1_000;
/** Time for an event of a run beside eleven others, in ms. */
const EVENT_MS = 40;
const TICK_MS = 50;

/** Counts the events of each item that neither log nor checkpoint has. */
function countLostEvents(
  state: JobState,
  kept: ReadonlyMap<string, number>,
): number {
  const lost = [...state.items.values()].map(({item, phase, events}) =>
    phase === 'listed' ? 0 : events.length - (kept.get(item.id) ?? 0),
  );
  return Math.max(...lost);
}

test('a crash of everything costs no run more than a second', () => {
  const world = BatchSimulation.create({
    engines: 4,
    countEvents: itemId =>
      5 + ((itemId.length * 7 + Number(itemId.at(-1)) * 17) % 110),
  });
  const state = world.submitJob(
    createTestJob({id: 'a', groups: 24, size: 4, desiredGroups: 24}),
  );
  let kept = new Map<string, number>();
  let keptAtMs = 0;
  let mostLost = 0;
  while (!state.isComplete()) {
    world.advance(TICK_MS);
    mostLost = Math.max(mostLost, countLostEvents(state, kept));
    if (world.nowMs - keptAtMs < PROGRESS_INTERVAL_MS) continue;
    keptAtMs = world.nowMs;
    const items = collectProgress([state]).flatMap(part => part.items);
    kept = new Map(items.map(item => [item.itemId, item.events.length]));
  }
  expect(mostLost).toBeGreaterThan(0);
  expect(mostLost * EVENT_MS).toBeLessThanOrEqual(MAX_LOST_MS);
});
