/**
 * Attempts per request while half of a pool is down: the share of retries
 * stays under the stated bound, and not without the budget.
 */
import {createRandomSource} from '../shared/clock';
import {RetryBudget} from './retry_budget';
import {canRetry} from './retry_decision';

const REQUESTS = 20_000;
const REQUESTS_PER_SECOND = 200;
const MS_PER_SECOND = 1_000;
const FAILED_SHARE = 0.5;
/** Retries per request that the budget allows: 0.1 and 2 a second of 200. */
const STATED_SHARE = 0.11;
const INITIAL_RETRIES = 20;

type TakeRetry = (nowMs: number) => boolean;

/** Returns retries per request, those of the initial stock aside. */
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

test('retries stay under their share while half of a pool is down', () => {
  const budget = RetryBudget.create();
  const share = measureRetries(budget, nowMs => budget.takeRetry(nowMs));
  expect(share).toBeGreaterThan(0);
  expect(share).toBeLessThanOrEqual(STATED_SHARE);
});

test('without the budget they do not', () => {
  const share = measureRetries(RetryBudget.create(), () => true);
  expect(share).toBeGreaterThan(STATED_SHARE);
});
