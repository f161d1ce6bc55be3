/**
 * Two entries send work to an agent whose VM starts to leave. Only one entry
 * reads the VM list, and the agent is paused at random. The oracle compares the
 * times at which the endpoint started calls with the time at which the list
 * first showed the VM as leaving.
 */
import {
  PauseDetector,
  Quarantine,
  Scheduler,
  createRandomSource,
} from '@sassafrasspan/core';
import {
  NetworkFaults,
  VirtualNetwork,
  readFuzzParameters,
} from '@sassafrasspan/core/testing';
import type {RunRequest} from '@sassafrasspan/nodes';
import {Metrics, createEventLog} from '@sassafrasspan/runtime';
import fc from 'fast-check';
import {ok} from 'neverthrow';
import {AgentRuns} from './agent_runs';
import {ManagedEndpoint} from './managed_endpoint';

const MAX_START_DELAY_MS = 3_000;
const LIST_INTERVAL_MS = 1_000;
const HEARTBEAT_INTERVAL_MS = 1_000;
const HEARTBEAT_TIMEOUT_MS = 3_000;
const MAINTENANCE_INTERVAL_MS = 100;
const WORK_MS = 900;
const AGENT = 'agent';
const FAULTS: NetworkFaults = {
  minDelayMs: 1,
  maxDelayMs: 250,
  dropShare: 0,
  duplicateShare: 0.2,
};
const LOG = createEventLog({node: 'fuzz', role: 'agent', level: 'error'});
const END = {
  finishReason: 'stop',
  promptTokens: 0,
  completionTokens: 0,
  cachedTokens: 0,
};
const IDLE = {
  running: 0,
  waiting: 0,
  kvUsePermille: 0,
  weightVersion: 1,
  tokensPerSecond: 0,
};

/** State of the agent as one entry knows it from heartbeats. */
interface AgentContact {
  tick: number;
  lastContactAtMs: number;
  isLeaving: boolean;
}

/** An agent with one endpoint, and two entries. */
class LeavingSimulation {
  readonly network: VirtualNetwork;
  /** Times at which the endpoint started calls. */
  readonly startTimesMs: number[] = [];
  private readonly endpoint: ManagedEndpoint;
  private readonly runs: AgentRuns;
  private readonly contacts: AgentContact[] = [0, 1].map(() => ({
    tick: 0,
    lastContactAtMs: 0,
    isLeaving: false,
  }));
  private leavingSinceMs = Infinity;
  private requestCount = 0;

  constructor(seed: number, pauses: PauseDetector) {
    this.network = VirtualNetwork.create(createRandomSource(seed), FAULTS);
    this.endpoint = this.createEndpoint();
    this.runs = AgentRuns.create({
      incarnation: 'incarnation-1',
      endpoints: new Map([[AGENT, this.endpoint]]),
      quarantine: Quarantine.create(),
      clock: this.network,
      scheduler: this.createScheduler(),
      pauseDetector: pauses,
      log: LOG,
      metrics: Metrics.create(),
      getRulesRevision: () => 1,
      getKeyOwners: () => [AGENT],
    });
    this.repeat(MAINTENANCE_INTERVAL_MS, () => this.runMaintenance());
    this.repeat(HEARTBEAT_INTERVAL_MS, () => this.sendHeartbeat());
    this.repeat(LIST_INTERVAL_MS, () => this.readList(), 'entry-0');
  }

  private createEndpoint(): ManagedEndpoint {
    const settings = {name: AGENT, service: 'app', kind: 'plain' as const};
    const bounds = {slots: 2, maxQueued: 20, fencing: 'checks' as const};
    const url = 'http://127.0.0.1:1';
    return ManagedEndpoint.create({...settings, ...bounds, url}, this.network, {
      startRun: (_run, sink) => {
        this.startTimesMs.push(this.network.readMonotonicMs());
        const finish = () => sink.finish(END);
        this.network.schedule(WORK_MS, () =>
          this.network.runAtNode(AGENT, finish),
        );
        return {cancel: () => undefined};
      },
      readLoad: async () => ok(IDLE),
      sendOrder: async () => ok(undefined),
    });
  }

  private createScheduler(): Scheduler {
    return {schedule: () => () => undefined};
  }

  private repeat(intervalMs: number, task: () => void, node = AGENT): void {
    const runAgain = () => {
      this.network.runAtNode(node, task);
      this.network.schedule(intervalMs, runAgain);
    };
    runAgain();
  }

  private runMaintenance(): void {
    void this.endpoint.refreshLoad();
    this.runs.runMaintenance();
  }

  private sendHeartbeat(): void {
    const tick = this.network.readMonotonicMs();
    const isLeaving = this.endpoint.getCondition() === 'leaving';
    for (const [index, contact] of this.contacts.entries()) {
      this.network.sendMessage(AGENT, `entry-${index}`, () => {
        contact.tick = Math.max(contact.tick, tick);
        contact.lastContactAtMs = this.network.readMonotonicMs();
        contact.isLeaving ||= isLeaving;
      });
    }
  }

