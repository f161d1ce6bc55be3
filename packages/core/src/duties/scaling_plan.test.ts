/** Loads that rise, swing and fall; guards against late and flapping orders. */
import {ScalingPlan} from './scaling_plan';

const BOUNDS = {min: 1, max: 8, bootMs: 4_000};
const SLOTS = 4;
const STEP_MS = 500;

/** Returns the ordered number at each step; endpoints follow after the boot. */
function replayDemand(
  computeDemand: (atMs: number) => number,
  durationMs: number,
): number[] {
  const plan = ScalingPlan.create(BOUNDS);
  const orders: number[] = [];
  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    const standing = orders.at(-1) ?? BOUNDS.min;
    const demand = computeDemand(nowMs);
    orders.push(plan.decide({nowMs, demand, slots: SLOTS, standing}));
  }
  return orders;
}

function countChanges(orders: readonly number[]): number {
  return orders.filter((n, i) => i > 0 && n !== orders[i - 1]).length;
}

test('steady demand keeps one number', () => {
  const orders = replayDemand(() => 6, 120_000);
  expect(new Set(orders)).toEqual(new Set([2]));
});

test('a ramp is ordered a boot time ahead', () => {
  // One slot more each second: 4 more within the time to boot.
  const orders = replayDemand(atMs => atMs / 1_000, 20_000);
  const countStanding = (atMs: number) =>
    orders[Math.max(0, atMs - BOUNDS.bootMs) / STEP_MS] * SLOTS;
  for (let atMs = 8_000; atMs < 20_000; atMs += STEP_MS) {
    expect(countStanding(atMs)).toBeGreaterThanOrEqual(atMs / 1_000);
  }
});

test('demand that swings within the stated time orders no lower number', () => {
  const orders = replayDemand(
    atMs => (Math.floor(atMs / 10_000) % 2 === 0 ? 4 : 16),
    200_000,
  );
  const settled = orders.slice(60_000 / STEP_MS);
  expect(countChanges(settled)).toBe(0);
});

test('a lower number comes 30 s after demand has fallen, and once', () => {
  const orders = replayDemand(atMs => (atMs < 40_000 ? 12 : 2), 100_000);
  expect(orders[(40_000 + 29_000) / STEP_MS]).toBe(4);
  expect(orders.at(-1)).toBe(1);
  expect(countChanges(orders)).toBe(1);
});

test('orders stay within the bounds', () => {
  const orders = replayDemand(atMs => (atMs < 50_000 ? 900 : 0), 120_000);
  expect(Math.max(...orders)).toBe(BOUNDS.max);
  expect(Math.min(...orders)).toBe(BOUNDS.min);
});
