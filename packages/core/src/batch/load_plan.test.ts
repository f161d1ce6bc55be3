/**
 * Guards against loads that leave a step without endpoints: a step arrives
 * shortly after its version is announced and must find endpoints of its model
 * that accept runs.
 */
import {LoadableEndpoint, VersionDemand, planLoads} from './load_plan';

/** Longer than the delay between a version and its step, in ms. */
const LONG_MS = 5_000;

/** Creates endpoints of three models, all at the same version. */
function createEndpoints(version: number): LoadableEndpoint[] {
  return ['a', 'a', 'a', 'b', 'b', 'c', 'c', 'c'].map((model, index) => ({
    id: `e${index}`,
    versions: new Map([[model, version]]),
    isBusy: false,
    runs: 0,
    models: new Set([model]),
  }));
}

function createDemand(values: Partial<VersionDemand>): VersionDemand {
  return {
    model: 'b',
    newestVersion: 5,
    minVersion: 4,
    sinceAnnouncedMs: LONG_MS,
    ...values,
  };
}

function listLoads(demands: readonly VersionDemand[], version = 4) {
  return planLoads(demands, createEndpoints(version)).map(load => load.model);
}

test('one of two endpoints of a model accepts runs while the other loads', () => {
  expect(listLoads([createDemand({})])).toEqual(['b']);
});

test('endpoints that are too old for a step load at the same time', () => {
  expect(listLoads([createDemand({minVersion: 5})])).toEqual(['b', 'b']);
});

test('endpoints load a version only after its step has had time to start', () => {
  expect(listLoads([createDemand({sinceAnnouncedMs: 100})])).toEqual([]);
  const late = createDemand({sinceAnnouncedMs: 100, minVersion: 5});
  expect(listLoads([late])).toEqual(['b', 'b']);
});

test('several models load at once within the limit for all endpoints', () => {
  const demands = ['a', 'b', 'c'].map(model => createDemand({model}));
  expect(listLoads(demands)).toHaveLength(2);
});
