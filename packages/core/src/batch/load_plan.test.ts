/**
 * Loads beside steps: a step arrives just after its version is named, and finds
 * endpoints of its model open.
 */
import {LoadableEndpoint, ModelDemand, planLoads} from './load_plan';

/** Longer than a step takes to arrive after its version, in ms. */
const LONG_MS = 5_000;

/** Endpoints of three models, all at one version. */
function createEndpoints(version: number): LoadableEndpoint[] {
  return ['a', 'a', 'a', 'b', 'b', 'c', 'c', 'c'].map((model, index) => ({
    id: `e${index}`,
    versions: new Map([[model, version]]),
    isBusy: false,
    runs: 0,
    models: new Set([model]),
  }));
}

function createDemand(values: Partial<ModelDemand>): ModelDemand {
  return {
    model: 'b',
    newestVersion: 5,
    minVersion: 4,
    sinceAnnouncedMs: LONG_MS,
    ...values,
  };
}

function listLoads(demands: readonly ModelDemand[], version = 4) {
  return planLoads(demands, createEndpoints(version)).map(load => load.model);
}

test('one of two endpoints of a model stays open while the other loads', () => {
  expect(listLoads([createDemand({})])).toEqual(['b']);
});

test('endpoints that are too old for a step load together', () => {
  expect(listLoads([createDemand({minVersion: 5})])).toEqual(['b', 'b']);
});

test('a step that comes with a version starts before endpoints load it', () => {
  expect(listLoads([createDemand({sinceAnnouncedMs: 100})])).toEqual([]);
  const late = createDemand({sinceAnnouncedMs: 100, minVersion: 5});
  expect(listLoads([late])).toEqual(['b', 'b']);
});

test('several models load at once within the bound of the pool', () => {
  const demands = ['a', 'b', 'c'].map(model => createDemand({model}));
  expect(listLoads(demands)).toHaveLength(2);
});
