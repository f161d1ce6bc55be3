/**
 * Fuzzes idempotency keys. Calls are repeated through any entry while messages
 * are delayed, lost and duplicated and the agents that own the keys restart.
 * The oracle counts the executions of each key.
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

/** Returns a UUIDv7 with this wall-clock time and this last digit. */
function createKey(createdAtMs: number, digit: number): string {
  const time = Math.floor(createdAtMs).toString(16).padStart(12, '0');
  const head = `${time.slice(0, 8)}-${time.slice(8)}`;
  return `${head}${UUID_TAIL.slice(0, -1)}${digit}`;
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
  simulation: RunSimulation,
  keys: Map<number, string>,
  item: Action,
): Promise<void> {
  if (item.type === 'advance') return simulation.advance(item.ms);
  if (item.type === 'restart') return simulation.restartAgent(item.agent);
  if (item.type === 'pause') {
    simulation.network.pauseNode(item.node);
    simulation.network.schedule(item.ms, () =>
      simulation.network.wakeNode(item.node),
    );
    return;
  }
  const nowMs = simulation.network.readWallMs();
  const idempotencyKey = keys.get(item.key) ?? createKey(nowMs, item.key);
  keys.set(item.key, idempotencyKey);
  const {entry, budgetMs} = item;
  const isIdempotent = false;
  const isStreamed = false;
  const request = {entry, budgetMs, isIdempotent, isStreamed, idempotencyKey};
  simulation.submitRequest(request);
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
      const simulation = await RunSimulation.create({
        seed,
        faults,
        ...mechanisms,
      });
      await simulation.advance(2 * SKEW_MS);
      const keys = new Map<number, string>();
      for (const item of actions) await runAction(simulation, keys, item);
      await simulation.settle(RELIABLE_NETWORK);
      counts.completeAnswers += simulation.callerResults.filter(
        item => item.isComplete,
      ).length;
      const violations = simulation.listViolations();
      for (const violation of violations) counts.violations.add(violation);
      expect(violations).toEqual([]);
    },
  );
}

/** Results over all runs of a property. */
interface Counts {
  completeAnswers: number;
  readonly violations: Set<string>;
}

test('calls with the same idempotency key run at most once', async () => {
  const counts: Counts = {completeAnswers: 0, violations: new Set()};
  const property = createProperty({}, counts);
  await fc.assert(property, readFuzzParameters(6_001, 200));
  expect(counts.completeAnswers).toBeGreaterThan(0);
});

test('the oracle reports an owner that runs keys older than its table', async () => {
  const counts: Counts = {completeAnswers: 0, violations: new Set()};
  const createKeyTable = () =>
    IdempotencyTable.create({completeSinceWallMs: -SKEW_MS});
  const property = createProperty({createKeyTable}, counts);
  const details = await fc.check(property, {seed: 6_001, numRuns: 500});
  expect(details.failed).toBe(true);
  expect([...counts.violations]).toMatchSnapshot();
});
