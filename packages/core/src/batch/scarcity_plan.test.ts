/** The choice of groups that are completed in time when capacity is short. */
import {createEndpointView, createJobView, createTestJob} from '../testing';
import {JobView, planStarts} from './start_plan';
import {ScarcityPlan, planScarcity} from './scarcity_plan';
import {ScarcityTracker} from './scarcity_tracker';

/** Tokens of the items of each group; the last one is the longest. */
const TOKENS = [570, 1_140, 1_710, 2_280];
const GROUP_SIZE = 2;

function createView(acceptedAtMs = 0): JobView {
  const job = createTestJob({
    id: 'a',
    groups: TOKENS.length,
    size: GROUP_SIZE,
    desiredGroups: TOKENS.length,
    estimateTokens: itemId =>
      TOKENS[Math.floor(Number(itemId.slice(2)) / GROUP_SIZE)],
  });
  const view = createJobView(job);
  const runDeadlineMs = view.runDeadlineMs + acceptedAtMs;
  return {...view, runDeadlineMs};
}

function listChosen(plan: ScarcityPlan | undefined): string[] | undefined {
  return plan && [...plan.order.keys()].map(({name}) => name);
}

test('capacity that suffices is not taken as short', () => {
  const endpoint = createEndpointView({});
  expect(planScarcity([createView()], [endpoint], 0)).toBeUndefined();
});

test('where later steps allow the texts, no groups are chosen', () => {
  const endpoint = createEndpointView({startsPerSecond: 0.8, startsLeft: 1});
  const view = {...createView(), canReuseTexts: true};
  expect(planScarcity([view], [endpoint], 0)).toBeUndefined();
});

test('under a limit, whole groups are chosen that can be complete in time', () => {
  const endpoint = createEndpointView({startsPerSecond: 0.8, startsLeft: 1});
  const plan = planScarcity([createView()], [endpoint], 0);
  expect(listChosen(plan)).toEqual(['a-g0', 'a-g1']);
  expect(plan?.inputs).toMatchInlineSnapshot(`
    {
      "chosenGroups": 2,
      "neededGroups": 4,
      "neededItems": 8,
      "possibleItems": 7,
    }
  `);
});

test('with too few slots, the shortest groups are chosen', () => {
  const endpoint = createEndpointView({slots: 1});
  const plan = planScarcity([createView()], [endpoint], 0);
  expect(listChosen(plan)).toEqual(['a-g0', 'a-g1', 'a-g2']);
});

test('the items of a chosen group start before longer ones of other groups', () => {
  const endpoint = createEndpointView({startsPerSecond: 0.8, startsLeft: 2});
  const job = createView();
  const order = planScarcity([job], [endpoint], 0)?.order;
  const starts = planStarts({
    jobs: [job],
    endpoints: [endpoint],
    ranks: ['carried', 'wanted'],
    reservations: new Map(),
    nowMs: 0,
    order,
  });
  expect(starts.map(({item}) => item.item.group)).toEqual(['a-g0', 'a-g0']);
});

test('a group carried over is chosen before another that lacks as much', () => {
  const view = createView();
  const [first, second, ...others] = view.state.groups;
  const groups = [first, {...second, isCarried: true}, ...others].map(
    group => ({
      ...group,
      items: first.items,
    }),
  );
  const state = Object.assign(Object.create(view.state), {groups});
  const endpoint = createEndpointView({startsPerSecond: 0.8, startsLeft: 1});
  const plan = planScarcity([{...view, state}], [endpoint], 0);
  expect(listChosen(plan)?.[0]).toBe('a-g1');
});

test('groups of a step whose time is over start after those that can be in time', () => {
  const overdue = createView();
  const current = createView(20_000);
  const endpoint = createEndpointView({startsPerSecond: 0.2, startsLeft: 2});
  const plan = planScarcity([overdue, current], [endpoint], 10_000);
  const chosen = [...(plan?.order.keys() ?? [])];
  expect(plan?.inputs.chosenGroups).toBeGreaterThan(0);
  const firstOverdue = chosen.findIndex(group =>
    overdue.state.groups.includes(group),
  );
  expect(firstOverdue).toBe(plan?.inputs.chosenGroups);
});

test('a short lack of capacity changes nothing, a longer one begins and ends once', () => {
  const isShortAt = (nowMs: number) =>
    (nowMs >= 500 && nowMs < 900) || (nowMs >= 2_000 && nowMs < 6_000);
  const inputs = {
    neededGroups: 4,
    neededItems: 8,
    possibleItems: 5,
    chosenGroups: 2,
  };
  const tracker = ScarcityTracker.create((_jobs, _endpoints, nowMs) =>
    isShortAt(nowMs) ? {order: new Map(), inputs} : undefined,
  );
  const changes: Array<[number, boolean]> = [];
  for (let nowMs = 0; nowMs < 10_000; nowMs += 50) {
    tracker.update([], () => [], nowMs);
    const change = tracker.takeChange();
    if (change !== undefined) changes.push([nowMs, change.isShort]);
  }
  expect(changes).toEqual([
    [3_000, true],
    [7_000, false],
  ]);
});
