/** Replays the reads of a trainer against decisions on when results are written. */
import {createTestJob} from '../testing';
import {computeFlushDelay} from './flush_decision';
import {settleItem} from './item_scoring';
import {ItemState} from './item_state';
import {JobState} from './job_state';

const STEP_MS = 10;
const BOUNDS = {runDeadlineMs: 7_500, tokensPerEvent: 57};
/** Time for which a trainer's read waits for a result, and its pause after the
 * answer, in ms. */
const READ_WAIT_MS = 1_000;
const READ_PAUSE_MS = 500;
const SCORING_MS = 200;
const GROUPS = 10;
/** Time after which a text has its maximum length, in ms. */
const MAX_TEXT_MS = 7_400;

type FlushPolicy = typeof computeFlushDelay;

/** The decision as it was: collects for a fixed time, shorter when late. */
const collectResults: FlushPolicy = (state, lastFlushAtMs, nowMs, bounds) => {
  const items = [...state.items.values()];
  if (!items.some(item => item.phase === 'finished')) return undefined;
  const done = items.filter(({phase}) =>
    ['finished', 'listed'].includes(phase),
  );
  if (done.length >= state.job.desiredGroups) return 0;
  const isLate = nowMs + 900 > state.acceptedAtMs + bounds.runDeadlineMs;
  return Math.max(0, lastFlushAtMs + (isLate ? 200 : 900) - nowMs);
};

/**
 * Replays a step with one item a group, whose texts are complete at the given
 * times. Returns when the trainer has read the last result that it waits for.
 */
function replayStep(textsAtMs: readonly number[], policy: FlushPolicy): number {
  const job = createTestJob({
    id: 'j',
    groups: GROUPS,
    size: 1,
    desiredGroups: GROUPS,
    isScored: true,
  });
  const state = JobState.create(job, 0);
  const items = [...state.items.values()];
  let lastFlushAtMs = 0;
  let read = {position: 0, startsAtMs: 0};
  for (let nowMs = 0; nowMs < 30_000; nowMs += STEP_MS) {
    for (const [index, item] of items.entries()) {
      generateEvents(item, nowMs);
      if (nowMs < textsAtMs[index]) continue;
      const result = {
        itemId: item.item.id,
        state: 'completed' as const,
        text: 'x',
        versions: [1],
      };
      if (item.phase === 'running') settleItem(item, result, nowMs);
      const isScored = nowMs >= textsAtMs[index] + SCORING_MS;
      if (item.phase === 'scoring' && isScored) {
        settleItem(item, {...result, score: 's'}, nowMs);
      }
    }
    const delayMs = policy(state, lastFlushAtMs, nowMs, BOUNDS);
    if (delayMs !== undefined && delayMs <= 0) {
      state.applyResults(state.listUnlistedResults());
      lastFlushAtMs = nowMs;
    }
    const isWaiting = nowMs >= read.startsAtMs;
    const hasResult = state.results.length > read.position;
    const isOver = nowMs >= read.startsAtMs + READ_WAIT_MS;
    if (isWaiting && (hasResult || isOver)) {
      if (state.results.length === GROUPS) return nowMs;
      const startsAtMs = nowMs + READ_PAUSE_MS;
      read = {position: state.results.length, startsAtMs};
    }
  }
  return Infinity;
}

/** Lets a text grow so that its maximum length is reached at `MAX_TEXT_MS`. */
function generateEvents(item: ItemState, nowMs: number): void {
  if (item.phase === 'waiting') {
    const run = {runId: 'r', endpointId: 'e', startedAtMs: 0, firstEvent: 0};
    Object.assign(item, {phase: 'running', run});
  }
  if (item.phase !== 'running') return;
  const maxEvents = Math.ceil(item.item.maxOutputTokens / 57);
  const count = Math.floor((nowMs / MAX_TEXT_MS) * maxEvents);
  while (item.events.length < Math.min(count, maxEvents)) {
    item.events.push({data: 'x', version: 1, software: 's'});
    item.lastEventAtMs = nowMs;
  }
}

/** Steps whose longest texts are complete shortly after each other. */
const BURSTS = Array.from({length: 40}, (_, seed) =>
  Array.from({length: GROUPS}, (_item, index) =>
    index < 7
      ? 1_000 + ((seed * 131 + index * 617) % 4_000)
      : 7_200 + ((seed * 97 + index * 37) % 180),
  ),
);
/** Steps whose longest text has the maximum length, the one before it ends within
 * the last second. */
const LONGEST = Array.from({length: 40}, (_, seed) =>
  Array.from({length: GROUPS}, (_item, index) => {
    if (index === 0) return MAX_TEXT_MS;
    return index === 1
      ? 6_500 + ((seed * 83) % 900)
      : 1_000 + ((seed * 131 + index * 617) % 4_000);
  }),
);
/** Steps whose texts are complete at unrelated times. */
const SCATTERED = Array.from({length: 40}, (_, seed) =>
  Array.from(
    {length: GROUPS},
    (_item, index) => 1_000 + ((seed * 1_009 + index * 3_571) % 6_000),
  ),
);

/** Returns the mean time from the last score until it is read, in ms. */
function measureDelay(
  steps: ReadonlyArray<readonly number[]>,
  policy: FlushPolicy,
): number {
  const delays = steps.map(
    texts => replayStep(texts, policy) - Math.max(...texts) - SCORING_MS,
  );
  return delays.reduce((sum, delay) => sum + delay, 0) / delays.length;
}

test('a step whose last texts end together is read sooner', () => {
  const before = measureDelay(BURSTS, collectResults);
  const after = measureDelay(BURSTS, computeFlushDelay);
  expect(after).toBeLessThan(before / 2);
});

test('a step that ends with its longest text is read sooner', () => {
  const before = measureDelay(LONGEST, collectResults);
  const after = measureDelay(LONGEST, computeFlushDelay);
  expect(after).toBeLessThan(before / 2);
});

test('a step whose texts end at unrelated times is read no later', () => {
  const before = measureDelay(SCATTERED, collectResults);
  const after = measureDelay(SCATTERED, computeFlushDelay);
  expect(after).toBeLessThanOrEqual(before);
});
