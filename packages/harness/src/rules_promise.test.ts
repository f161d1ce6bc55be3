/**
 * Accepted rules come into force in every failure domain and never revert, in
 * separate processes: the platform is down, failure domains are partitioned,
 * nodes are paused and restarted.
 */
import {parseRules, applyRules} from '@sassafrasspan/operators';
import {ObjectClient} from '@sassafrasspan/platform';
import {callEntry} from './clients';
import {formatDemoRules} from './demo_plan';
import {fetchStatus, waitUntil} from './node_status';
import {StartedNode, SystemPlan, TestSystem} from './system';

const DOMAINS = ['attica-a', 'attica-b', 'attica-c'];
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
  hasLinks: true,
};
/** Time of several heartbeats, which carry revisions between nodes. */
const HEARTBEATS_MS = 4_000;

let system: TestSystem;

beforeEach(async () => {
  system = await TestSystem.create(PLAN);
});

afterEach(async () => {
  await system.close();
});

function listNodes(): StartedNode[] {
  return [...system.entries.values(), ...system.agents.values()];
}

async function readRevision(node: StartedNode): Promise<number> {
  return (await fetchStatus(node)).rulesRevision;
}

/** The oracle: nodes whose status page shows an older revision. */
async function listNodesBehind(revision: number): Promise<string[]> {
  const behind: string[] = [];
  for (const node of listNodes()) {
    if ((await readRevision(node)) < revision) behind.push(node.name);
  }
  return behind;
}

async function waitUntilInForce(revision: number): Promise<void> {
  await waitUntil(`revision ${revision} everywhere`, async () => {
    return (await listNodesBehind(revision)).length === 0;
  });
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Applies a revision that only entry-a reads before a platform outage. */
async function acceptBeforeOutage(): Promise<number> {
  for (const [name, relay] of system.platformRelays) {
    if (name !== 'entry-a') relay.blockTraffic();
  }
  const revision = await system.applyRules(formatDemoRules(250));
  await waitUntil('the first entry has the revision', async () => {
    return (await readRevision(system.getEntry('entry-a'))) === revision;
  });
  await system.setFaults(system.platform, {down: true});
  return revision;
}

test('the platform goes down after one entry has read a revision', async () => {
  const revision = await acceptBeforeOutage();
  await waitUntilInForce(revision);
  const answer = await callEntry(
    system.getEntry('entry-c').callersUrl,
    'kyklos',
    '/services/booking-app/shifts',
  );
  expect(answer.status).toBe(200);
});

test('all connections to the platform go silent', async () => {
  for (const relay of system.platformRelays.values()) {
    relay.silenceConnections();
  }
  const revision = await system.applyRules(formatDemoRules(250));
  await waitUntilInForce(revision);
});

test('control: nodes that reach neither platform nor peers stay behind', async () => {
  for (const domain of DOMAINS) system.cutDomain(domain);
  system.platformRelays.get('entry-a')?.setMode('pass');
  const revision = await acceptBeforeOutage();
  await waitFor(HEARTBEATS_MS);
  const behind = await listNodesBehind(revision);
  expect(behind).toEqual(expect.arrayContaining(['entry-b', 'entry-c']));
});

test('a node restarts in an outage and has a peer with older rules', async () => {
  const lagging = system.getEntry('entry-c').process;
  lagging.sendSignal('SIGSTOP');
  const revision = await system.applyRules(formatDemoRules(250));
  await waitUntil('the running entries have the revision', async () => {
    const running = ['entry-a', 'entry-b'].map(name => system.getEntry(name));
    const revisions = await Promise.all(running.map(readRevision));
    return revisions.every(number => number === revision);
  });
  await system.setFaults(system.platform, {down: true});
  await system.getEntry('entry-b').process.kill();
  lagging.sendSignal('SIGCONT');
  const [, planned] = PLAN.entries;
  const restarted = await system.startEntry(planned);
  const readyRevisions = new Set<number>();
  await waitUntil('the restarted entry is ready', async () => {
    const status = await fetchStatus(restarted);
    if (status.ready) readyRevisions.add(status.rulesRevision);
    return status.ready;
  });
  expect([...readyRevisions]).toEqual([revision]);
  await waitUntilInForce(revision);
});

test('a failure domain is partitioned and reconnected', async () => {
  system.cutDomain('attica-c');
  const revision = await system.applyRules(formatDemoRules(250));
  await waitUntil('the other domains have the revision', async () => {
    const behind = await listNodesBehind(revision);
    return behind.join() === 'entry-c,agent-app-3';
  });
  const newer = await system.applyRules(formatDemoRules(200));
  system.healDomain('attica-c');
  await waitUntilInForce(newer);
});

test('operators race, and replies to their writes are lost', async () => {
  const parsed = parseRules(formatDemoRules(250));
  const rules = parsed._unsafeUnwrap();
  await system.setFaults(system.platform, {loseWriteReplies: 3});
  const authors = ['eleni', 'anna', 'petros'];
  const results = await Promise.all(
    authors.map(async author => {
      const store = ObjectClient.create(system.platform.url);
      const edit = {text: '', rules, author, writtenAtMs: 0};
      const applied = await applyRules(store, {...edit, basedOn: undefined});
      await store.close();
      return applied;
    }),
  );
  const accepted = results.flatMap(item => (item.isOk() ? [item.value] : []));
  const refused = results.flatMap(item => (item.isErr() ? [item.error] : []));
  const newest = Math.max(...accepted.map(item => item.revision));
  await waitUntilInForce(newest);
  const numbers = accepted.map(item => item.revision).sort();
  expect(numbers).toEqual(numbers.map((_number, index) => index + 2));
  expect(refused.every(error => error.kind === 'conflict')).toBe(true);
});
