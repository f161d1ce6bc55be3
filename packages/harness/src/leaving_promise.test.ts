/**
 * A leaving endpoint gets no new work, and a graceful shutdown aborts no
 * request, in separate processes under load. The oracles count the answers that
 * callers receive and the calls that endpoints ran.
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
/** Time within which a leaving endpoint gets no more work. */
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

/** A caller that starts calls at a steady rate until it is stopped. */
class SteadyCaller {
  readonly answers: CallerAnswer[] = [];
  /** Number of calls that ended without an answer. */
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

/** Returns the number of calls that an endpoint has run. */
async function countExecutions(endpoint: string): Promise<number> {
  const {url} = system.getEndpoint(endpoint);
  const reply = await fetch(`${url}/admin/truth`);
  const truth = (await reply.json()) as {executions: Record<string, number>};
  const counts = Object.values(truth.executions);
  return counts.reduce((sum, count) => sum + count, 0);
}

/** The oracle: calls that app-1 started after its time to leave had passed. */
async function countLateCalls(
  startLeaving: () => Promise<void>,
): Promise<number> {
  const caller = new SteadyCaller(listUrls());
  await waitUntil('both endpoints run calls', async () => {
    const first = await countExecutions('app-1');
    return first > 0 && (await countExecutions('app-2')) > 0;
  });
  await startLeaving();
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
  test('that the VM list marks, while one entry cannot read the list', async () => {
    const relay = system.platformRelays.get('entry-b');
    relay?.blockTraffic();
    const late = await countLateCalls(() =>
      system.publishVms(['agent-app-1']).then(() => waitFor(500)),
    );
    expect(late).toBe(0);
  });

  test('that the VM list marks while its agent is paused', async () => {
    const agent = system.getAgent('agent-app-1').process;
    const late = await countLateCalls(async () => {
      agent.sendSignal('SIGSTOP');
      await system.publishVms(['agent-app-1']);
      await waitFor(2_500);
      agent.sendSignal('SIGCONT');
    });
    expect(late).toBe(0);
  });

  test('control: without any node that reads the VM list', async () => {
    for (const relay of system.platformRelays.values()) relay.blockTraffic();
    const late = await countLateCalls(() =>
      system.publishVms(['agent-app-1']).then(() => waitFor(500)),
    );
    expect(late).toBeGreaterThan(0);
  });
});

test('an agent missing from one VM list is not dropped', async () => {
  await system.publishVms([], ['agent-app-1']);
  await waitFor(PROMISE_MS);
  const status = await fetchStatus(system.getEntry('entry-a'));
  expect(status.agents.length).toBe(PLAN.endpoints.length);
});

/** Stops a node under load; counts calls without a complete answer. */
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
    abortedCalls: caller.abortedCalls,
    wrongOutcomes: refused.filter(answer => answer.outcome !== 'not-run')
      .length,
  };
}

async function stopTwice(node: StartedNode): Promise<number | null> {
  node.process.sendSignal('SIGTERM');
  await waitFor(100);
  return node.process.stop();
}

const GRACEFUL_STOP = {
  exitCode: 0,
  answered: true,
  abortedCalls: 0,
  wrongOutcomes: 0,
};

describe('a graceful shutdown aborts no request', () => {
  test('of an entry that gets SIGTERM twice', async () => {
    const entry = system.getEntry('entry-a');
    const urls = [entry.callersUrl];
    expect(await stopUnderLoad(entry, urls, stopTwice)).toEqual(GRACEFUL_STOP);
  });

  test('of an agent that gets SIGTERM twice', async () => {
    const agent = system.getAgent('agent-app-1');
    const result = await stopUnderLoad(agent, listUrls(), stopTwice);
    expect(result).toEqual(GRACEFUL_STOP);
  });

  test('control: an entry that is killed', async () => {
    const entry = system.getEntry('entry-a');
    const result = await stopUnderLoad(entry, [entry.callersUrl], node =>
      node.process.kill(),
    );
    expect(result.abortedCalls).toBeGreaterThan(0);
  });
});
