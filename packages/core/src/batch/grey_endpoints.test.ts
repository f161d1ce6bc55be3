/**
 * Grey failures: endpoints that appear healthy but fail or interrupt many runs.
 * Their items must continue at other endpoints, while an item that crashes every
 * endpoint must reach only a few of them.
 */
import {BatchSimulation, createTestJob} from '../testing';
import type {RunEnd} from './batch_types';

const FAILING = new Set(['engine-0', 'engine-1', 'engine-2']);
const STEP_LIMIT_MS = 20_000;
/** Number of endpoints that an item may crash before it is not started again. */
const MAX_CRASHED_ENDPOINTS = 5;

function runStep(
  endStart: (engineId: string, itemId: string) => RunEnd | undefined,
) {
  const simulation = BatchSimulation.create({
    engines: 8,
    countEvents: () => 8,
    getImmediateEnd: endStart,
  });
  const job = createTestJob({id: 'a', groups: 20, size: 4, desiredGroups: 18});
  const state = simulation.submitJob(job);
  simulation.advanceUntil(() => state.isComplete(), STEP_LIMIT_MS);
  return {simulation, state};
}

test.each(['broken', 'failed'] as const)(
  'items whose runs end as %s at some endpoints complete at others',
  end => {
    const {state} = runStep(id => (FAILING.has(id) ? end : undefined));
    const states = state.results.map(result => result.state);
    expect(states).toHaveLength(80);
    expect(new Set(states)).toEqual(new Set(['completed']));
  },
);

test('an item that crashes every endpoint reaches a few of them once each', () => {
  const {simulation, state} = runStep((_id, itemId) =>
    itemId === 'a-5' ? 'broken' : undefined,
  );
  const endpointIds = simulation.starts
    .filter(order => order.itemId === 'a-5')
    .map(order => order.endpointId);
  expect(state.results).toHaveLength(79);
  expect(new Set(endpointIds).size).toBe(endpointIds.length);
  expect(endpointIds).toHaveLength(MAX_CRASHED_ENDPOINTS);
});

test('an item that stalls at an endpoint continues at another', () => {
  const simulation = BatchSimulation.create({engines: 2, countEvents: () => 8});
  simulation.engines[0].slowdown = Infinity;
  const job = createTestJob({id: 'a', groups: 1, size: 1, desiredGroups: 1});
  const state = simulation.submitJob(job);
  simulation.advanceUntil(() => state.isComplete(), STEP_LIMIT_MS);
  expect(state.results).toHaveLength(1);
  expect(simulation.starts.length).toBeLessThan(3);
});

test('an item that keeps crashing its only endpoint is not started again', () => {
  const simulation = BatchSimulation.create({
    engines: 1,
    countEvents: () => 8,
    getImmediateEnd: () => 'broken',
  });
  const job = createTestJob({id: 'a', groups: 1, size: 1, desiredGroups: 1});
  simulation.submitJob(job);
  simulation.advance(STEP_LIMIT_MS);
  expect(simulation.starts).toHaveLength(8);
});
