/** Tests the eviction of ended jobs from the coordinator's memory. */
import {selectEvictions} from './job_eviction';

const NOW_MS = 100_000;

function createJobs(count: number, characters: number) {
  return Array.from({length: count}, (_, index) => ({
    id: `job-${index}`,
    lastUsedAtMs: index * 1_000,
    characters,
  }));
}

test('no job is evicted while the results fit in the limit', () => {
  expect(selectEvictions(createJobs(40, 500_000), NOW_MS)).toEqual([]);
});

test('the least recently used jobs are evicted first', () => {
  expect(selectEvictions(createJobs(50, 500_000), NOW_MS)).toEqual([
    'job-1',
    'job-0',
  ]);
});

test('a recently used job is not evicted whatever its size', () => {
  const recentJobs = createJobs(20, 10_000_000).map(job => ({
    ...job,
    lastUsedAtMs: NOW_MS,
  }));
  expect(selectEvictions(recentJobs, NOW_MS)).toEqual([]);
});
