/**
 * A leaving endpoint gets no new work, and a graceful shutdown cuts off no
 * request: separate processes under load. The oracles see what callers get
 * and which calls the endpoints ran.
 */
import {CallerAnswer, callEntry} from './clients';
import {formatDemoRules} from './demo_plan';
import {fetchStatus, waitUntil} from './node_status';
import {StartedNode, SystemPlan, TestSystem} from './system';

const DOMAINS = ['attica-a', 'attica-b'];
const PLAN: SystemPlan = {
  entries: DOMAINS.map(failureDomain => ({
    name: failureDomain.replace('attica', 'entry'),
    failureDomain,
  })),
  endpoints: DOMAINS.map((failureDomain, index) => ({
    name: `app-${index + 1}`,
    service: 'booking-app',
    kind: 'plain',
    failureDomain,
  })),
  rules: formatDemoRules(300),
  hasRelays: true,
};
const PROMISE_MS = 3_000;
const CALL_INTERVAL_MS = 20;
const SLOW_CALL_MS = 1_500;

let system: TestSystem;

beforeEach(async () => {
  system = await TestSystem.create(PLAN);
});

afterEach(async () => {
  await system.close();
});

function waitFor(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Calls of one caller, one after another, until stopped. */
class SteadyCaller {
  readonly answers: CallerAnswer[] = [];
  /** Calls that ended without an answer. */
  abortedCalls = 0;
  private isStopped = false;
  private readonly pending: Array<Promise<void>> = [];

  constructor(private readonly urls: readonly string[]) {
    void this.run();
  }

  private async run(): Promise<void> {
    for (let turn = 0; !this.isStopped; turn++) {
      this.pending.push(this.callOnce(this.urls[turn % this.urls.length]));
      await waitFor(CALL_INTERVAL_MS);
    }
  }

  private async callOnce(url: string): Promise<void> {
    const path = '/services/booking-app/shifts';
    const answer = await callEntry(url, 'kyklos', path).catch(() => undefined);
    if (answer === undefined) this.abortedCalls += 1;
    else this.answers.push(answer);
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.pending);
  }

  countStatus(status: number): number {
    return this.answers.filter(answer => answer.status === status).length;
  }
}

/** Returns how many calls an endpoint has run. */
async function countExecutions(endpoint: string): Promise<number> {
  const {url} = system.getEndpoint(endpoint);
  const reply = await fetch(`${url}/admin/truth`);
  const truth = (await reply.json()) as {executions: Record<string, number>};
  const counts = Object.values(truth.executions);
  return counts.reduce((sum, count) => sum + count, 0);
}

/** The oracle: calls that an endpoint began after its time was over. */
async function countLateCalls(leave: () => Promise<void>): Promise<number> {
  const caller = new SteadyCaller(listUrls());
  await waitUntil('both endpoints run calls', async () => {
    const first = await countExecutions('app-1');
    return first > 0 && (await countExecutions('app-2')) > 0;
  });
  await leave();
  await waitFor(PROMISE_MS);
  const before = await countExecutions('app-1');
  await waitFor(PROMISE_MS);
  const after = await countExecutions('app-1');
  await caller.stop();
  return after - before;
}

function listUrls(): string[] {
  return [...system.entries.values()].map(entry => entry.callersUrl);
}

describe('a leaving endpoint gets no new work', () => {
  test('by the VM list, with an entry that cannot read it', async () => {
    const relay = system.platformRelays.get('entry-b');
    relay?.blockTraffic();
    const late = await countLateCalls(() =>
      system.publishVms(['agent-app-1']).then(() => waitFor(500)),
    );
    expect(late).toBe(0);
  });

  test('by the VM list, with its agent frozen meanwhile', async () => {
    const agent = system.getAgent('agent-app-1').process;
    const late = await countLateCalls(async () => {
      agent.sendSignal('SIGSTOP');
      await system.publishVms(['agent-app-1']);
      await waitFor(2_500);
      agent.sendSignal('SIGCONT');
    });
    expect(late).toBe(0);
  });

  test('control: nobody tells of it', async () => {
    for (const relay of system.platformRelays.values()) relay.blockTraffic();
    const late = await countLateCalls(() =>
      system.publishVms(['agent-app-1']).then(() => waitFor(500)),
    );
    expect(late).toBeGreaterThan(0);
  });
});

test('an agent that one list misses is not dropped', async () => {
  await system.publishVms([], ['agent-app-1']);
  await waitFor(PROMISE_MS);
  const status = await fetchStatus(system.getEntry('entry-a'));
  expect(status.agents.length).toBe(PLAN.endpoints.length);
});

/** Stops a node under load; tells what its callers missed. */
async function stopUnderLoad(
  node: StartedNode,
  urls: readonly string[],
  stop: (node: StartedNode) => Promise<unknown>,
) {
  for (const name of ['app-1', 'app-2']) {
    const faults = {delayMs: SLOW_CALL_MS};
    await system.setFaults(system.getEndpoint(name), faults);
  }
  const caller = new SteadyCaller(urls);
  await waitFor(SLOW_CALL_MS);
  const stopped = stop(node);
  if (node.callersUrl !== '') await caller.stop();
  const exitCode = await stopped;
  await caller.stop();
  const refused = caller.answers.filter(answer => answer.status !== 200);
  return {
    exitCode,
    answered: caller.countStatus(200) > 0,
    cutOff: caller.abortedCalls,
    untrue: refused.filter(answer => answer.outcome !== 'not-run').length,
  };
}

async function stopTwice(node: StartedNode): Promise<number | null> {
  node.process.sendSignal('SIGTERM');
  await waitFor(100);
  return node.process.stop();
}

const GRACEFUL_STOP = {exitCode: 0, answered: true, cutOff: 0, untrue: 0};

describe('a graceful shutdown cuts off no request', () => {
  test('of an entry that is told twice', async () => {
    const entry = system.getEntry('entry-a');
    const urls = [entry.callersUrl];
    expect(await stopUnderLoad(entry, urls, stopTwice)).toEqual(GRACEFUL_STOP);
  });

  test('of an agent that is told twice', async () => {
    const agent = system.getAgent('agent-app-1');
    const seen = await stopUnderLoad(agent, listUrls(), stopTwice);
    expect(seen).toEqual(GRACEFUL_STOP);
  });

  test('control: an entry that is ended at once', async () => {
    const entry = system.getEntry('entry-a');
    const seen = await stopUnderLoad(entry, [entry.callersUrl], node =>
      node.process.kill(),
    );
    expect(seen.cutOff).toBeGreaterThan(0);
  });
});
