/** Exchange of samples, and where estimates decide. */
import {EndpointSelector} from '../calls/endpoint_selector';
import type {EndpointEntry} from '../fleet/endpoint_directory';
import {createRandomSource} from '../shared/clock';
import {CapacityEstimator, CapacityMode} from './capacity_estimator';
import {
  CapacityHub,
  CapacityPusher,
  MAX_ANSWERED_DIGESTS,
  MAX_PUSHED_SAMPLES,
} from './capacity_exchange';

const SLOTS = 6;

function createEntry(id: string): EndpointEntry {
  return {
    id,
    service: 's',
    software: 's',
    address: `${id}:1`,
    failureDomain: 'a',
    slots: SLOTS,
    isDraining: false,
    coldRemainingMs: 0,
    startedAtMs: 0,
    versions: new Map(),
  };
}

function createPusher(mode: CapacityMode = 'on'): CapacityPusher {
  const random = createRandomSource(1);
  return CapacityPusher.create(CapacityEstimator.create({mode, random}));
}

function createHub(name: string): CapacityHub {
  return CapacityHub.create(createPusher().estimator, name);
}

function learn(pusher: CapacityPusher, id: string, tookMs: number): void {
  const sample = {tookMs, concurrency: 1, slots: SLOTS, slowness: undefined};
  pusher.learnSample(id, sample, 0, 1_000);
}

// Guards against nodes that never learn of others' samples, or count a sample
// twice.
test('a node receives the samples of all nodes once', () => {
  const hub = createHub('h');
  const [first, second] = [createPusher(), createPusher()];
  for (let i = 0; i < 8; i++) learn(first, 'x', 100);
  for (let i = 0; i < 8; i++) learn(second, 'x', 100);
  hub.acceptPush(first.takePush(1_000), 1_000);
  second.acceptReply(hub.acceptPush(second.takePush(1_000), 1_000), 1_000);
  first.acceptReply(hub.acceptPush(first.takePush(1_000), 1_000), 1_000);
  const weights = [first, second].map(pusher =>
    pusher.estimator.findView('x')?.estimate.getWeight(),
  );
  expect(weights[0]).toBeCloseTo(16, 0);
  expect(weights[1]).toBeCloseTo(16, 0);
});

// Guards against messages that grow with nodes times endpoints.
test('pushes and answers are limited for any number of endpoints', () => {
  const hub = createHub('h');
  const pusher = createPusher();
  for (let round = 0; round < 20; round++) {
    for (let i = 0; i < 200; i++) learn(pusher, `e${i + round}`, 20);
    const push = pusher.takePush(1_000);
    expect(push.samples.length).toBeLessThanOrEqual(MAX_PUSHED_SAMPLES);
    const {digests} = hub.acceptPush(push, 1_000);
    expect(digests.length).toBeLessThanOrEqual(MAX_ANSWERED_DIGESTS);
  }
});

// Guards against a new coordinator that makes nodes forget what they know.
test('a hub without samples does not replace an estimate', () => {
  const pusher = createPusher();
  for (let i = 0; i < 20; i++) learn(pusher, 'x', 100);
  pusher.takePush(1_000);
  learn(pusher, 'x', 100);
  const reply = createHub('new').acceptPush(pusher.takePush(1_000), 1_000);
  expect(reply.digests).toHaveLength(1);
  expect(pusher.acceptReply(reply, 1_000)).toBe(0);
  expect(pusher.estimator.findView('x')?.estimate.getWeight()).toBeGreaterThan(
    15,
  );
});

// Guards against new behavior for services that do not report their slowness.
test('reported: only services that report slowness are affected', () => {
  const endpoints = [createEntry('x'), createEntry('y')];
  const pusher = createPusher('reported');
  const selector = EndpointSelector.create('a', createRandomSource(1), pusher);
  const fixed = EndpointSelector.create('a', createRandomSource(1));
  const answer = (slowness?: number) => {
    for (const pool of [selector, fixed]) {
      pool.recordStart('x');
      const load = {running: 1, waiting: 0, slots: SLOTS, slowness};
      pool.recordEnd('x', 'answered', 90, 100, load);
    }
  };
  answer();
  expect(pusher.hasPending()).toBe(false);
  expect(pusher.estimator.isOn(endpoints)).toBe(false);
  const choose = (pool: EndpointSelector) =>
    Array.from({length: 50}, () => pool.choose(endpoints, new Set(), 200)?.id);
  expect(choose(selector)).toEqual(choose(fixed));
  answer(2.5);
  expect(pusher.estimator.isOn(endpoints)).toBe(true);
  expect(pusher.estimator.isOn([createEntry('z')])).toBe(true);
  const other = {...createEntry('z'), service: 'other'};
  expect(pusher.estimator.isOn([other])).toBe(false);
});

// Guards against an incarnation that is judged by what an earlier one did.
test('an unknown endpoint is expected to be like the median', () => {
  const pusher = createPusher();
  const selector = EndpointSelector.create('a', createRandomSource(1), pusher);
  for (let i = 0; i < 20; i++) {
    learn(pusher, 'old', 400);
    learn(pusher, 'a', 25);
    learn(pusher, 'b', 25);
  }
  const endpoints = ['new', 'a', 'b', 'old'].map(createEntry);
  selector.choose(endpoints, new Set(), 1_300);
  const baseMs = pusher.estimator.findView('new')?.baseMs ?? 0;
  expect(baseMs).toBeGreaterThan(20);
  expect(baseMs).toBeLessThan(40);
});
