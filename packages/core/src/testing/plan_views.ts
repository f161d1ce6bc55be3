/** Views of jobs and endpoints for tests of single plans. */
import {BatchEndpointView, BatchJob, JobState, JobView} from '../index';

/** Creates the view of a job that was just accepted, with the endpoint `x`. */
export function createJobView(job: BatchJob): JobView {
  return {
    state: JobState.create(job, 0),
    endpointIds: new Set(['x']),
    available: [{software: 's', weights: 1}],
    tokensPerEvent: 57,
    runDeadlineMs: 7_500,
    minSurplusVersion: 1,
    canReuseTexts: false,
    isStopping: () => false,
  };
}

/** Creates the view of the idle endpoint `x`. */
export function createEndpointView(
  values: Partial<BatchEndpointView> = {},
): BatchEndpointView {
  return {
    id: 'x',
    software: 's',
    slots: 12,
    memoryTokens: 40_000,
    versions: new Map([['m', 1]]),
    isOpen: true,
    loadingModel: undefined,
    runs: 0,
    memory: [],
    startsLeft: Infinity,
    startsPerSecond: Infinity,
    msPerToken: 0.65,
    ...values,
  };
}
