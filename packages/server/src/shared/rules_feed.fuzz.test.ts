/**
 * Entries and agents distribute rules while the platform goes down, failure
 * domains are isolated, connections go silent and nodes restart. The oracle
 * checks the revisions that each node reports to operators.
 */
import {createRandomSource} from '@sassafrasspan/core';
import {readFuzzParameters} from '@sassafrasspan/core/testing';
import fc from 'fast-check';
import {
  SimulatedFleet,
  IN_FORCE_WITHIN_MS,
  Mechanism,
  NODES,
} from '../testing/rules_fleet';

const FULL: Mechanism = {hasPeers: true, waitsUntilReady: true};

/** One event in a scenario. */
type Step = (fleet: SimulatedFleet) => Promise<void> | void;

const DOMAINS = fc.constantFrom('a', 'b', 'c');
const NAMES = fc.constantFrom(...NODES);
const STEPS: fc.Arbitrary<Step> = fc.oneof(
  fc.constant<Step>(fleet => fleet.acceptRevision()),
  fc.constant<Step>(fleet => fleet.startOutage()),
  fc.constant<Step>(fleet => fleet.acceptOverSilentConnections()),
  fc.constant<Step>(fleet => fleet.healAll()),
  fc.constant<Step>(fleet => fleet.healDomains()),
  fc.constant<Step>(fleet => fleet.checkInForce()),
  fc
    .record({name: NAMES, laggingDomain: DOMAINS})
    .map<Step>(plan => fleet => fleet.restartBesideLagging(plan)),
  DOMAINS.map<Step>(domain => fleet => fleet.cutDomain(domain)),
  NAMES.map<Step>(name => fleet => fleet.restartNode(name)),
  fc
    .integer({min: 1, max: 2_500})
    .map<Step>(durationMs => fleet => fleet.advance(durationMs)),
);

const SCENARIOS = fc.record({
  seed: fc.nat(),
  steps: fc.array(STEPS, {minLength: 5, maxLength: 20}),
});

async function advanceClock(durationMs: number): Promise<void> {
  await jest.advanceTimersByTimeAsync(durationMs);
}

async function runScenario(
  mechanism: Mechanism,
  seed: number,
  steps: readonly Step[],
): Promise<string[]> {
  const fleet = new SimulatedFleet(
    mechanism,
    createRandomSource(seed),
    advanceClock,
  );
  await fleet.advance(IN_FORCE_WITHIN_MS);
  for (const step of steps) await step(fleet);
  fleet.healAll();
  await fleet.checkInForce();
  fleet.stop();
  await advanceClock(200_000);
  jest.clearAllTimers();
  return fleet.violations;
}

async function collectViolations(mechanism: Mechanism): Promise<string[]> {
  const violations: string[] = [];
  const property = fc.asyncProperty(SCENARIOS, async ({seed, steps}) => {
    violations.push(...(await runScenario(mechanism, seed, steps)));
  });
  await fc.assert(property, readFuzzParameters(9_002, 60));
  return [...new Set(violations.map(violation => violation.split(':')[0]))];
}

describe('rules among entries and agents', () => {
  beforeAll(() => {
    jest.useFakeTimers();
  });

  afterAll(() => {
    jest.useRealTimers();
  });

  test('are in force in time and never revert', async () => {
    const property = fc.asyncProperty(SCENARIOS, async ({seed, steps}) => {
      expect(await runScenario(FULL, seed, steps)).toEqual([]);
    });
    await fc.assert(property, readFuzzParameters(9_002, 60));
  });

  test('control: a restarted node that does not wait reverts', async () => {
    const kinds = await collectViolations({...FULL, waitsUntilReady: false});
    expect(kinds).toEqual(['reverted']);
  });

  test('control: without peers nodes keep old rules', async () => {
    const kinds = await collectViolations({...FULL, hasPeers: false});
    expect(kinds).toContain('behind');
  });
});
