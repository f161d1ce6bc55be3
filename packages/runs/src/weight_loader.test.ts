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

/** Report of an engine that has taken one order and does not state its versions. */
const UNLOADED_REPORT: EngineReport = {
  isReachable: true,
  versions: {},
  isBusy: false,
  running: 0,
  waiting: 0,
  memoryUsed: 0,
  orderSequence: 1,
};

/** Creates a loader and an engine that loads at once what it is ordered. */
function createEngine() {
  const versions: Record<string, number> = {};
  const orders: VersionOrder[] = [];
  let nowMs = 0;
  let isReachable = true;
  let handleOrder = () => undefined as void;
  const createReport = (): EngineReport => ({
    ...UNLOADED_REPORT,
    versions: {...versions},
    orderSequence: orders.length,
  });
  const loader = WeightLoader.create({
    holder: 'vm',
    control: {
      readReport: async () => ok(createReport()),
      orderVersion: async order => {
        if (!isReachable) return err(createError('endpoint-failed', 'dark'));
        orders.push(order);
        handleOrder();
        if ((versions[order.model] ?? 0) >= order.version) {
          return ok('holds' as const);
        }
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
    /** Calls a function while the engine handles an order. */
    interceptOrder: (call: () => void) => {
      handleOrder = call;
    },
    /** Advances the loader until nothing is pending. */
    async settle() {
      for (let round = 0; round < 20 && loader.isPending(); round++) {
        nowMs += 10_000;
        await loader.advance(createReport());
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

// Guards against loads that nobody orders, after a hand-over within a call.
test('an answer to an order leaves the order that replaced it pending', async () => {
  const {loader, orders, interceptOrder, settle} = createEngine();
  loader.request(createOrder('m', 2, 1));
  await settle();
  interceptOrder(() => loader.request(createOrder('m', 3, 2)));
  loader.request(createOrder('m', 2, 1));
  await loader.advance(UNLOADED_REPORT);
  expect(loader.isPending()).toBe(true);
  await settle();
  expect(orders.map(order => order.version)).toEqual([2, 2, 3]);
});
