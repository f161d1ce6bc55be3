/** Guards against calls that are counted twice, or counted though none ran. */
import {UsageLedger} from '@sassafrasspan/core';
import {CallStart} from './call_starts';

function countAfter(
  play: (start: CallStart) => void,
  customer: string | undefined = 'c',
): object[] {
  const ledger = UsageLedger.create();
  play(CallStart.create({id: 'call', customer}, ledger));
  return ledger.listCounts(0).filter(({count}) => count !== 0);
}

test('a call that is hedged or lost counts once, at its first attempt', () => {
  const counts = countAfter(start => {
    start.recordAttempt(100);
    start.recordAttempt(200);
    start.withdrawAttempt();
  });
  expect(counts).toEqual([{span: 10, customer: 'c', count: 1}]);
});

test('an attempt after one that has not run counts at its own time', () => {
  const counts = countAfter(start => {
    start.recordAttempt(100);
    start.withdrawAttempt();
    start.recordAttempt(200);
  });
  expect(counts).toEqual([{span: 20, customer: 'c', count: 1}]);
});

test('a call that no endpoint ran does not count', () => {
  const counts = countAfter(start => {
    start.recordAttempt(100);
    start.recordAttempt(150);
    start.withdrawAttempt();
    start.withdrawAttempt();
  });
  expect(counts).toEqual([]);
});

test('an attempt long after the ledger dropped the first counts no second time', () => {
  const counts = countAfter(start => {
    start.recordAttempt(100);
    start.recordAttempt(100_000);
  });
  expect(counts).toHaveLength(1);
});
