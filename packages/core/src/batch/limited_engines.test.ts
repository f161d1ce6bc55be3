/** Engines that state a limit on the runs that they take. */
import {createEndpointView, createJobView} from '../testing/plan_views';
import {createTestJob} from '../testing';
import {planStarts} from './start_plan';

function countStarts(startsLeft: number): number {
  const job = createTestJob({id: 'a', groups: 2, size: 4, desiredGroups: 2});
  return planStarts({
    jobs: [createJobView(job)],
    endpoints: [createEndpointView({startsLeft})],
    ranks: ['carried', 'wanted', 'spare'],
    reservations: new Map(),
    nowMs: 0,
  }).length;
}

test('an engine that states a limit is ordered more runs than it takes', () => {
  expect([0, 1, 3, Infinity].map(countStarts)).toEqual([0, 1, 3, 8]);
});
