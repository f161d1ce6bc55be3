/**
 * Measures retries per request while half of a pool is down. With the retry
 * budget they stay under the limit; without it they exceed it, which shows that
 * the test can fail.
 */
import {createRandomSource} from '../shared/clock';
import {RetryBudget} from './retry_budget';
import {canRetry} from './retry_decision';

const REQUESTS = 20_000;
const REQUESTS_PER_SECOND = 200;
const MS_PER_SECOND = 1_000;
const FAILED_SHARE = 0.5;
/** Allowed retries per request: 0.1 earned, plus 2 of 200 requests a second. */
const MAX_RETRIES_PER_REQUEST = 0.11;
const INITIAL_RETRIES = 20;

type TakeRetry = (nowMs: number) => boolean;

/** Returns retries per request, not counting the initial tokens. */
function measureRetries(budget: RetryBudget, takeRetry: TakeRetry): number {
  const random = createRandomSource(12_001);
  let retries = 0;
  for (let request = 0; request < REQUESTS; request++) {
    const nowMs = (request * MS_PER_SECOND) / REQUESTS_PER_SECOND;
    for (let attempt = 1; ; attempt++) {
      if (random() >= FAILED_SHARE) {
        budget.recordSuccess();
        break;
      }
      const isAllowed = canRetry({
        attempt,
        outcome: 'not-run',
        isIdempotent: true,
        hasSentBytes: false,
        isRetryable: true,
        budgetLeftMs: MS_PER_SECOND,
      });
      if (!isAllowed || !takeRetry(nowMs)) break;
      retries += 1;
    }
  }
  return (retries - INITIAL_RETRIES) / REQUESTS;
}

test('the budget limits retries while half of a pool is down', () => {
  const budget = RetryBudget.create();
  const retries = measureRetries(budget, nowMs => budget.takeRetry(nowMs));
  expect(retries).toBeGreaterThan(0);
  expect(retries).toBeLessThanOrEqual(MAX_RETRIES_PER_REQUEST);
});

test('retries exceed the limit without the budget', () => {
  const retries = measureRetries(RetryBudget.create(), () => true);
  expect(retries).toBeGreaterThan(MAX_RETRIES_PER_REQUEST);
});
