/**
 * Endpoints that look well and bring many runs to nothing: items go on
 * elsewhere. An item that breaks every endpoint reaches a few of them only.
 */
import {BatchSimulation, createTestJob} from '../testing';
import type {RunEnd} from './batch_types';

const GREY = new Set(['engine-0', 'engine-1', 'engine-2']);
const STEP_LIMIT_MS = 20_000;
/** Endpoints that an item may break before it is not run any more. */
const MAX_BROKEN = 5;

function runStep(
  endStart: (engineId: string, itemId: string) => RunEnd | undefined,
) {
  const world = BatchSimulation.create({
    engines: 8,
    countEvents: () => 8,
    getImmediateEnd: endStart,
  });
  const job = createTestJob({id: 'a', groups: 20, size: 4, desiredGroups: 18});
  const state = world.submitJob(job);
  world.advanceUntil(() => state.isComplete(), STEP_LIMIT_MS);
  return {world, state};
}

test.each(['broken', 'failed'] as const)(
  'runs that end as %s at some endpoints go on at others',
  end => {
    const {state} = runStep(id => (GREY.has(id) ? end : undefined));
    const states = state.results.map(result => result.state);
    expect(states).toHaveLength(80);
    expect(new Set(states)).toEqual(new Set(['completed']));
  },
);

test('an item that breaks every endpoint reaches a few of them once each', () => {
  const {world, state} = runStep((_id, itemId) =>
    itemId === 'a-5' ? 'broken' : undefined,
  );
  const tried = world.starts
    .filter(order => order.itemId === 'a-5')
    .map(order => order.endpointId);
  expect(state.results).toHaveLength(79);
  expect(new Set(tried).size).toBe(tried.length);
  expect(tried).toHaveLength(MAX_BROKEN);
});

test('an item that stalls at an endpoint goes on at another', () => {
  const world = BatchSimulation.create({engines: 2, countEvents: () => 8});
  world.engines[0].slowdown = Infinity;
  const job = createTestJob({id: 'a', groups: 1, size: 1, desiredGroups: 1});
  const state = world.submitJob(job);
  world.advanceUntil(() => state.isComplete(), STEP_LIMIT_MS);
  expect(state.results).toHaveLength(1);
  expect(world.starts.length).toBeLessThan(3);
});

test('an item that breaks its only endpoint is given up', () => {
  const world = BatchSimulation.create({
    engines: 1,
    countEvents: () => 8,
    getImmediateEnd: () => 'broken',
  });
  const job = createTestJob({id: 'a', groups: 1, size: 1, desiredGroups: 1});
  world.submitJob(job);
  world.advance(STEP_LIMIT_MS);
  expect(world.starts).toHaveLength(8);
});
