/**
 * Calls of coordinators that reach one agent late, twice or in another order: around
 * a hand-over, and after the way between them was cut.
 */
import {
  AgentCommands,
  COORDINATOR_CONTACT_SCHEMA,
  LoadOrder,
  RunOrder,
  SYNC_ANSWER_SCHEMA,
  SyncCall,
  createError,
} from '@sassafrasspan/core';
import {EngineRates} from '@sassafrasspan/limits';
import type {PeerContext} from '@sassafrasspan/peers';
import {
  Metrics,
  SILENT_LOG,
  SYSTEM_CLOCK,
  waitMs,
} from '@sassafrasspan/runtime';
import {err, ok} from 'neverthrow';
import {AgentService} from './agent_service';
import type {RunListener} from './engine_ports';
import {WeightLoader} from './weight_loader';

/** Longer than any test takes. */
const LONG_MS = 30_000;
/** Time within which a contact speaks against an election. */
const RECENT_CONTACT_MS = 700;
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
  const listeners = new Map<string, RunListener>();
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
      startRun: (order, listener) => {
        started.push(order.runId);
        listeners.set(order.runId, listener);
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
  /** Sends a sync call; returns the numbers of the events in the answer by run, or
   * the kind of the error. */
  const sync = async (call: Partial<SyncCall>, context = CONTEXT) => {
    const answer = await routes['/agent/sync'](
      {
        ...{home: 'home-1', epoch: 1, after: 0, releases: []},
        ...{waitMs: LONG_MS, isAnew: false, ...call},
      },
      context,
    );
    if (answer.isErr()) return answer.error.kind;
    const {sequence, updates} = SYNC_ANSWER_SCHEMA.parse(answer.value);
    const texts = updates.map(({runId, from, events}) => {
      return [runId, from, events.map(([data]) => data).join(' ')];
    });
    return {sequence, texts};
  };
  const generate = (runId: string, data: string) => {
    listeners.get(runId)?.onEvent({data, version: 1});
  };
  const readContact = async () => {
    const report = await routes['/agent/home']({}, CONTEXT);
    return COORDINATOR_CONTACT_SCHEMA.parse(report.isOk() && report.value);
  };
  const calls = {send, sync, readContact};
  return {service, ...calls, generate, started, stopped, loads};
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

// Guards against texts with missing events: the answer to a call that the coordinator
// had given up took updates, and the next answer went on after them.
test('a sync call that arrives after a later one takes no updates', async () => {
  const {send, sync, generate} = createAgent();
  await send(1, {starts: [createOrder('1.1', 'a')]});
  const first = await sync({madeAtMs: 1});
  const current = sync({madeAtMs: 3, after: 1});
  const late = await sync({madeAtMs: 2, after: 0, isAnew: true});
  generate('1.1', 'x');
  expect({first, late, current: await current}).toEqual({
    first: {sequence: 1, texts: [['1.1', 0, '']]},
    late: 'cancelled',
    current: {sequence: 2, texts: [['1.1', 0, 'x']]},
  });
});

// Guards against texts with missing events, as above.
test('a sync call ends the wait of an earlier one, which takes no updates', async () => {
  const {send, sync, generate} = createAgent();
  await send(1, {starts: [createOrder('1.1', 'a')]});
  await sync({madeAtMs: 1});
  const earlier = sync({madeAtMs: 2, after: 1});
  const current = sync({madeAtMs: 3, after: 1});
  generate('1.1', 'x');
  expect([await earlier, await current]).toEqual([
    'cancelled',
    {sequence: 2, texts: [['1.1', 0, 'x']]},
  ]);
});

// Guards against runs that end with their coordinator, although the next one would
// take them over: a closed call counted as 8 s without contact.
test('runs go on when the coordinator closes its call', async () => {
  const {service, send, sync, readContact, stopped} = createAgent();
  void service.run();
  await send(1, {starts: [createOrder('1.1', 'a')]});
  await sync({madeAtMs: 1});
  const controller = new AbortController();
  const closed = sync({madeAtMs: 2, after: 1}, {signal: controller.signal});
  controller.abort();
  await closed;
  const {agoMs} = await readContact();
  // Several rounds of the agent.
  await waitMs(700);
  const ended = [...stopped];
  await service.stop();
  expect(ended).toEqual([]);
  expect(agoMs).toBeGreaterThan(RECENT_CONTACT_MS);
});
