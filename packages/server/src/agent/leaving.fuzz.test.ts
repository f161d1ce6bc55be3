/**
 * Two entries send work to an agent whose VM becomes leaving; only one reads
 * the VM list, and the agent is paused now and then. The oracle sees when the
 * endpoint began calls and when the list showed that it leaves.
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
import {EndpointUnit} from './endpoint_unit';

const PROMISE_MS = 3_000;
const LIST_INTERVAL_MS = 1_000;
const HEARTBEAT_MS = 1_000;
const HEARTBEAT_TIMEOUT_MS = 3_000;
const SWEEP_MS = 100;
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

/** What one entry last heard of the agent. */
interface Hearing {
  tick: number;
  heardAtMs: number;
  isLeaving: boolean;
}

/** An agent with one endpoint, and two entries. */
class LeavingWorld {
  readonly network: VirtualNetwork;
  /** When the endpoint began calls, in ms. */
  readonly starts: number[] = [];
  private readonly unit: EndpointUnit;
  private readonly runs: AgentRuns;
  private readonly hearings: Hearing[] = [0, 1].map(() => ({
    tick: 0,
    heardAtMs: 0,
    isLeaving: false,
  }));
  private leavingSinceMs = Infinity;
  private requests = 0;

  constructor(seed: number, pauses: PauseDetector) {
    this.network = VirtualNetwork.create(createRandomSource(seed), FAULTS);
    this.unit = this.createUnit();
    this.runs = AgentRuns.create({
      incarnation: 'life',
      units: new Map([[AGENT, this.unit]]),
      quarantine: Quarantine.create(),
      clock: this.network,
      scheduler: this.createScheduler(),
      pauses,
      log: LOG,
      metrics: Metrics.create(),
      getRulesRevision: () => 1,
      getHomes: () => [AGENT],
    });
    this.repeat(SWEEP_MS, () => this.sweep());
    this.repeat(HEARTBEAT_MS, () => this.sendHeartbeat());
    this.repeat(LIST_INTERVAL_MS, () => this.readList(), 'entry-0');
  }

  private createUnit(): EndpointUnit {
    const settings = {name: AGENT, service: 'app', kind: 'plain' as const};
    const bounds = {slots: 2, maxQueued: 20, fencing: 'checks' as const};
    const url = 'http://127.0.0.1:1';
    return EndpointUnit.create({...settings, ...bounds, url}, this.network, {
      startRun: (_run, sink) => {
        this.starts.push(this.network.readMonotonicMs());
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

  private sweep(): void {
    void this.unit.refreshLoad();
    this.runs.sweep();
  }

  private sendHeartbeat(): void {
    const tick = this.network.readMonotonicMs();
    const isLeaving = this.unit.getCondition() === 'leaving';
    for (const [index, hearing] of this.hearings.entries()) {
      this.network.sendMessage(AGENT, `entry-${index}`, () => {
        hearing.tick = Math.max(hearing.tick, tick);
        hearing.heardAtMs = this.network.readMonotonicMs();
        hearing.isLeaving ||= isLeaving;
      });
    }
  }

  private readList(): void {
    const nowMs = this.network.readMonotonicMs();
    if (nowMs < this.leavingSinceMs) return;
    this.hearings[0].isLeaving = true;
    this.network.sendMessage('entry-0', AGENT, () => this.unit.markLeaving());
  }

  /** The VM list shows from now on that the agent's VM is leaving. */
  startLeaving(): void {
    const nowMs = this.network.readMonotonicMs();
    this.leavingSinceMs = Math.min(this.leavingSinceMs, nowMs);
  }

  /** Sends work from an entry, if that still believes in the agent. */
  submitWork(entry: number): void {
    const {tick, heardAtMs, isLeaving} = this.hearings[entry];
    const ageMs = this.network.readMonotonicMs() - heardAtMs;
    if (isLeaving || ageMs > HEARTBEAT_TIMEOUT_MS) return;
    this.requests += 1;
    const request = createRequest(`r${this.requests}`, tick);
    this.network.sendMessage(`entry-${entry}`, AGENT, () =>
      this.runs.runRequest(request, {
        send: () => undefined,
        end: () => undefined,
        addCloseListener: () => undefined,
      }),
    );
  }

  /** The oracle: calls begun when the endpoint's time was over. */
  countLate(): number {
    const endMs = this.leavingSinceMs + PROMISE_MS;
    return this.starts.filter(startMs => startMs > endMs).length;
  }
}

function createRequest(requestId: string, seenTick: number): RunRequest {
  const work = {method: 'GET', path: '/', headers: [], body: Buffer.alloc(0)};
  return {
    requestId,
    attempt: 1,
    endpoint: AGENT,
    incarnation: 'life',
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

/** Something that happens, and the time until the next. */
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
): Promise<LeavingWorld> {
  const world = new LeavingWorld(seed, pauses);
  const advance = async (durationMs: number) => {
    for (let passed = 0; passed < durationMs; passed += SWEEP_MS) {
      world.network.advanceMs(SWEEP_MS);
      await Promise.resolve();
    }
  };
  await advance(HEARTBEAT_MS);
  let wakeAtMs = 0;
  for (const {kind, entry, count, pauseMs, afterMs} of steps) {
    const nowMs = world.network.readMonotonicMs();
    if (kind === 'leave') world.startLeaving();
    if (kind === 'pause' && nowMs >= wakeAtMs) {
      wakeAtMs = nowMs + pauseMs;
      world.network.pauseNode(AGENT);
      world.network.schedule(pauseMs, () => world.network.wakeNode(AGENT));
    }
    for (let i = 0; kind === 'work' && i < count; i++) world.submitWork(entry);
    await advance(afterMs);
  }
  await advance(PROMISE_MS * 4);
  return world;
}

test('a leaving endpoint begins no call after 3 s', async () => {
  let starts = 0;
  const property = fc.asyncProperty(SCENARIOS, async scenario => {
    const world = await runScenario(scenario, PauseDetector.create());
    starts += world.starts.length;
    expect(world.countLate()).toBe(0);
  });
  await fc.assert(property, readFuzzParameters(7_001, 300));
  expect(starts).toBeGreaterThan(0);
});

test('control: an agent that does not notice pauses begins calls', async () => {
  let late = 0;
  const property = fc.asyncProperty(SCENARIOS, async scenario => {
    const pauses = PauseDetector.create();
    pauses.isWaking = () => false;
    late += (await runScenario(scenario, pauses)).countLate();
  });
  await fc.assert(property, readFuzzParameters(7_001, 300));
  expect(late).toBeGreaterThan(0);
});
