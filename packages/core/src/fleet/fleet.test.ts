/** Endpoints, paths to the store and the election, each against its load. */
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

test('an entry that lapses in an outage has time to come back', () => {
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

test('without an outage a missing entry is gone at once', () => {
  const directory = EndpointDirectory.create();
  directory.replaceAll([createEntry('a'), createEntry('bb')], 0);
  directory.remove('bb', 100);
  expect(listIds(directory)).toEqual(['a']);
});

test('a draining endpoint gets nothing, and is not kept as lapsed', () => {
  const directory = EndpointDirectory.create();
  directory.put(createEntry('a', {isDraining: true}));
  directory.markStoreUnavailable();
  directory.markStoreAvailable(0);
  directory.remove('a', 10);
  expect(directory.listAll()).toEqual([]);
});

test('the endpoint at an address is the one that started last', () => {
  const directory = EndpointDirectory.create();
  const address = '10.0.0.9:80';
  directory.put(createEntry('new', {address, startedAtMs: 9}));
  directory.put(createEntry('old', {address, startedAtMs: 3}));
  expect(directory.findByAddress(address)?.id).toBe('new');
});

test('a cut path is avoided for a while, and a store that is away probed', () => {
  const path = StorePathSelector.create();
  const seen: Array<[number, string]> = [];
  const visit = (nowMs: number) =>
    seen.push([nowMs, path.listPaths(nowMs).join(', ') || 'none']);
  visit(0);
  path.recordCut(0);
  visit(10);
  visit(401);
  path.recordCut(401);
  path.recordUnavailable(420);
  visit(430);
  visit(1_030);
  path.recordDirectSuccess();
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

const HOME = {node: 'h1', incarnation: 'x', address: 'h1:1', epoch: 4};

function decide(changes: Partial<ElectionView>) {
  return decideElection({
    nowMs: 10_000,
    ownName: 'h2',
    ownIncarnation: 'y',
    coordinator: HOME,
    lastContactAtMs: 9_900,
    isProbeRejected: false,
    rank: 0,
    isDraining: false,
    contactReports: undefined,
    ...changes,
  });
}

test('a home is replaced only when agents do not hear it either', () => {
  const silent = {lastContactAtMs: 9_000};
  expect({
    heard: decide({}),
    silent: decide(silent),
    'silent, but an agent hears it': decide({
      ...silent,
      contactReports: [{epoch: 4, agoMs: 100}],
    }),
    'silent, a later home is known to an agent': decide({
      ...silent,
      contactReports: [{epoch: 5, agoMs: 10}],
    }),
    'silent to all': decide({
      ...silent,
      contactReports: [{epoch: 4, agoMs: 2_000}],
    }),
    'silent, no agent answers': decide({...silent, contactReports: []}),
    'long silent, no agent answers': decide({
      lastContactAtMs: 1_000,
      contactReports: [],
    }),
    'refused, second in rank': decide({
      lastContactAtMs: 9_900,
      isProbeRejected: true,
      rank: 1,
    }),
    'own record of an earlier life': decide({
      coordinator: {...HOME, node: 'h2', incarnation: 'old'},
    }),
    draining: decide({...silent, isDraining: true, contactReports: []}),
    'no home yet': decide({coordinator: undefined, lastContactAtMs: 10_000}),
  }).toMatchInlineSnapshot(`
    {
      "draining": "follow",
      "heard": "follow",
      "long silent, no agent answers": "claim",
      "no home yet": "claim",
      "own record of an earlier life": "claim",
      "refused, second in rank": "follow",
      "silent": "ask-witnesses",
      "silent to all": "claim",
      "silent, a later home is known to an agent": "follow",
      "silent, but an agent hears it": "follow",
      "silent, no agent answers": "follow",
    }
  `);
});
