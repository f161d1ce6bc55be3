/**
 * Fuzzes the choice of connections that give way. Guards against more connections
 * than allowed, against cutting one whose request runs, and against a crowd of
 * connections without requests that keeps ordinary callers out.
 */
import fc from 'fast-check';
import {readFuzzParameters} from '../testing/fuzz_parameters';
import {ConnectionStage, ConnectionTable} from './connection_table';

const STAGES: readonly ConnectionStage[] = [
  'unstarted',
  'idle',
  'body',
  'running',
  'answer',
];

const STEP = fc.record({
  kind: fc.constantFrom('open', 'stage', 'bytes', 'close'),
  pick: fc.nat(50),
  stage: fc.constantFrom(...STAGES),
  elapsedMs: fc.nat(3_000),
  address: fc.nat(3),
});

test('the table keeps its bound, and running requests are kept', () => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 8}),
      fc.array(STEP, {maxLength: 200}),
      (maxConnections, steps) => {
        const table = ConnectionTable.create(maxConnections);
        const stages = new Map<number, ConnectionStage>();
        let nowMs = 0;
        let lastId = 0;
        for (const {kind, pick, stage, elapsedMs, address} of steps) {
          nowMs += elapsedMs;
          const ids = [...stages.keys()];
          const id = ids[pick % Math.max(1, ids.length)];
          if (kind === 'open') {
            lastId += 1;
            const evicted = table.open(lastId, String(address), nowMs);
            if (evicted?.id !== lastId) stages.set(lastId, 'unstarted');
            if (evicted !== undefined && evicted.id !== lastId) {
              expect(stages.get(evicted.id)).not.toBe('running');
              stages.delete(evicted.id);
            } else if (evicted !== undefined) {
              const kept = new Set(stages.values());
              expect([...kept]).toEqual(['running']);
            }
          } else if (id !== undefined && kind === 'close') {
            table.close(id);
            stages.delete(id);
          } else if (id !== undefined && kind === 'stage') {
            table.startStage(id, stage, nowMs);
            stages.set(id, stage);
          } else if (id !== undefined) table.recordBytes(id, pick, nowMs);
          expect(table.getSize()).toBe(stages.size);
          expect(stages.size).toBeLessThanOrEqual(maxConnections);
        }
      },
    ),
    readFuzzParameters(20_261_206, 300),
  );
});

test('a body that stops gives way before connections between two requests', () => {
  const table = ConnectionTable.create(3);
  table.open(1, 'a', 0);
  table.startStage(1, 'body', 0);
  table.open(2, 'a', 0);
  table.startStage(2, 'idle', 0);
  table.open(3, 'a', 0);
  table.startStage(3, 'body', 0);
  table.recordBytes(3, 1_000_000, 2_000);
  expect(table.open(4, 'a', 2_000)).toEqual({
    id: 1,
    stage: 'body',
    waitedMs: 2_000,
  });
});

test('an address with over its share gives way among equals', () => {
  const table = ConnectionTable.create(4);
  table.open(1, 'few', 0);
  for (const id of [2, 3, 4]) table.open(id, 'many', id);
  expect(table.open(5, 'few', 100)?.id).toBe(2);
});

test('a client that reads on at an ordinary pace does not lag', () => {
  const table = ConnectionTable.create(2);
  for (const id of [1, 2]) {
    table.open(id, 'a', 0);
    table.startStage(id, 'answer', 0);
  }
  for (let nowMs = 0; nowMs <= 200_000; nowMs += 1_000) {
    table.recordBytes(1, 20_000, nowMs);
    table.recordBytes(2, 1_000, nowMs);
  }
  const lagging = table.listLagging(120_000, 200_000);
  expect(lagging.map(({id}) => id)).toEqual([2]);
});
