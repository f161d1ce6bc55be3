/**
 * Random faults around the home of batch jobs: engines crash, slow down and go
 * dark, agents are cut off, homes are replaced. Whatever happens, each item is
 * listed once, with the whole of its text, made by versions that the job takes.
 */
import fc from 'fast-check';
import {BatchSimulation, createTestJob, readFuzzParameters} from '../testing';
import type {JobResult} from './batch_types';

const ITEMS = 24;

type Fault =
  | {type: 'crash'; engine: number}
  | {type: 'slow'; engine: number; by: number}
  | {type: 'dark'; engine: number}
  | {type: 'cut'; engine: number}
  | {type: 'heal'}
  | {type: 'home'}
  | {type: 'version'}
  | {type: 'wait'; ms: number};

const ENGINE = fc.integer({min: 0, max: 3});
const FAULT: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({type: fc.constant('crash' as const), engine: ENGINE}),
  fc.record({
    type: fc.constant('slow' as const),
    engine: ENGINE,
    by: fc.integer({min: 1, max: 6}),
  }),
  fc.record({type: fc.constant('dark' as const), engine: ENGINE}),
  fc.record({type: fc.constant('cut' as const), engine: ENGINE}),
  fc.constant({type: 'heal' as const}),
  fc.constant({type: 'home' as const}),
  fc.constant({type: 'version' as const}),
  fc.record({
    type: fc.constant('wait' as const),
    ms: fc.integer({min: 50, max: 1_500}),
  }),
);

function countEvents(itemId: string): number {
  return 3 + (Number(itemId.split('-')[1]) % 9) * 6;
}

function applyFault(
  world: BatchSimulation,
  fault: Fault,
  versions: number[],
): void {
  switch (fault.type) {
    case 'crash':
      return world.crashEngine(world.engines[fault.engine]);
    case 'slow':
      world.engines[fault.engine].slowdown = fault.by;
      return;
    case 'dark':
      world.engines[fault.engine].isDown = true;
      return;
    case 'cut':
      world.engines[fault.engine].isPartitioned = true;
      return;
    case 'heal':
      for (const engine of world.engines) {
        engine.isDown = false;
        engine.isPartitioned = false;
        engine.slowdown = 1;
      }
      return;
    case 'home':
      return world.replaceCoordinator();
    case 'version':
      versions[0] += 1;
      return world.scheduler.setNewest('m', versions[0], world.nowMs);
    default:
      return world.advance(fault.ms);
  }
}

function checkResults(results: readonly JobResult[], minVersion: number): void {
  const ids = results.map(result => result.itemId);
  expect(new Set(ids).size).toBe(ids.length);
  for (const {itemId, text, versions, state} of results) {
    expect(state).toBe('completed');
    const whole = Array.from(
      {length: countEvents(itemId)},
      (_, index) => `${itemId}:${index}`,
    );
    expect(text).toBe(whole.join('\n'));
    expect(Math.min(...versions)).toBeGreaterThanOrEqual(minVersion);
  }
}

test('every item is listed once and whole, whatever fails', () => {
  fc.assert(
    fc.property(fc.array(FAULT, {maxLength: 25}), faults => {
      const world = BatchSimulation.create({engines: 4, slots: 3, countEvents});
      const versions = [1];
      world.submitJob(
        createTestJob({id: 'a', groups: 6, size: 4, desiredGroups: 5}),
      );
      for (const fault of faults) {
        applyFault(world, fault, versions);
        world.advance(100);
      }
      applyFault(world, {type: 'heal'}, versions);
      const isDone = () => world.findJob('a')?.results.length === ITEMS;
      expect(world.advanceUntil(isDone, 30_000)).toBe(true);
      const results = (world.logs.get('a') ?? []).flat();
      checkResults(results, 1);
    }),
    readFuzzParameters(1, 60),
  );
});

test('a job that asks for it has texts of one version each', () => {
  fc.assert(
    fc.property(fc.array(FAULT, {maxLength: 25}), faults => {
      const world = BatchSimulation.create({engines: 4, slots: 3, countEvents});
      const versions = [1];
      world.submitJob(
        createTestJob({
          id: 'a',
          groups: 6,
          size: 4,
          desiredGroups: 5,
          isSingleVersion: true,
        }),
      );
      for (const fault of faults) {
        applyFault(world, fault, versions);
        world.advance(100);
      }
      applyFault(world, {type: 'heal'}, versions);
      const isDone = () => world.findJob('a')?.results.length === ITEMS;
      expect(world.advanceUntil(isDone, 30_000)).toBe(true);
      const results = (world.logs.get('a') ?? []).flat();
      checkResults(results, 1);
      expect(results.every(({versions: by}) => by.length === 1)).toBe(true);
    }),
    readFuzzParameters(4, 60),
  );
});

test('no item starts after the end of its job', () => {
  fc.assert(
    fc.property(
      fc.array(FAULT, {maxLength: 12}),
      fc.integer({min: 0, max: 900}),
      (faults, endMs) => {
        const world = BatchSimulation.create({
          engines: 4,
          slots: 2,
          countEvents,
        });
        world.submitJob(
          createTestJob({id: 'a', groups: 6, size: 4, desiredGroups: 5}),
        );
        world.advance(endMs);
        world.endJob('a');
        const before = world.starts.length;
        for (const fault of faults) {
          applyFault(world, fault, [1]);
          world.advance(100);
        }
        expect(world.starts.length).toBe(before);
      },
    ),
    readFuzzParameters(2, 60),
  );
});

test('text of an ended job is used again only if its versions fit', () => {
  fc.assert(
    fc.property(
      fc.integer({min: 100, max: 2_500}),
      fc.integer({min: 1, max: 3}),
      fc.integer({min: 1, max: 3}),
      (endMs, newest, minVersion) => {
        const world = BatchSimulation.create({
          engines: 2,
          slots: 6,
          countEvents,
        });
        const first = createTestJob({
          id: 'a',
          groups: 2,
          size: 4,
          desiredGroups: 2,
        });
        world.submitJob(first);
        world.scheduler.setNewest('m', newest, world.nowMs);
        world.advance(endMs);
        world.endJob('a');
        world.advance(400);
        world.scheduler.setNewest(
          'm',
          Math.max(newest, minVersion),
          world.nowMs,
        );
        world.submitJob(
          createTestJob({
            id: 'b',
            groups: 1,
            size: 4,
            desiredGroups: 3,
            minVersion,
            repeatedItems: first.items,
          }),
        );
        const isDone = () => world.findJob('b')?.results.length === 12;
        expect(world.advanceUntil(isDone, 30_000)).toBe(true);
        checkResults((world.logs.get('b') ?? []).flat(), minVersion);
      },
    ),
    readFuzzParameters(3, 60),
  );
});
