/** Ended jobs stay in memory while there is room. */
import {selectForgotten} from './job_memory';

const NOW_MS = 100_000;

function createJobs(count: number, characters: number) {
  return Array.from({length: count}, (_, index) => ({
    id: `job-${index}`,
    usedAtMs: index * 1_000,
    characters,
  }));
}

test('jobs stay while their results fit', () => {
  expect(selectForgotten(createJobs(40, 500_000), NOW_MS)).toEqual([]);
});

test('what was not read for longest goes first', () => {
  expect(selectForgotten(createJobs(50, 500_000), NOW_MS)).toEqual([
    'job-1',
    'job-0',
  ]);
});

test('what was read lately stays whatever its size', () => {
  const lately = createJobs(20, 10_000_000).map(job => ({
    ...job,
    usedAtMs: NOW_MS,
  }));
  expect(selectForgotten(lately, NOW_MS)).toEqual([]);
});
