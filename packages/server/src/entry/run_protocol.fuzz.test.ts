/**
 * Fuzzes the run protocol between entries and agents with the real attempts,
 * retry decisions, run tables and answers. The network delays, drops,
 * duplicates and reorders messages, agents restart and nodes pause. The oracle
 * compares what callers are told with what endpoints execute.
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
type SimulationCommand = fc.AsyncCommand<Model, RunSimulation>;

const entryName = fc.constantFrom(...ENTRIES);
const agentName = fc.constantFrom(...AGENTS);
const nodeName = fc.constantFrom(...ENTRIES, ...AGENTS);

function createCommand(
  name: string,
  run: (simulation: RunSimulation) => Promise<void> | void,
): SimulationCommand {
  return {
    check: () => true,
    run: async (_model, simulation) => run(simulation),
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
    createCommand(`submit ${JSON.stringify(request)}`, simulation =>
      simulation.submitRequest(request),
    ),
  );

const advance = fc
  .integer({min: 20, max: 1_500})
  .map(ms =>
    createCommand(`advance ${ms} ms`, simulation => simulation.advance(ms)),
  );

const restart = agentName.map(agent =>
  createCommand(`restart ${agent}`, simulation =>
    simulation.restartAgent(agent),
  ),
);

const pause = fc
  .tuple(nodeName, fc.integer({min: 100, max: 15_000}))
  .map(([node, ms]) =>
    createCommand(`pause ${node} for ${ms} ms`, simulation => {
      simulation.network.pauseNode(node);
      simulation.network.schedule(ms, () => simulation.network.wakeNode(node));
    }),
  );

const cut = fc
  .tuple(agentName, fc.integer({min: 100, max: 6_000}))
  .map(([agent, ms]) =>
    createCommand(`cut ${agent} for ${ms} ms`, simulation => {
      simulation.network.cutNode(agent);
      simulation.network.schedule(ms, () => simulation.network.healNode(agent));
    }),
  );

const cancel = fc
  .integer({min: 1, max: 6})
  .map(number =>
    createCommand(`cancel r${number}`, simulation =>
      simulation.cancelRequest(`r${number}`),
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
      const simulation = await RunSimulation.create({
        seed,
        faults: network,
        ...mechanisms,
      });
      const createSetup = () => ({model: {}, real: simulation});
      await fc.asyncModelRun(createSetup, list);
      await simulation.settle(RELIABLE_NETWORK);
      const violations = simulation.listViolations();
      for (const violation of violations) seen.add(violation);
      expect(violations).toEqual([]);
    },
  );
}

test('callers receive complete answers and correct outcomes', async () => {
  const property = createProperty({}, new Set());
  await fc.assert(property, readFuzzParameters(4_501, 200));
});

/** Returns a table with some methods replaced. */
function replaceMethods(table: RunTable, methods: Partial<RunTable>): RunTable {
  return new Proxy(table, {
    get: (target, name) => {
      const replacement: unknown = Reflect.get(methods, name);
      if (replacement !== undefined) return replacement;
      const value: unknown = Reflect.get(target, name);
      return typeof value === 'function' ? value.bind(target) : value;
    },
  });
}

/** Creates a table that reports every run without a record as not run. */
function createTableTrustingRecords(incarnation: string): RunTable {
  const table = RunTable.create({incarnation});
  return replaceMethods(table, {
    revokeRun: (revocation, tick) =>
      table.findRecord(revocation) === undefined
        ? 'not-run'
        : table.revokeRun(revocation, tick),
  });
}

/**
 * Creates a table that drops the tombstones of revoked runs and admits
 * dispatches of any age.
 */
function createTableWithoutTombstones(incarnation: string): RunTable {
  let table = RunTable.create({incarnation});
  const findRecord: RunTable['findRecord'] = name => table.findRecord(name);
  return replaceMethods(table, {
    findRecord,
    admitDispatch: (dispatch, guard) =>
      table.admitDispatch({...dispatch, seenTick: guard.nowMs}, guard),
    revokeRun: (revocation, tick) => {
      const status = table.revokeRun(revocation, tick);
      if (status === 'not-run') table = copyRecords(table, incarnation);
      return status;
    },
  });
}

/** Returns a new table with the run records of another, and nothing else. */
function copyRecords(table: RunTable, incarnation: string): RunTable {
  const copy = RunTable.create({incarnation});
  const field = 'records';
  Reflect.set(copy, field, Reflect.get(table, field));
  return copy;
}

/** Returns a peer that runs a request again instead of resuming its answer. */
function repeatOnResume(peer: RunPeer): RunPeer {
  let lastRequest: Parameters<RunPeer['startRun']>[0] | undefined;
  return {
    ...peer,
    startRun: (request, listener) => {
      lastRequest = request;
      return peer.startRun(request, listener);
    },
    resumeRun: (resume, listener) => {
      if (lastRequest === undefined) return peer.resumeRun(resume, listener);
      lastRequest = {...lastRequest, attempt: lastRequest.attempt + 100};
      const attempt = resume.attempt ?? 1;
      return peer.startRun(lastRequest, {
        receiveMessage: frame => listener.receiveMessage({...frame, attempt}),
        handleLoss: reason => listener.handleLoss(reason),
      });
    },
  };
}

/** Returns a peer that reports every lost run as not run. */
function reportLostAsNotRun(peer: RunPeer): RunPeer {
  return {
    ...peer,
    revokeRun: async request => {
      const reply = await peer.revokeRun(request);
      return reply.map(value => ({...value, state: 1}));
    },
  };
}

/** Faulty mechanisms that the oracle must detect. */
const CONTROLS: ReadonlyArray<readonly [string, Mechanisms]> = [
  [
    'tables that treat unknown runs as not run',
    {createTable: createTableTrustingRecords},
  ],
  [
    'tables that ignore tombstones and ages',
    {createTable: createTableWithoutTombstones},
  ],
  ['resumptions that run the request again', {wrapPeer: repeatOnResume}],
  ['entries that treat lost runs as not run', {wrapPeer: reportLostAsNotRun}],
];

test.each(CONTROLS)('the oracle reports %s', async (_name, mechanisms) => {
  const seen = new Set<string>();
  const property = createProperty(mechanisms, seen);
  const details = await fc.check(property, {
    ...readFuzzParameters(4_501, 300),
    numRuns: 300,
    seed: 4_501,
  });
  expect(details.failed).toBe(true);
  expect([...seen].sort()).toMatchSnapshot();
});
