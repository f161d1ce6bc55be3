import {computeActivationDelay} from './activation_wave';
import {WeightHolder, planFetch} from './fetch_plan';

const DOMAINS = ['attica-a', 'attica-b', 'attica-c'];
const HOLDERS: WeightHolder[] = DOMAINS.flatMap(failureDomain =>
  [1, 2, 3].map(index => ({name: `${failureDomain}-${index}`, failureDomain})),
);

function planFor(self: string, failureDomain: string) {
  return planFetch({
    self,
    failureDomain,
    versionKey: 'lm/7',
    holders: HOLDERS,
    storeFetchesPerSecond: 2,
  });
}

test('two holders per failure domain fetch at the rate of the store', () => {
  const plans = HOLDERS.map(({name, failureDomain}) => {
    const {isFetcher, storeDelayMs} = planFor(name, failureDomain);
    return {name, isFetcher, storeDelayMs};
  });
  expect(plans).toMatchSnapshot();
});

test('other agents copy from their own failure domain first', () => {
  expect(planFor('worker', 'attica-b')).toMatchSnapshot();
});

test('a pool activates in two waves within half of the allowed time', () => {
  const pool = ['lm-1', 'lm-2', 'lm-3', 'lm-4', 'lm-5'];
  const delays = pool.map(endpoint =>
    computeActivationDelay({
      endpoint,
      pool,
      version: 3,
      poolActivationMs: 7_000,
    }),
  );
  expect(delays).toMatchSnapshot();
});
