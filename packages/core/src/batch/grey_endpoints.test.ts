/**
 * Grey failures: endpoints that appear healthy but fail or interrupt many runs.
 * Their items must continue at other endpoints. An item under which endpoints crash
 * is retried with pauses, since items do not crash endpoints by themselves.
 */
import {BatchSimulation, createTestJob} from '../testing';
import type {RunEnd} from './batch_types';

const FAILING = new Set(['engine-0', 'engine-1', 'engine-2']);
const STEP_LIMIT_MS = 20_000;
/** Number of starts of an item under which endpoints crash without pauses. */
const MAX_QUICK_STARTS = 3;
/** Shortest pause after those, in ms. */
const MIN_PAUSE_MS = 1_500;
/** Time after which an item that could run must have been placed, in ms. */
const MAX_PAUSE_MS = 5_000;

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

/** Plays a step in which every run of one item is broken off until a time. */
function runBurst(engines: number, calmAtMs: number) {
  const startTimes: number[] = [];
  const endpointIds: string[] = [];
  const simulation = BatchSimulation.create({
    engines,
    countEvents: () => 8,
    getImmediateEnd: (engineId, itemId) => {
      if (itemId !== 'a-5') return undefined;
      startTimes.push(simulation.nowMs);
      endpointIds.push(engineId);
      return simulation.nowMs < calmAtMs ? 'broken' : undefined;
    },
  });
  const job = createTestJob({id: 'a', groups: 20, size: 4, desiredGroups: 18});
  const state = simulation.submitJob(job);
  simulation.advanceUntil(() => state.isComplete(), STEP_LIMIT_MS);
  return {state, startTimes, endpointIds};
}

test.each([1, 8])(
  'an item under which endpoints crashed is never placed again, with %i endpoints',
  engines => {
    const {state} = runBurst(engines, STEP_LIMIT_MS / 2);
    expect(state.results).toHaveLength(80);
    const states = new Set(state.results.map(result => result.state));
    expect(states).toEqual(new Set(['completed']));
  },
);

test('an item that breaks each run is started without pauses', () => {
  const {state, startTimes, endpointIds} = runBurst(8, Infinity);
  expect(state.results).toHaveLength(79);
  const pauses = startTimes
    .slice(MAX_QUICK_STARTS)
    .map((atMs, index) => atMs - startTimes[index + MAX_QUICK_STARTS - 1]);
  expect(Math.min(...pauses)).toBeGreaterThanOrEqual(MIN_PAUSE_MS);
  expect(Math.max(...pauses)).toBeLessThan(MAX_PAUSE_MS);
  const visits = endpointIds.slice(0, MAX_QUICK_STARTS);
  expect(new Set(visits).size).toBe(MAX_QUICK_STARTS);
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
