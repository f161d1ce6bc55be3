/** Replays days with too little capacity; the plan must complete more groups in
 * time than one that starts all groups. */
import {createRandomSource} from '../shared/clock';
import {BatchSimulation, SimulatedTrainer} from '../testing';
import {
  DEFAULT_POLICY,
  POLICY_WITHOUT_SCARCITY,
  SchedulingPolicy,
} from './batch_planner';

const TOKENS_PER_EVENT = 57;
const ENGINES = 8;
const SEED = 1;
/** The plan without regard to scarcity. */

interface Day {
  readonly trainers: number;
  readonly groups: number;
  readonly durationMs: number;
  readonly disturb: (simulation: BatchSimulation) => void;
}

/** Draws lengths with a long tail, and estimates that are right at the median. */
function createLengths(seed: number) {
  const random = createRandomSource(seed);
  const drawNormal = () =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const lengths = new Map<string, {events: number; estimate: number}>();
  return (itemId: string) => {
    const known = lengths.get(itemId);
    if (known !== undefined) return known;
    const drawn =
      18 * Math.exp(0.84 * drawNormal()) * (random() < 0.08 ? 5 : 1);
    const events = Math.max(2, Math.min(181, Math.round(drawn)));
    const estimate = events * TOKENS_PER_EVENT * Math.exp(0.5 * drawNormal());
    lengths.set(itemId, {events, estimate});
    return {events, estimate};
  };
}

/** Runs a day; returns the groups that were complete in time, those that trainers
 * waited for, and the starts in their order. */
function replay(day: Day, policy: SchedulingPolicy) {
  const findLength = createLengths(SEED);
  const simulation = BatchSimulation.create({
    engines: ENGINES,
    countEvents: itemId => findLength(itemId).events,
    policy,
  });
  const trainers = Array.from({length: day.trainers}, (_, index) =>
    SimulatedTrainer.create({
      name: `t${index}-`,
      groups: day.groups,
      desiredGroups: day.groups,
      intervalMs: 4_000,
      firstAtMs: 1_300 * index,
      estimateTokens: itemId => findLength(itemId).estimate,
    }),
  );
  while (simulation.nowMs < day.durationMs) {
    for (const trainer of trainers) trainer.advance(simulation);
    day.disturb(simulation);
    simulation.advance(10);
  }
  const sumOf = (key: 'groupsInTime' | 'groupsAwaited') =>
    trainers.reduce((sum, trainer) => sum + trainer[key], 0);
  return {
    inTime: sumOf('groupsInTime'),
    awaited: sumOf('groupsAwaited'),
    starts: simulation.starts.map(({itemId, endpointId}) => [
      itemId,
      endpointId,
    ]),
  };
}

function compare(day: Day) {
  const earlier = replay(day, POLICY_WITHOUT_SCARCITY);
  const now = replay(day, DEFAULT_POLICY);
  expect(now.awaited).toBe(earlier.awaited);
  return {earlier, now};
}

function isWithin({nowMs}: BatchSimulation, fromMs: number, untilMs: number) {
  return nowMs >= fromMs && nowMs < untilMs;
}

test('more groups are in time while seven of eight engines state a limit', () => {
  const {earlier, now} = compare({
    trainers: 1,
    groups: 37,
    durationMs: 32_000,
    disturb: simulation => {
      const limit = isWithin(simulation, 4_000, 28_000) ? 1 : undefined;
      for (const engine of simulation.engines.slice(1)) engine.limit = limit;
    },
  });
  expect(now.inTime).toBeGreaterThan(earlier.inTime);
  expect([earlier.inTime, now.inTime, now.awaited]).toMatchInlineSnapshot(`
    [
      114,
      143,
      259,
    ]
  `);
});

test('more groups are in time with three trainers while half of the engines are gone', () => {
  const {earlier, now} = compare({
    trainers: 3,
    groups: 24,
    durationMs: 30_000,
    disturb: simulation => {
      const isDown = isWithin(simulation, 8_000, 18_000);
      for (const engine of simulation.engines.slice(4)) {
        if (isDown && !engine.isDown) simulation.crashEngine(engine);
        engine.isDown = isDown;
      }
    },
  });
  expect(now.inTime).toBeGreaterThan(earlier.inTime);
  expect([earlier.inTime, now.inTime, now.awaited]).toMatchInlineSnapshot(`
    [
      259,
      307,
      408,
    ]
  `);
});

test('with room for all, the same items start at the same engines', () => {
  const {earlier, now} = compare({
    trainers: 1,
    groups: 30,
    durationMs: 14_000,
    disturb: () => undefined,
  });
  expect(now.starts).toEqual(earlier.starts);
  expect([earlier.inTime, now.inTime, now.awaited]).toMatchInlineSnapshot(`
    [
      60,
      60,
      60,
    ]
  `);
});
