/**
 * Fuzzes idempotency keys: calls that are sent again through any entry while
 * messages are delayed, lost and doubled and the keys' homes restart. The
 * oracle counts the executions of each key.
 */
import {IdempotencyTable} from '@sassafrasspan/core';
import {
  RELIABLE_NETWORK,
  readFuzzParameters,
} from '@sassafrasspan/core/testing';
import fc from 'fast-check';
import {
  AGENTS,
  ENTRIES,
  RunSimulation,
  RunSimulationOptions,
} from '../testing/run_simulation';

const SKEW_MS = 5_000;
const UUID_TAIL = '-7000-8000-000000000000';

type Mechanisms = Pick<RunSimulationOptions, 'createKeyTable'>;

/** Writes a UUIDv7 made at a wall-clock time, told apart by a number. */
function createKey(madeAtMs: number, number: number): string {
  const time = Math.floor(madeAtMs).toString(16).padStart(12, '0');
  const head = `${time.slice(0, 8)}-${time.slice(8)}`;
  return `${head}${UUID_TAIL.slice(0, -1)}${number}`;
}

const action = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('submit' as const),
      entry: fc.constantFrom(...ENTRIES),
      key: fc.integer({min: 0, max: 2}),
      budgetMs: fc.integer({min: 200, max: 8_000}),
    }),
  },
  fc.record({
    type: fc.constant('advance' as const),
    ms: fc.integer({min: 50, max: 3_000}),
  }),
  fc.record({
    type: fc.constant('restart' as const),
    agent: fc.constantFrom(...AGENTS),
  }),
  fc.record({
    type: fc.constant('pause' as const),
    node: fc.constantFrom(...ENTRIES, ...AGENTS),
    ms: fc.integer({min: 100, max: 9_000}),
  }),
);

type Action = typeof action extends fc.Arbitrary<infer T> ? T : never;

async function runAction(
  world: RunSimulation,
  keys: Map<number, string>,
  item: Action,
): Promise<void> {
  if (item.type === 'advance') return world.advance(item.ms);
  if (item.type === 'restart') return world.restartAgent(item.agent);
  if (item.type === 'pause') {
    world.network.pauseNode(item.node);
    world.network.schedule(item.ms, () => world.network.wakeNode(item.node));
    return;
  }
  const madeAtMs = world.network.readWallMs();
  const idempotencyKey = keys.get(item.key) ?? createKey(madeAtMs, item.key);
  keys.set(item.key, idempotencyKey);
  const {entry, budgetMs} = item;
  const isIdempotent = false;
  const isStreamed = false;
  const request = {entry, budgetMs, isIdempotent, isStreamed, idempotencyKey};
  world.submitRequest(request);
}

function createProperty(mechanisms: Mechanisms, counts: Counts) {
  return fc.asyncProperty(
    fc.integer(),
    fc.record({
      minDelayMs: fc.constant(1),
      maxDelayMs: fc.constantFrom(5, 500, 4_000),
      dropShare: fc.constantFrom(0, 0.1),
      duplicateShare: fc.constantFrom(0, 0.3),
    }),
    fc.array(action, {maxLength: 20}),
    async (seed, faults, actions) => {
      const world = await RunSimulation.create({seed, faults, ...mechanisms});
      await world.advance(2 * SKEW_MS);
      const keys = new Map<number, string>();
      for (const item of actions) await runAction(world, keys, item);
      await world.settle(RELIABLE_NETWORK);
      counts.whole += world.callerResults.filter(
        item => item.isComplete,
      ).length;
      const violations = world.listViolations();
      for (const violation of violations) counts.seen.add(violation);
      expect(violations).toEqual([]);
    },
  );
}

/** What the runs of a property came to. */
interface Counts {
  whole: number;
  readonly seen: Set<string>;
}

test('the call of one key runs at most once', async () => {
  const counts: Counts = {whole: 0, seen: new Set()};
  const property = createProperty({}, counts);
  await fc.assert(property, readFuzzParameters(6_001, 200));
  expect(counts.whole).toBeGreaterThan(0);
});

test('the oracle reports a home that runs keys older than itself', async () => {
  const counts: Counts = {whole: 0, seen: new Set()};
  const createKeyTable = () =>
    IdempotencyTable.create({completeSinceWallMs: -SKEW_MS});
  const property = createProperty({createKeyTable}, counts);
  const checked = await fc.check(property, {seed: 6_001, numRuns: 500});
  expect(checked.failed).toBe(true);
  expect([...counts.seen]).toMatchSnapshot();
});
