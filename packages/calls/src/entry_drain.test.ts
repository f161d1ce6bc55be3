/**
 * Tests of the planned stop under callers that never pause: an exit at a fixed
 * time cuts off requests that endpoints run.
 */
import {DrainProgress, decideDrain} from './entry_drain';

const GRACE_MS = 8_000;

function decide(progress: Partial<DrainProgress>) {
  return decideDrain({
    elapsedMs: 0,
    graceMs: GRACE_MS,
    open: 5,
    passedOn: 5,
    isRefusing: false,
    ...progress,
  });
}

test('an entry without requests serves as long as the load balancer may send', () => {
  const idle = {open: 0, passedOn: 0};
  expect(decide({...idle, elapsedMs: 2_199})).toBe('serve');
  expect(decide({...idle, elapsedMs: 2_200})).toBe('refuse');
  expect(decide({...idle, elapsedMs: 2_200, isRefusing: true})).toBe('exit');
});

test('an entry that always has requests refuses further ones in time for answers', () => {
  expect(decide({elapsedMs: 4_499})).toBe('serve');
  expect(decide({elapsedMs: 4_500})).toBe('refuse');
  expect(decide({elapsedMs: 7_499, isRefusing: true})).toBe('refuse');
  expect(decide({elapsedMs: 4_600, passedOn: 0, isRefusing: true})).toBe(
    'exit',
  );
});

test('requests that are never answered do not outlast the grace period', () => {
  expect(decide({elapsedMs: 7_500, isRefusing: true})).toBe('abandon');
});

test('a short grace period ends even if the load balancer may still send', () => {
  expect(decide({graceMs: 1_000, elapsedMs: 499})).toBe('serve');
  expect(decide({graceMs: 1_000, elapsedMs: 500})).toBe('abandon');
});
