/**
 * Limits held over several entries: whatever peers hear of each other, the
 * parts in use never add up to more than the limit.
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

/** The naive split: a silent peer is taken to need nothing. */
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
    /** Whether entry i hears entry j, at i * MAX_ENTRIES + j. */
    hears: fc.array(fc.boolean(), {
      minLength: MAX_ENTRIES ** 2,
      maxLength: MAX_ENTRIES ** 2,
    }),
  }),
);

function sumUse(
  demands: readonly number[],
  hears: readonly boolean[],
  split: Split,
): number {
  return demands.reduce((sum, own, i) => {
    const peers: PeerDemand[] = demands.flatMap((demand, j) => {
      if (j === i) return [];
      return [{demand: hears[i * MAX_ENTRIES + j] ? demand : undefined}];
    });
    return sum + Math.min(own, split(LIMIT, own, peers));
  }, 0);
}

function checkSplit(split: Split): void {
  const parameters = readFuzzParameters(SEED, RUNS);
  fc.assert(
    fc.property(FLEET, ({demands, hears}) => {
      expect(sumUse(demands, hears, split)).toBeLessThanOrEqual(LIMIT + 1e-9);
    }),
    parameters,
  );
}

test('parts in use never exceed the limit through silence', () => {
  checkSplit(splitLimit);
});

test('the naive split exceeds the limit', () => {
  expect(() => checkSplit(splitNaively)).toThrow('Property failed');
});

test('splits by demand, equally in silence', () => {
  const listen = (...demands: (number | undefined)[]) =>
    splitLimit(
      LIMIT,
      90,
      demands.map(demand => ({demand})),
    );
  expect({
    idlePeer: listen(0),
    busyPeer: listen(90),
    silentPeer: listen(undefined),
    idleAndSilent: listen(0, undefined),
  }).toMatchSnapshot();
});

test('refuses over the limit and says when to come back', () => {
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
