/**
 * Guards against requests that together exceed an endpoint's memory, and
 * against a large request that would never be sent.
 */
import {BytesInFlight} from './bytes_in_flight';

test('bytes at one endpoint are bounded, at others they are not', () => {
  const inFlight = BytesInFlight.create(100);
  expect(inFlight.tryAdd('a', 60)).toBe(true);
  expect(inFlight.tryAdd('a', 41)).toBe(false);
  expect(inFlight.tryAdd('a', 40)).toBe(true);
  expect(inFlight.tryAdd('b', 60)).toBe(true);
  inFlight.release('a', 60);
  expect(inFlight.getBytes('a')).toBe(40);
  expect(inFlight.tryAdd('a', 60)).toBe(true);
});

test('a request over the bound is sent alone', () => {
  const inFlight = BytesInFlight.create(100);
  expect(inFlight.tryAdd('a', 500)).toBe(true);
  expect(inFlight.tryAdd('a', 1)).toBe(false);
  inFlight.release('a', 500);
  expect(inFlight.tryAdd('a', 500)).toBe(true);
});

test('requests without a body are never held back', () => {
  const inFlight = BytesInFlight.create(100);
  expect(inFlight.tryAdd('a', 0)).toBe(true);
  expect(inFlight.tryAdd('a', 500)).toBe(true);
  expect(inFlight.tryAdd('a', 0)).toBe(true);
});