  private readList(): void {
    const nowMs = this.network.readMonotonicMs();
    if (nowMs < this.leavingSinceMs) return;
    this.contacts[0].isLeaving = true;
    this.network.sendMessage('entry-0', AGENT, () =>
      this.endpoint.markLeaving(),
    );
  }

  /** Makes the VM list show the agent's VM as leaving from now on. */
  startLeaving(): void {
    const nowMs = this.network.readMonotonicMs();
    this.leavingSinceMs = Math.min(this.leavingSinceMs, nowMs);
  }

  /** Sends work from an entry if it considers the agent available. */
  submitWork(entry: number): void {
    const {
      tick,
      lastContactAtMs: lastContactAtMs,
      isLeaving,
    } = this.contacts[entry];
    const ageMs = this.network.readMonotonicMs() - lastContactAtMs;
    if (isLeaving || ageMs > HEARTBEAT_TIMEOUT_MS) return;
    this.requestCount += 1;
    const request = createRequest(`r${this.requestCount}`, tick);
    this.network.sendMessage(`entry-${entry}`, AGENT, () =>
      this.runs.runRequest(request, {
        send: () => undefined,
        end: () => undefined,
        addCloseListener: () => undefined,
      }),
    );
  }

  /** The oracle: counts calls started too long after leaving began. */
  countLateStarts(): number {
    const endMs = this.leavingSinceMs + MAX_START_DELAY_MS;
    return this.startTimesMs.filter(startMs => startMs > endMs).length;
  }
}

function createRequest(requestId: string, seenTick: number): RunRequest {
  const work = {method: 'GET', path: '/', headers: [], body: Buffer.alloc(0)};
  return {
    requestId,
    attempt: 1,
    endpoint: AGENT,
    incarnation: 'incarnation-1',
    rulesRevision: 1,
    budgetMs: 20_000,
    seenTick,
    customer: 'kyklos',
    priority: 0,
    idempotent: true,
    idempotencyKey: '',
    fingerprint: requestId,
    expectedTokens: 0,
    minVersion: 0,
    entry: 'entry',
    prefixKey: '',
    work: {$case: 'http', value: work},
  };
}

/** An event, and the time until the next one. */
const STEPS = fc.record({
  kind: fc.constantFrom('work', 'work', 'work', 'pause', 'leave'),
  entry: fc.nat(1),
  count: fc.integer({min: 1, max: 6}),
  pauseMs: fc.integer({min: 50, max: 6_000}),
  afterMs: fc.integer({min: 0, max: 700}),
});
const SCENARIOS = fc.record({
  seed: fc.nat(),
  steps: fc.array(STEPS, {minLength: 10, maxLength: 40}),
});
type Scenario = typeof SCENARIOS extends fc.Arbitrary<infer T> ? T : never;

async function runScenario(
  {seed, steps}: Scenario,
  pauses: PauseDetector,
): Promise<LeavingSimulation> {
  const simulation = new LeavingSimulation(seed, pauses);
  const advance = async (durationMs: number) => {
    for (
      let passed = 0;
      passed < durationMs;
      passed += MAINTENANCE_INTERVAL_MS
    ) {
      simulation.network.advanceMs(MAINTENANCE_INTERVAL_MS);
      await Promise.resolve();
    }
  };
  await advance(HEARTBEAT_INTERVAL_MS);
  let wakeAtMs = 0;
  for (const {kind, entry, count, pauseMs, afterMs} of steps) {
    const nowMs = simulation.network.readMonotonicMs();
    if (kind === 'leave') simulation.startLeaving();
    if (kind === 'pause' && nowMs >= wakeAtMs) {
      wakeAtMs = nowMs + pauseMs;
      simulation.network.pauseNode(AGENT);
      simulation.network.schedule(pauseMs, () =>
        simulation.network.wakeNode(AGENT),
      );
    }
    for (let i = 0; kind === 'work' && i < count; i++) {
      simulation.submitWork(entry);
    }
    await advance(afterMs);
  }
  await advance(MAX_START_DELAY_MS * 4);
  return simulation;
}

test('a leaving endpoint starts no call after 3 s', async () => {
  let startCount = 0;
  const property = fc.asyncProperty(SCENARIOS, async scenario => {
    const simulation = await runScenario(scenario, PauseDetector.create());
    startCount += simulation.startTimesMs.length;
    expect(simulation.countLateStarts()).toBe(0);
  });
  await fc.assert(property, readFuzzParameters(7_001, 300));
  expect(startCount).toBeGreaterThan(0);
});

test('control: an agent that does not detect pauses starts calls late', async () => {
  let lateStarts = 0;
  const property = fc.asyncProperty(SCENARIOS, async scenario => {
    const pauses = PauseDetector.create();
    pauses.isWaking = () => false;
    lateStarts += (await runScenario(scenario, pauses)).countLateStarts();
  });
  await fc.assert(property, readFuzzParameters(7_001, 300));
  expect(lateStarts).toBeGreaterThan(0);
});
