/**
 * Windows of usage under lost pushes, lost nodes and clocks that are set. Guards
 * against starts that are counted in the wrong window, twice or not at all.
 */
import {UsageCollection, UsagePush} from './usage_collection';
import {
  appendWindows,
  findNextWindow,
  parseHistory,
  withState,
} from './usage_history';
import {UsageLedger} from './usage_ledger';

const WINDOW_MS = 5_000;
/** True time at 0 of every monotonic clock here; the begin of a window. */
const EPOCH_MS = 1_000_000 * WINDOW_MS;
const FIRST = 1_000_000;
const ENTRIES = ['e1', 'e2', 'e3'];

class TestEntry {
  readonly ledger = UsageLedger.create();
  wallStepMs = 0;
  private sentChange = 0;
  private calls = 0;

  constructor(
    readonly name: string,
    readonly incarnation = name,
    /** True time at which the process started, after the epoch. */
    readonly bornAtMs = 0,
  ) {}

  run(atMs: number, customer = 'c'): string {
    const id = `${this.incarnation}.${this.calls++}`;
    this.ledger.recordStart(id, customer, atMs - this.bornAtMs);
    return id;
  }

  createPush(atMs: number, isWhole = false): UsagePush {
    const counts = this.ledger.listCounts(isWhole ? 0 : this.sentChange);
    this.sentChange = this.ledger.getChange();
    return {
      entry: this.name,
      incarnation: this.incarnation,
      nowMs: atMs - this.bornAtMs,
      wallMs: EPOCH_MS + atMs + this.wallStepMs,
      counts,
    };
  }
}

function createCollection(): UsageCollection {
  const collection = UsageCollection.create(WINDOW_MS);
  collection.setCustomers(['c'], 0);
  return collection;
}

function closeAt(
  collection: UsageCollection,
  atMs: number,
  {first = FIRST, wallStepMs = 0, entries = ENTRIES} = {},
) {
  const wallMs = EPOCH_MS + atMs + wallStepMs;
  return collection.close({nowMs: atMs, wallMs, entries, first});
}

/** Ten calls a second at each entry, pushed each second. */
function simulateSeconds(
  collection: UsageCollection,
  entries: readonly TestEntry[],
  fromS: number,
  toS: number,
): void {
  for (let second = fromS; second < toS; second++) {
    for (const entry of entries) {
      for (let i = 0; i < 10; i++) entry.run(second * 1_000 + i * 100 + 50);
      const atMs = (second + 1) * 1_000;
      collection.receive(entry.createPush(atMs), atMs + 3);
    }
  }
}

test('a window is closed when all entries are past its end, and counts all starts', () => {
  const collection = createCollection();
  const entries = ENTRIES.map(name => new TestEntry(name));
  simulateSeconds(collection, entries, 0, 7);
  expect(closeAt(collection, 7_100)).toEqual([]);
  simulateSeconds(collection, entries, 7, 8);
  expect(closeAt(collection, 8_100)).toEqual([
    {number: FIRST, counts: {c: 150}},
  ]);
});

test('an entry that is killed and replaced keeps its earlier starts', () => {
  const collection = createCollection();
  const entries = ENTRIES.map(name => new TestEntry(name));
  simulateSeconds(collection, entries, 0, 3);
  // The last second of e1 is never pushed.
  for (let i = 0; i < 10; i++) entries[0].run(3_050 + i * 100);
  simulateSeconds(collection, entries.slice(1), 3, 4);
  const replaced = [new TestEntry('e1', 'e1b', 4_000), ...entries.slice(1)];
  simulateSeconds(collection, replaced, 4, 8);
  expect(closeAt(collection, 8_100)[0].counts).toEqual({c: 140});
});

test('an entry that is lost delays a window until its latest time only', () => {
  const collection = createCollection();
  const entries = ENTRIES.map(name => new TestEntry(name));
  simulateSeconds(collection, entries, 0, 5);
  simulateSeconds(collection, entries.slice(1), 5, 13);
  expect(closeAt(collection, 12_400)).toEqual([]);
  expect(closeAt(collection, 12_600)).toEqual([
    {number: FIRST, counts: {c: 150}},
  ]);
});

