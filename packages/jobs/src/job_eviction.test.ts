/** Ended jobs stay in memory while there is room. */
import {selectEvictions} from './job_eviction';

const NOW_MS = 100_000;

function createJobs(count: number, characters: number) {
  return Array.from({length: count}, (_, index) => ({
    id: `job-${index}`,
    lastUsedAtMs: index * 1_000,
    characters,
  }));
}

test('jobs stay while their results fit', () => {
  expect(selectEvictions(createJobs(40, 500_000), NOW_MS)).toEqual([]);
});

test('what was not read for longest goes first', () => {
  expect(selectEvictions(createJobs(50, 500_000), NOW_MS)).toEqual([
    'job-1',
    'job-0',
  ]);
});

test('what was read lately stays whatever its size', () => {
  const lately = createJobs(20, 10_000_000).map(job => ({
    ...job,
    lastUsedAtMs: NOW_MS,
  }));
  expect(selectEvictions(lately, NOW_MS)).toEqual([]);
});
