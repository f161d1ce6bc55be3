import {ROLLOUT_POLICIES} from './step_policy';
import type {PoolSupply, RunningCopy, StepDemand} from './step_policy';

const POOL: PoolSupply = {
  slots: 16,
  freeSlots: 4,
  servedVersion: 5,
  versionIntervalMs: undefined,
  sinceVersionMs: 0,
  tokensPerSecond: 100,
};

function createStep(fields: Partial<StepDemand> = {}): StepDemand {
  return {
    stepName: 'briefs/1',
    idleWeight: 0.8,
    stalenessBound: 2,
    trainerVersion: 5,
    total: 16,
    ready: 0,
    samplesPerVersion: undefined,
    missing: [0, 1, 2, 3, 4, 5, 6, 7].map(slot => ({
      slot,
      group: slot >> 1,
      expectedTokens: 100 + 50 * (slot >> 1),
    })),
    running: [],
    ...fields,
  };
}

function createCopy(fields: Partial<RunningCopy>): RunningCopy {
  const slot = {slot: 9, group: 4, expectedTokens: 400};
  return {...slot, startedAtMs: 0, generatedTokens: 0, ...fields};
}

function planSlots(
  steps: readonly StepDemand[],
  pool: Partial<PoolSupply> = {},
  policy: keyof typeof ROLLOUT_POLICIES = 'current',
): string[] {
  const view = {nowMs: 4_000, pool: {...POOL, ...pool}, steps};
  return ROLLOUT_POLICIES[policy]
    .planStarts(view)
    .map(start => `${start.stepName}#${start.slot} ${start.reason}`);
}

test('groups with the longest predicted answer start first', () => {
  expect(planSlots([createStep()])).toMatchSnapshot();
});

test('the fifo policy starts slots in order', () => {
  const slots = planSlots([createStep()], {slots: 3}, 'fifo');
  expect(slots).toMatchSnapshot();
});

test('trainers share the pool by their idle weights', () => {
  const critiques = createStep({stepName: 'critiques/1', idleWeight: 0.2});
  const starts = planSlots([createStep(), critiques], {freeSlots: 10});
  const count = starts.filter(start => start.startsWith('briefs')).length;
  expect(count).toBe(8);
});

test('staleness bound and idle weight limit how far a step runs ahead', () => {
  const first = createStep({missing: [], ready: 4, samplesPerVersion: 4});
  const counts = [0.2, 0.8, 1].map(idleWeight => {
    const next = createStep({stepName: 'briefs/2', idleWeight});
    return planSlots([first, next], {freeSlots: 16}).length;
  });
  expect(counts).toEqual([0, 3, 4]);
});

test('the starts of the oldest undelivered step are not limited', () => {
  const step = createStep({samplesPerVersion: 0.1, ready: 8});
  expect(planSlots([step])).toHaveLength(POOL.freeSlots);
});

test('a fully sent step does not limit the next step', () => {
  const sent = createStep({missing: [], ready: 0, running: []});
  const next = createStep({stepName: 'briefs/step-2', idleWeight: 0});
  expect(planSlots([sent, next])).toHaveLength(POOL.freeSlots);
  const unsent = {...sent, ready: 1};
  expect(planSlots([unsent, next])).toHaveLength(0);
});

test('slots that would be stale on arrival are not started', () => {
  const behind = createStep({trainerVersion: 8});
  const due = {versionIntervalMs: 9_000, sinceVersionMs: 8_500};
  const atBound = {...behind, trainerVersion: 7};
  const lowIdleWeight = {...atBound, idleWeight: 0.2};
  const overdue = {versionIntervalMs: 9_000, sinceVersionMs: 9_500};
  expect({
    behindTheBound: planSlots([behind]),
    versionDue: planSlots([atBound], due).length,
    versionDueLowIdleWeight: planSlots([lowIdleWeight], due).length,
    versionOverdue: planSlots([lowIdleWeight], overdue).length,
  }).toMatchSnapshot();
});

test('only copies that another endpoint would overtake are repeated', () => {
  const count = (copies: readonly RunningCopy[]) =>
    planSlots([createStep({missing: [], running: copies})]).length;
  expect({
    slow: count([createCopy({generatedTokens: 20})]),
    silent: count([createCopy({})]),
    ordinary: count([createCopy({generatedTokens: 300})]),
    young: count([createCopy({startedAtMs: 3_500})]),
    copiedBefore: count([createCopy({}), createCopy({})]),
    slowAndLong: count([createCopy({expectedTokens: 50, generatedTokens: 80})]),
    longAlone: count([createCopy({expectedTokens: 50, generatedTokens: 390})]),
  }).toMatchSnapshot();
});

test('stragglers of the first step start before the next step', () => {
  const first = createStep({missing: [], running: [createCopy({})]});
  const next = createStep({stepName: 'briefs/2'});
  expect(planSlots([first, next])[0]).toBe('briefs/1#9 straggler');
});