test('a push that is repeated, or sent whole to a new coordinator, changes no count', () => {
  const collection = createCollection();
  const entries = ENTRIES.map(name => new TestEntry(name));
  simulateSeconds(collection, entries, 0, 8);
  for (const entry of entries) {
    collection.receive(entry.createPush(8_000, true), 8_900);
  }
  const successor = createCollection();
  for (const entry of entries) {
    successor.receive(entry.createPush(8_200, true), 8_203);
  }
  expect(closeAt(collection, 9_000)).toEqual(closeAt(successor, 9_000));
  expect(closeAt(successor, 9_000)[0].counts).toEqual({c: 150});
});

test('a start that is withdrawn after it was pushed does not count', () => {
  const collection = createCollection();
  const entries = ENTRIES.map(name => new TestEntry(name));
  const id = entries[0].run(500);
  simulateSeconds(collection, entries, 0, 1);
  entries[0].ledger.withdrawStart(id);
  simulateSeconds(collection, entries, 1, 8);
  expect(closeAt(collection, 8_100)[0].counts).toEqual({c: 150});
});

test.each([2_400, -2_400])(
  'wall clocks of a third of the VMs that are set by %d ms change no window',
  stepMs => {
    const collection = createCollection();
    const entries = ENTRIES.map(name => new TestEntry(name));
    simulateSeconds(collection, entries, 0, 3);
    entries[1].wallStepMs = stepMs;
    simulateSeconds(collection, entries, 3, 8);
    expect(closeAt(collection, 8_100)).toEqual([
      {number: FIRST, counts: {c: 150}},
    ]);
    // The coordinator's own clock is one of the four.
    entries[1].wallStepMs = 0;
    simulateSeconds(collection, entries, 8, 13);
    const closed = closeAt(collection, 13_100, {wallStepMs: stepMs});
    expect(closed.map(({counts}) => counts)).toEqual([{c: 150}, {c: 150}]);
  },
);

test('a window without calls is closed with empty counts', () => {
  const collection = createCollection();
  const entries = ENTRIES.map(name => new TestEntry(name));
  for (const entry of entries) {
    collection.receive(entry.createPush(8_000), 8_003);
  }
  expect(closeAt(collection, 8_100)).toEqual([{number: FIRST, counts: {}}]);
});

test('windows that began before the first node are left out', () => {
  const collection = UsageCollection.create(WINDOW_MS);
  // The coordinator started at 2,000 ms after the epoch, the entry at 1,000 ms.
  const entry = new TestEntry('e1', 'e1', 1_000);
  collection.receive(entry.createPush(14_000), 12_003);
  const request = {entries: ['e1'], first: undefined};
  const wallMs = EPOCH_MS + 14_100;
  const closed = collection.close({...request, nowMs: 12_100, wallMs});
  expect(closed.map(({number}) => number)).toEqual([FIRST + 1]);
});

test('nodes that have run for long before their first report leave out old windows', () => {
  const collection = createCollection();
  const atMs = 3_600_000;
  const request = {entries: [], first: undefined};
  const closed = collection.close({
    ...request,
    nowMs: atMs,
    wallMs: EPOCH_MS + atMs,
  });
  expect(closed.length).toBeLessThanOrEqual(12);
  expect(closed.at(-1)?.number).toBe(FIRST + 718);
});

test('a customer counts while a configuration since the window began had it', () => {
  const collection = createCollection();
  const entries = ENTRIES.map(name => new TestEntry(name));
  entries[0].run(200, 'stranger');
  entries[0].run(6_000, 'stranger');
  simulateSeconds(collection, entries, 0, 6);
  collection.setCustomers([], 2_000);
  simulateSeconds(collection, entries, 6, 13);
  const closed = closeAt(collection, 13_100);
  expect(closed.map(({counts}) => counts)).toEqual([{c: 150}, {}]);
});

test('the history keeps 8 windows, and what the cloud has accepted', () => {
  const windows = Array.from({length: 10}, (_, i) => ({number: i, counts: {}}));
  const full = appendWindows(parseHistory(undefined), windows);
  const stored: unknown = JSON.parse(
    JSON.stringify(withState(full, 9, 'accepted')),
  );
  const history = parseHistory(stored);
  expect(history.reports.map(({number}) => number)).toEqual([
    2, 3, 4, 5, 6, 7, 8, 9,
  ]);
  expect(history.reports.at(-1)?.state).toBe('accepted');
  expect(findNextWindow(history, 12)).toBe(10);
  // After an outage, windows further back are left out.
  expect(findNextWindow(history, 100)).toBe(92);
});
