/** Snapshots of the order and the refusals of the admission queue. */
import {AdmissionQueue} from './admission_queue';
import type {QueuedWork} from './fair_queue';

class ManualClock {
  nowMs = 0;
  readMonotonicMs(): number {
    return this.nowMs;
  }
  readWallMs(): number {
    return this.nowMs;
  }
}

function createWork(
  requestId: string,
  overrides: Partial<QueuedWork> = {},
): QueuedWork {
  return {
    requestId,
    customer: 'kyklos',
    priority: 0,
    expectedTokens: 10,
    deadlineAtMs: 100_000,
    ...overrides,
  };
}

function drainQueue(queue: AdmissionQueue): string[] {
  const order: string[] = [];
  for (;;) {
    const next = queue.takeNext();
    if (next === undefined) return order;
    order.push(next.requestId);
    queue.releaseSlot(next.requestId);
  }
}

test('serves customers by share, then priority, then deadline', () => {
  const queue = AdmissionQueue.create(
    {slots: 1, maxQueued: 100},
    new ManualClock(),
  );
  queue.setShares(new Map([['leoben', 2 / 3]]));
  for (let i = 1; i <= 4; i++) {
    queue.offerWork(createWork(`k${i}`, {priority: 4 - i}));
  }
  for (let i = 1; i <= 4; i++) {
    const deadlineAtMs = 50_000 - i;
    queue.offerWork(createWork(`l${i}`, {customer: 'leoben', deadlineAtMs}));
  }
  expect(drainQueue(queue)).toMatchSnapshot();
});

test.each([10, 0])('refuses by measured token time, %i tokens', tokens => {
  const clock = new ManualClock();
  const queue = AdmissionQueue.create({slots: 1, maxQueued: 5}, clock);
  for (let i = 0; i < 8; i++) {
    queue.offerWork(createWork(`warm${i}`, {expectedTokens: tokens}));
    queue.takeNext();
    clock.nowMs += 100;
    queue.releaseSlot(`warm${i}`);
  }
  const offer = (id: string, inMs: number) =>
    queue.offerWork(
      createWork(id, {
        deadlineAtMs: clock.nowMs + inMs,
        expectedTokens: tokens,
      }),
    );
  const answers = [
    offer('alone', 150),
    offer('behind-alone', 150),
    offer('fits', 400),
    offer('late', 90),
  ];
  clock.nowMs += 60;
  const expired = queue.takeExpired(clock.nowMs).map(work => work.requestId);
  for (let i = 0; i < 5; i++) answers.push(offer(`fill${i}`, 100_000));
  expect({answers, expired, next: queue.takeNext()}).toMatchSnapshot();
});
