/** Endpoint directory, store paths and coordinator election. */
import {EndpointDirectory, EndpointEntry} from './endpoint_directory';
import {ElectionView, decideElection} from './coordinator_election';
import {StorePathSelector} from './store_path_selector';

function createEntry(
  id: string,
  changes: Partial<EndpointEntry> = {},
): EndpointEntry {
  return {
    id,
    service: 's',
    software: 's',
    address: `10.0.0.1:${id.length}`,
    failureDomain: 'a',
    slots: 4,
    isDraining: false,
    coldRemainingMs: 0,
    startedAtMs: 1,
    versions: new Map(),
    ...changes,
  };
}

function listIds(directory: EndpointDirectory): string[] {
  return directory.listUsable('s').map(entry => entry.id);
}

test('an endpoint whose registration expires in an outage is kept for the grace period', () => {
  const directory = EndpointDirectory.create();
  directory.replaceAll([createEntry('a'), createEntry('bb')], 0);
  directory.markStoreUnavailable();
  directory.markStoreAvailable(10_000);
  directory.replaceAll([createEntry('a')], 10_010);
  const during = listIds(directory);
  const dropped = [directory.dropLapsed(11_900), directory.dropLapsed(12_000)];
  expect({during, dropped, after: listIds(directory)}).toEqual({
    during: ['a', 'bb'],
    dropped: [[], ['bb']],
    after: ['a'],
  });
});

test('without an outage an endpoint is removed at once', () => {
  const directory = EndpointDirectory.create();
  directory.replaceAll([createEntry('a'), createEntry('bb')], 0);
  directory.remove('bb', 100);
  expect(listIds(directory)).toEqual(['a']);
});

test('a draining endpoint is not kept as lapsed', () => {
  const directory = EndpointDirectory.create();
  directory.put(createEntry('a', {isDraining: true}));
  directory.markStoreUnavailable();
  directory.markStoreAvailable(0);
  directory.remove('a', 10);
  expect(directory.listAll()).toEqual([]);
});

test('of several endpoints at an address the newest is returned', () => {
  const directory = EndpointDirectory.create();
  const address = '10.0.0.9:80';
  directory.put(createEntry('new', {address, startedAtMs: 9}));
  directory.put(createEntry('old', {address, startedAtMs: 3}));
  expect(directory.findByAddress(address)?.id).toBe('new');
});

test('a failed path is avoided for a while and an unavailable store is probed', () => {
  const selector = StorePathSelector.create();
  const seen: Array<[number, string]> = [];
  const visit = (nowMs: number) =>
    seen.push([nowMs, selector.listPaths(nowMs).join(', ') || 'none']);
  visit(0);
  selector.recordUnreachable(0);
  visit(10);
  visit(401);
  selector.recordUnreachable(401);
  selector.recordUnavailable(420);
  visit(430);
  visit(1_030);
  selector.recordDirectSuccess();
  visit(1_040);
  expect(seen).toMatchInlineSnapshot(`
    [
      [
        0,
        "direct, relayed",
      ],
      [
        10,
        "relayed",
      ],
      [
        401,
        "direct, relayed",
      ],
      [
        430,
        "none",
      ],
      [
        1030,
        "direct, relayed",
      ],
      [
        1040,
        "direct, relayed",
      ],
    ]
  `);
});

const COORDINATOR = {node: 'h1', incarnation: 'x', address: 'h1:1', epoch: 4};

function decide(changes: Partial<ElectionView>) {
  return decideElection({
    nowMs: 10_000,
    ownName: 'h2',
    ownIncarnation: 'y',
    coordinator: COORDINATOR,
    lastContactAtMs: 9_900,
    isProbeRejected: false,
    rank: 0,
    isDraining: false,
    contactReports: undefined,
    ...changes,
  });
}

test('a coordinator is replaced only when agents report no recent contact either', () => {
  const silent = {lastContactAtMs: 9_000};
  expect({
    'recent contact': decide({}),
    'no contact': decide(silent),
    'no contact, but an agent has recent contact': decide({
      ...silent,
      contactReports: [{epoch: 4, agoMs: 100}],
    }),
    'no contact, but an agent knows a later coordinator': decide({
      ...silent,
      contactReports: [{epoch: 5, agoMs: 10}],
    }),
    'no contact, nor has any agent': decide({
      ...silent,
      contactReports: [{epoch: 4, agoMs: 2_000}],
    }),
    'no contact, no agent answers': decide({...silent, contactReports: []}),
    'no contact for long, no agent answers': decide({
      lastContactAtMs: 1_000,
      contactReports: [],
    }),
    'probe rejected, second in rank': decide({
      lastContactAtMs: 9_900,
      isProbeRejected: true,
      rank: 1,
    }),
    'own record of an earlier incarnation': decide({
      coordinator: {...COORDINATOR, node: 'h2', incarnation: 'old'},
    }),
    draining: decide({...silent, isDraining: true, contactReports: []}),
    'no coordinator yet': decide({
      coordinator: undefined,
      lastContactAtMs: 10_000,
    }),
  }).toMatchInlineSnapshot(`
    {
      "draining": "follow",
      "no contact": "ask-witnesses",
      "no contact for long, no agent answers": "claim",
      "no contact, but an agent has recent contact": "follow",
      "no contact, but an agent knows a later coordinator": "follow",
      "no contact, no agent answers": "follow",
      "no contact, nor has any agent": "claim",
      "no coordinator yet": "claim",
      "own record of an earlier incarnation": "claim",
      "probe rejected, second in rank": "follow",
      "recent contact": "follow",
    }
  `);
});
