/**
 * Reports of usage by two nodes on a store and a cloud in memory, step by step on
 * a virtual clock. Guards against a window that is reported with two counts, left
 * out, or sent again without need.
 */
import {UsageCollection, UsageReport, createError} from '@sassafrasspan/core';
import type {
  CollectionObject,
  ObjectCollections,
} from '@sassafrasspan/platform';
import {Metrics, SILENT_LOG} from '@sassafrasspan/runtime';
import {err, ok} from 'neverthrow';
import type {CloudPort, Permit} from './cloud_port';
import {DutyHolder} from './duty_holder';
import {UsageReporter} from './usage_reporter';

const WINDOW_MS = 5_000;
const EPOCH_MS = 1_000 * WINDOW_MS;
const LEASE_MS = 3_000;
const WAIT_MS = 1_000 + LEASE_MS;

let nowMs: number;
let object: CollectionObject | undefined;
let writes: number;
/** Number of next writes that take effect but get no answer. */
let lostAnswers: number;
let status: number | undefined;
let sent: Array<{node: string; token: number; number: number; counts: object}>;

beforeEach(() => {
  nowMs = 0;
  object = undefined;
  writes = 0;
  lostAnswers = 0;
  status = 200;
  sent = [];
});

function put(value: unknown, version: number) {
  writes += 1;
  if ((object?.version ?? 0) !== version) {
    return Promise.resolve(err(createError('conflict', 'another version')));
  }
  const copy: unknown = JSON.parse(JSON.stringify(value));
  object = {name: 'usage', version: version + 1, value: copy, status: {}};
  if (lostAnswers === 0) return Promise.resolve(ok(object));
  lostAnswers -= 1;
  return Promise.resolve(err(createError('platform-down', 'no answer')));
}

const STORE = {
  readObject: () => Promise.resolve(ok(object)),
  createObject: (_kind: string, _name: string, value: unknown) => put(value, 0),
  replaceObject: (_k: string, _n: string, value: unknown, version: number) =>
    put(value, version),
} as unknown as ObjectCollections;

const CLOUD: CloudPort = {
  reportUsage: ({number, counts}: UsageReport, permit: Permit) => {
    const {holder: node, token} = permit;
    sent.push({node, token, number: number - 1_000, counts});
    return Promise.resolve({status, detail: ''});
  },
};

function createNode(node: string, count: number) {
  const clock = {
    readMonotonicMs: () => nowMs,
    readWallMs: () => EPOCH_MS + nowMs,
  };
  const collection = UsageCollection.create(WINDOW_MS);
  collection.setCustomers(['c'], 0);
  const receive = () =>
    collection.receive(
      {
        entry: 'e',
        incarnation: 'e',
        nowMs,
        wallMs: EPOCH_MS + nowMs,
        counts: [{span: 100, customer: 'c', count}],
      },
      nowMs,
    );
  const common = {clock, log: SILENT_LOG, metrics: Metrics.create()};
  const holder = DutyHolder.create({
    ...common,
    subject: 'usage',
    node,
    incarnation: node,
    leaseMs: LEASE_MS,
    store: STORE,
    scheduler: {schedule: () => () => undefined},
  });
  const reporter = UsageReporter.create({
    ...common,
    windowMs: WINDOW_MS,
    dueMs: 10_000,
    callsPerSecond: 1_000,
    collection,
    holder,
    cloud: CLOUD,
    listEntries: () => ['e'],
  });
  const step = async (atMs: number) => {
    nowMs = atMs;
    receive();
    await reporter.step();
  };
  return {reporter, step};
}

test('a window costs one write and one call', async () => {
  const a = createNode('a', 7);
  await a.step(100);
  const writesBefore = writes;
  for (let atMs = 200; atMs < 13_000; atMs += 200) await a.step(atMs);
  expect(sent).toEqual([
    {node: 'a', token: 1, number: 0, counts: {c: 7}},
    {node: 'a', token: 1, number: 1, counts: {}},
  ]);
  expect(writes - writesBefore).toBe(2);
});

test('a successor sends the counts that were written but not sent', async () => {
  const a = createNode('a', 7);
  const b = createNode('b', 9);
  await a.step(100);
  // The coordinator is lost before its call arrives.
  status = undefined;
  await a.step(7_600);
  sent = [];
  status = 200;
  await b.step(8_000);
  await b.step(8_000 + WAIT_MS - 1);
  expect(sent).toEqual([]);
  await b.step(8_000 + WAIT_MS);
  expect(sent[0]).toEqual({node: 'b', token: 2, number: 0, counts: {c: 7}});
});

test('a holder that was replaced sends nothing', async () => {
  const a = createNode('a', 7);
  const b = createNode('b', 7);
  await a.step(100);
  await b.step(200);
  await a.step(7_600);
  expect(sent).toEqual([]);
});

test('a successor begins after the lease if the duty was released', async () => {
  const a = createNode('a', 7);
  const b = createNode('b', 7);
  await a.step(100);
  await a.reporter.release();
  await b.step(5_000);
  await b.step(7_999);
  expect(sent).toEqual([]);
  await b.step(8_000);
  expect(sent.map(({node, token}) => ({node, token}))).toEqual([
    {node: 'b', token: 2},
  ]);
});

test('a write whose answer is lost is read back, and the report sent once', async () => {
  const a = createNode('a', 7);
  await a.step(100);
  lostAnswers = 1;
  await a.step(7_600);
  await a.step(7_800);
  expect(sent).toEqual([{node: 'a', token: 1, number: 0, counts: {c: 7}}]);
});

test.each([429, 500, 503, undefined])(
  'the same report is sent again after the answer %s, not at once',
  async first => {
    const a = createNode('a', 7);
    await a.step(100);
    status = first;
    await a.step(7_600);
    await a.step(7_800);
    expect(sent).toHaveLength(1);
    status = 200;
    await a.step(8_500);
    await a.step(9_000);
    expect(sent.map(({number, counts}) => ({number, counts}))).toEqual([
      {number: 0, counts: {c: 7}},
      {number: 0, counts: {c: 7}},
    ]);
  },
);

test('a report that the cloud rejects for good is not sent again', async () => {
  const a = createNode('a', 7);
  await a.step(100);
  status = 400;
  for (let atMs = 7_600; atMs < 12_000; atMs += 200) await a.step(atMs);
  expect(sent).toHaveLength(1);
});

test('windows of an outage of the cloud are sent late, 8 at most', async () => {
  const a = createNode('a', 7);
  await a.step(100);
  status = 503;
  for (let atMs = 200; atMs < 58_000; atMs += 200) await a.step(atMs);
  sent = [];
  status = 200;
  for (let atMs = 58_000; atMs < 64_000; atMs += 200) await a.step(atMs);
  const numbers = sent.map(({number}) => number);
  expect(numbers.slice(0, 8)).toEqual([3, 4, 5, 6, 7, 8, 9, 10]);
  expect(new Set(numbers).size).toBe(numbers.length);
});
