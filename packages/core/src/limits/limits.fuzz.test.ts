/**
 * Splits a limit among several entries. Whichever reports of demand get lost,
 * the parts in use must not add up to more than the limit.
 */
import fc from 'fast-check';
import {readFuzzParameters} from '../testing/fuzz_parameters';
import {CustomerLimiter} from './customer_limiter';
import {PeerDemand, splitLimit} from './limit_split';

const LIMIT = 100;
const SEED = 20_261_203;
const RUNS = 400;
const MAX_ENTRIES = 6;

type Split = typeof splitLimit;

/** A faulty split, which assumes that a silent peer has no demand. */
const splitNaively: Split = (limit, ownDemand, peers) =>
  splitLimit(
    limit,
    ownDemand,
    peers.map(({demand}) => ({demand: demand ?? 0})),
  );

const FLEET = fc.integer({min: 1, max: MAX_ENTRIES}).chain(size =>
  fc.record({
    demands: fc.array(fc.integer({min: 0, max: 150}), {
      minLength: size,
      maxLength: size,
    }),
    /** Whether entry i receives reports of entry j: item i * MAX_ENTRIES + j. */
    receives: fc.array(fc.boolean(), {
      minLength: MAX_ENTRIES ** 2,
      maxLength: MAX_ENTRIES ** 2,
    }),
  }),
);

function sumUse(
  demands: readonly number[],
  receives: readonly boolean[],
  split: Split,
): number {
  return demands.reduce((sum, ownDemand, i) => {
    const peers: PeerDemand[] = demands.flatMap((demand, j) => {
      if (j === i) return [];
      return [{demand: receives[i * MAX_ENTRIES + j] ? demand : undefined}];
    });
    return sum + Math.min(ownDemand, split(LIMIT, ownDemand, peers));
  }, 0);
}

function checkSplit(split: Split): void {
  const parameters = readFuzzParameters(SEED, RUNS);
  fc.assert(
    fc.property(FLEET, ({demands, receives}) => {
      expect(sumUse(demands, receives, split)).toBeLessThanOrEqual(
        LIMIT + 1e-9,
      );
    }),
    parameters,
  );
}

test('parts in use never exceed the limit when peers are silent', () => {
  checkSplit(splitLimit);
});

test('a split that treats silent peers as idle exceeds the limit', () => {
  expect(() => checkSplit(splitNaively)).toThrow('Property failed');
});

test('splits by reported demand, equally when peers are silent', () => {
  const splitAmong = (...demands: (number | undefined)[]) =>
    splitLimit(
      LIMIT,
      90,
      demands.map(demand => ({demand})),
    );
  expect({
    idlePeer: splitAmong(0),
    busyPeer: splitAmong(90),
    silentPeer: splitAmong(undefined),
    idleAndSilent: splitAmong(0, undefined),
  }).toMatchSnapshot();
});

test('refuses calls over the limit with a time after which to retry', () => {
  const limiter = CustomerLimiter.create();
  const call = {
    customer: 'kyklos',
    expectedTokens: 10,
    peers: [undefined],
    rules: [
      {
        id: 'cap',
        kind: 'limit' as const,
        customer: 'kyklos',
        requestsPerSecond: 4,
        concurrent: 6,
      },
    ],
  };
  const admit = (nowMs: number) =>
    limiter.admitCall(call, nowMs).match(
      () => 'admitted',
      error => `${error.kind} ${error.retryAfterMs}`,
    );
  const first = [0, 0, 0].map(admit);
  const later = [100, 600].map(admit);
  const full = admit(5_000);
  limiter.releaseCall('kyklos');
  expect({first, later, full, released: admit(5_000)}).toMatchSnapshot();
});
