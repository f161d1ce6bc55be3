/**
 * Several senders and the keepers of one endpoint's limit. Whichever keepers a
 * sender reaches, and whenever keepers restart, the sends of all senders together
 * must stay within what the limit allows.
 */
import fc from 'fast-check';
import {readFuzzParameters} from '../testing/fuzz_parameters';
import {RateKeeper, rankKeepers} from './rate_keeper';

const SEED = 20_261_204;
const RUNS = 200;
const SENDERS = 6;
const STEP_MS = 20;
const STEPS = 800;
const WINDOW_STEPS = 4_000 / STEP_MS;
const KEEPERS = ['a', 'b', 'c'];

const DAY = fc.record({
  perSecond: fc.oneof(
    fc.constantFrom(0, 0.05, 0.5, 1, 2),
    fc.double({min: 0.1, max: 60, noNaN: true}),
  ),
  /** Sends that each sender wants in each step. */
  demand: fc.integer({min: 0, max: 3}),
  /** Step from which a sender reaches only keepers of this rank and later. */
  losses: fc.array(
    fc.record({
      sender: fc.nat({max: SENDERS - 1}),
      fromStep: fc.nat({max: STEPS}),
      steps: fc.nat({max: 400}),
      rank: fc.integer({min: 1, max: 3}),
    }),
    {maxLength: 12},
  ),
  /** Steps at which a keeper starts anew. */
  restarts: fc.array(
    fc.record({
      keeper: fc.nat({max: 2}),
      atStep: fc.nat({max: STEPS}),
    }),
    {maxLength: 6},
  ),
});

type Day = typeof DAY extends fc.Arbitrary<infer T> ? T : never;

/** Returns the number of sends of each step. */
function replayDay(day: Day, createKeeper: () => RateKeeper): number[] {
  const ranked = rankKeepers('e', KEEPERS);
  const keepers = new Map(ranked.map(name => [name, createKeeper()]));
  return Array.from({length: STEPS}, (_, step) => {
    for (const {keeper, atStep} of day.restarts) {
      if (atStep === step) keepers.set(ranked[keeper], createKeeper());
    }
    let sends = 0;
    for (let sender = 0; sender < SENDERS; sender++) {
      const firstRank = day.losses
        .filter(
          loss =>
            loss.sender === sender &&
            step >= loss.fromStep &&
            step < loss.fromStep + loss.steps,
        )
        .reduce((rank, loss) => Math.max(rank, loss.rank), 0);
      const keeper = keepers.get(ranked[firstRank] ?? '');
      const request = {
        endpointId: 'e',
        perSecond: day.perSecond,
        rank: firstRank,
        wanted: day.demand,
      };
      sends += keeper?.grantSends(request, step * STEP_MS).granted ?? 0;
    }
    return sends;
  });
}

function countMost(sends: readonly number[]): number {
  let sum = 0;
  let most = 0;
  for (const [step, count] of sends.entries()) {
    sum += count - (sends[step - WINDOW_STEPS] ?? 0);
    most = Math.max(most, sum);
  }
  return most;
}

function checkDays(createKeeper: () => RateKeeper): void {
  fc.assert(
    fc.property(DAY, day => {
      const allowed = 1.5 * 4 * day.perSecond + 5;
      const most = countMost(replayDay(day, createKeeper));
      expect(most).toBeLessThanOrEqual(allowed);
    }),
    readFuzzParameters(SEED, RUNS),
  );
}

test('senders that reach different keepers exceed a limit together', () => {
  checkDays(() => RateKeeper.create());
});

test('negative control: keepers that all grant the whole limit exceed it', () => {
  const createKeeper = () => {
    const keeper = RateKeeper.create();
    const grantSends = keeper.grantSends.bind(keeper);
    keeper.grantSends = (request, nowMs) =>
      grantSends({...request, rank: 0}, nowMs);
    return keeper;
  };
  expect(() => checkDays(createKeeper)).toThrow();
});

test('a keeper that wanted less before has kept no more than a short burst', () => {
  const keeper = RateKeeper.create();
  const request = {endpointId: 'e', perSecond: 10, rank: 0, wanted: 100};
  const grants = [0, 10_000, 10_050, 10_100, 60_000].map(
    atMs => keeper.grantSends(request, atMs).granted,
  );
  expect(grants).toEqual([0, 2, 0, 1, 2]);
});
