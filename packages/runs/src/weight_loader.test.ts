/**
 * Orders to an engine that is unreachable while coordinators replace each other.
 */
import type {LoadOrder} from '@sassafrasspan/core';
import {createError} from '@sassafrasspan/core';
import {SILENT_LOG, SYSTEM_CLOCK} from '@sassafrasspan/runtime';
import {err, ok} from 'neverthrow';
import type {EngineReport, VersionOrder} from './engine_ports';
import {WeightLoader} from './weight_loader';

function createOrder(
  model: string,
  version: number,
  fencingNumber: number,
): LoadOrder {
  return {
    ...{endpointId: 'e', model, version, fencingNumber},
    finishesRuns: false,
  };
}

/** Creates a loader and an engine that loads at once what it is ordered. */
function createEngine() {
  const versions: Record<string, number> = {};
  const orders: VersionOrder[] = [];
  let nowMs = 0;
  let isReachable = true;
  const report = (): EngineReport => ({
    isReachable: true,
    versions: {...versions},
    isBusy: false,
    running: 0,
    waiting: 0,
    memoryUsed: 0,
    orderSequence: orders.length,
  });
  const loader = WeightLoader.create({
    holder: 'vm',
    control: {
      readReport: async () => ok(report()),
      orderVersion: async order => {
        if (!isReachable) return err(createError('endpoint-failed', 'dark'));
        orders.push(order);
        versions[order.model] = order.version;
        return ok('accepted' as const);
      },
    },
    clock: {...SYSTEM_CLOCK, readMonotonicMs: () => nowMs},
    log: SILENT_LOG,
  });
  return {
    loader,
    orders,
    setReachable: (value: boolean) => {
      isReachable = value;
    },
    /** Advances the loader until nothing is pending. */
    async settle() {
      for (let round = 0; round < 20 && loader.isPending(); round++) {
        nowMs += 10_000;
        await loader.advance(report());
      }
    },
  };
}

// Guards against orders of replaced coordinators that an engine got after newer
// ones (review/3).
test('an engine that was unreachable gets no order of an earlier coordinator', async () => {
  const {loader, orders, setReachable, settle} = createEngine();
  setReachable(false);
  loader.request(createOrder('m-b', 3, 1));
  loader.request(createOrder('m-a', 3, 2));
  await settle();
  loader.request(createOrder('m-b', 4, 3));
  setReachable(true);
  await settle();
  loader.request(createOrder('m-a', 3, 3));
  await settle();
  expect(
    orders.map(({model, version, fencingNumber}) => [
      model,
      version,
      fencingNumber,
    ]),
  ).toEqual([
    ['m-b', 4, 3],
    ['m-a', 3, 3],
  ]);
});

test('a coordinator is obeyed also if it orders an older version than the one before', async () => {
  const {loader, orders, setReachable, settle} = createEngine();
  setReachable(false);
  loader.request(createOrder('m', 4, 1));
  loader.request(createOrder('m', 3, 2));
  setReachable(true);
  await settle();
  expect(orders.map(order => order.fencingNumber)).toEqual([2]);
});

test('contact with a new coordinator drops the pending orders of the one before', async () => {
  const {loader, orders, setReachable, settle} = createEngine();
  setReachable(false);
  loader.request(createOrder('m', 2, 1));
  loader.startEpoch(2);
  loader.request(createOrder('m', 2, 1));
  setReachable(true);
  await settle();
  expect({orders, isPending: loader.isPending()}).toEqual({
    orders: [],
    isPending: false,
  });
});
