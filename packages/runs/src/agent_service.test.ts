/**
 * A hand-over between two coordinators before one agent: both send orders for a
 * while, some of them twice.
 */
import {
  AgentCommands,
  LoadOrder,
  RunOrder,
  createError,
} from '@sassafrasspan/core';
import {EngineRates} from '@sassafrasspan/limits';
import type {PeerContext} from '@sassafrasspan/peers';
import {Metrics, SILENT_LOG, SYSTEM_CLOCK} from '@sassafrasspan/runtime';
import {err, ok} from 'neverthrow';
import {AgentService} from './agent_service';
import {WeightLoader} from './weight_loader';

const CONTEXT: PeerContext = {signal: new AbortController().signal};

function createOrder(runId: string, itemId: string): RunOrder {
  return {
    runId,
    jobId: 'j',
    itemId,
    endpointId: 'e',
    software: 's',
    host: 'h',
    path: '/p',
    headers: {},
    body: '',
    prior: [],
    leftMs: 10_000,
    priority: 5,
  };
}

/** Creates an agent whose engine records the runs and stops that it gets. */
function createAgent() {
  const started: string[] = [];
  const stopped: string[] = [];
  const loads: LoadOrder[] = [];
  const control = {
    readReport: async () => err(createError('endpoint-failed', 'not asked')),
    orderVersion: async () => ok('accepted' as const),
  };
  const common = {clock: SYSTEM_CLOCK, log: SILENT_LOG};
  const loader = WeightLoader.create({...common, holder: 'vm', control});
  jest.spyOn(loader, 'request').mockImplementation(load => loads.push(load));
  const service = AgentService.create({
    ...common,
    incarnation: 'i',
    runner: {
      startRun: order => {
        started.push(order.runId);
        return () => stopped.push(order.runId);
      },
    },
    control,
    loader,
    findEpoch: () => 0,
    rates: EngineRates.create({...common, metrics: Metrics.create()}),
    metrics: Metrics.create(),
  });
  const routes = service.createRoutes();
  const send = async (epoch: number, commands: Partial<AgentCommands>) => {
    const answer = await routes['/agent/commands'](
      {
        home: `home-${epoch}`,
        epoch,
        tick: SYSTEM_CLOCK.readMonotonicMs(),
        starts: [],
        stops: [],
        loads: [],
        ...commands,
      },
      CONTEXT,
    );
    return answer.isOk() ? 'ok' : answer.error.kind;
  };
  return {send, started, stopped, loads};
}

test('after a hand-over only the later coordinator is obeyed', async () => {
  const {send, started, stopped, loads} = createAgent();
  const load: LoadOrder = {
    endpointId: 'e',
    model: 'm',
    version: 2,
    fencingNumber: 1,
    finishesRuns: false,
  };
  const answers = [
    await send(1, {starts: [createOrder('1.1', 'a')]}),
    await send(2, {starts: [createOrder('2.1', 'b')]}),
    await send(1, {starts: [createOrder('1.2', 'c')]}),
    await send(1, {stops: ['2.1']}),
    await send(1, {loads: [load]}),
    await send(2, {stops: ['1.1']}),
  ];
  expect(answers).toEqual([
    'ok',
    'ok',
    'not-home',
    'not-home',
    'not-home',
    'ok',
  ]);
  expect({started, stopped, loads}).toEqual({
    started: ['1.1', '2.1'],
    stopped: ['1.1'],
    loads: [],
  });
});

test('an order that arrives twice starts one run', async () => {
  const {send, started} = createAgent();
  const commands = {starts: [createOrder('1.1', 'a')]};
  expect([await send(1, commands), await send(1, commands)]).toEqual([
    'ok',
    'ok',
  ]);
  expect(started).toEqual(['1.1']);
});

test('an order that was delayed on its way starts nothing', async () => {
  const {send, started, loads} = createAgent();
  const tick = SYSTEM_CLOCK.readMonotonicMs() - 2_000;
  const late = await send(1, {tick, starts: [createOrder('1.1', 'a')]});
  expect({late, started, loads}).toEqual({
    late: 'stale-dispatch',
    started: [],
    loads: [],
  });
});
