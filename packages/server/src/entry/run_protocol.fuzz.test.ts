/**
 * Fuzzes runs between entries and agents: the real attempts, retry decision,
 * run table and answers over a network that delays, drops, doubles and
 * reorders, with agents that restart and nodes that pause. The oracle sees
 * what callers are told and what endpoints execute.
 */
import {RunTable} from '@sassafrasspan/core';
import {
  RELIABLE_NETWORK,
  NetworkFaults,
  readFuzzParameters,
} from '@sassafrasspan/core/testing';
import fc from 'fast-check';
import {
  AGENTS,
  ENTRIES,
  RunSimulation,
  RunSimulationOptions,
} from '../testing/run_simulation';
import type {RunPeer} from '../testing/simulated_peer';

type Mechanisms = Pick<RunSimulationOptions, 'createTable' | 'wrapPeer'>;
type Model = Readonly<Record<string, never>>;
type WorldCommand = fc.AsyncCommand<Model, RunSimulation>;

const entryName = fc.constantFrom(...ENTRIES);
const agentName = fc.constantFrom(...AGENTS);
const nodeName = fc.constantFrom(...ENTRIES, ...AGENTS);

function createCommand(
  name: string,
  run: (world: RunSimulation) => Promise<void> | void,
): WorldCommand {
  return {
    check: () => true,
    run: async (_model, world) => run(world),
    toString: () => name,
  };
}

const submit = fc
  .record({
    entry: entryName,
    isIdempotent: fc.boolean(),
    isStreamed: fc.boolean(),
    idempotencyKey: fc.constant(''),
    budgetMs: fc.integer({min: 200, max: 12_000}),
  })
  .map(request =>
    createCommand(`submit ${JSON.stringify(request)}`, world =>
      world.submitRequest(request),
    ),
  );

const advance = fc
  .integer({min: 20, max: 1_500})
  .map(ms => createCommand(`advance ${ms} ms`, world => world.advance(ms)));

const restart = agentName.map(agent =>
  createCommand(`restart ${agent}`, world => world.restartAgent(agent)),
);

const pause = fc
  .tuple(nodeName, fc.integer({min: 100, max: 15_000}))
  .map(([node, ms]) =>
    createCommand(`pause ${node} for ${ms} ms`, world => {
      world.network.pauseNode(node);
      world.network.schedule(ms, () => world.network.wakeNode(node));
    }),
  );

const cut = fc
  .tuple(agentName, fc.integer({min: 100, max: 6_000}))
  .map(([agent, ms]) =>
    createCommand(`cut ${agent} for ${ms} ms`, world => {
      world.network.cutNode(agent);
      world.network.schedule(ms, () => world.network.healNode(agent));
    }),
  );

const cancel = fc
  .integer({min: 1, max: 6})
  .map(number =>
    createCommand(`cancel r${number}`, world =>
      world.cancelRequest(`r${number}`),
    ),
  );

const commands = fc.commands(
  [submit, submit, advance, restart, pause, cut, cancel],
  {maxCommands: 14},
);

const faults: fc.Arbitrary<NetworkFaults> = fc.record({
  minDelayMs: fc.constant(1),
  maxDelayMs: fc.constantFrom(5, 300, 5_000),
  dropShare: fc.constantFrom(0, 0.05, 0.3),
  duplicateShare: fc.constantFrom(0, 0.3),
});

function createProperty(mechanisms: Mechanisms, seen: Set<string>) {
  return fc.asyncProperty(
    fc.integer(),
    faults,
    commands,
    async (seed, network, list) => {
      const world = await RunSimulation.create({
        seed,
        faults: network,
        ...mechanisms,
      });
      const createSetup = () => ({model: {}, real: world});
      await fc.asyncModelRun(createSetup, list);
      await world.settle(RELIABLE_NETWORK);
      const violations = world.listViolations();
      for (const violation of violations) seen.add(violation);
      expect(violations).toEqual([]);
    },
  );
}

test('answers are whole and statements true', async () => {
  const property = createProperty({}, new Set());
  await fc.assert(property, readFuzzParameters(4_501, 200));
});

/** Replaces methods of a table and leaves the others. */
function replaceMethods(table: RunTable, methods: Partial<RunTable>): RunTable {
  return new Proxy(table, {
    get: (target, name) => {
      const own: unknown = Reflect.get(methods, name);
      if (own !== undefined) return own;
      const value: unknown = Reflect.get(target, name);
      return typeof value === 'function' ? value.bind(target) : value;
    },
  });
}

/** Takes every run that is not in the table for one that never was. */
function createForgetfulTable(incarnation: string): RunTable {
  const table = RunTable.create({incarnation});
  return replaceMethods(table, {
    revokeRun: (revocation, tick) =>
      table.findRecord(revocation) === undefined
        ? 'not-run'
        : table.revokeRun(revocation, tick),
  });
}

/** Forgets what it refused and revoked, and admits dispatches of any age. */
function createTimelessTable(incarnation: string): RunTable {
  let table = RunTable.create({incarnation});
  const find: RunTable['findRecord'] = name => table.findRecord(name);
  return replaceMethods(table, {
    findRecord: find,
    admitDispatch: (dispatch, guard) =>
      table.admitDispatch({...dispatch, seenTick: guard.nowMs}, guard),
    revokeRun: (revocation, tick) => {
      const status = table.revokeRun(revocation, tick);
      if (status === 'not-run') table = copyRecords(table, incarnation);
      return status;
    },
  });
}

function copyRecords(table: RunTable, incarnation: string): RunTable {
  const fresh = RunTable.create({incarnation});
  const field = 'records';
  Reflect.set(fresh, field, Reflect.get(table, field));
  return fresh;
}

/** Runs the request again in place of resuming its answer. */
function repeatOnResume(peer: RunPeer): RunPeer {
  let last: Parameters<RunPeer['startRun']>[0] | undefined;
  return {
    ...peer,
    startRun: (request, listener) => {
      last = request;
      return peer.startRun(request, listener);
    },
    resumeRun: (resume, listener) => {
      if (last === undefined) return peer.resumeRun(resume, listener);
      last = {...last, attempt: last.attempt + 100};
      const attempt = resume.attempt ?? 1;
      return peer.startRun(last, {
        receiveMessage: frame => listener.receiveMessage({...frame, attempt}),
        handleLoss: reason => listener.handleLoss(reason),
      });
    },
  };
}

/** Believes every lost run to be one that did not start. */
function acceptSilence(peer: RunPeer): RunPeer {
  return {
    ...peer,
    revokeRun: async request => {
      const reply = await peer.revokeRun(request);
      return reply.map(found => ({...found, state: 1}));
    },
  };
}

const CONTROLS: ReadonlyArray<readonly [string, Mechanisms]> = [
  ['a table without traces', {createTable: createForgetfulTable}],
  ['a table without tombstones and ages', {createTable: createTimelessTable}],
  ['resumption that runs again', {wrapPeer: repeatOnResume}],
  ['entries that take silence for not-run', {wrapPeer: acceptSilence}],
];

test.each(CONTROLS)('the oracle reports %s', async (_name, mechanisms) => {
  const seen = new Set<string>();
  const property = createProperty(mechanisms, seen);
  const checked = await fc.check(property, {
    ...readFuzzParameters(4_501, 300),
    numRuns: 300,
    seed: 4_501,
  });
  expect(checked.failed).toBe(true);
  expect([...seen].sort()).toMatchSnapshot();
});
