/** Tests how nodes share crashing requests through a store in memory, while they
 * don't reach each other. */
import {EndpointEntry, createError} from '@sassafrasspan/core';
import {ClusterWatch, PeerClient} from '@sassafrasspan/peers';
import type {
  CollectionObject,
  ObjectCollections,
} from '@sassafrasspan/platform';
import {Metrics, SILENT_LOG} from '@sassafrasspan/runtime';
import {err, ok} from 'neverthrow';
import {CrashWatch} from './crash_watch';

const FINGERPRINT = 'page';
const TRIAL_DUE_MS = 10_000;

/** A store with one collection, whose changes listeners get at once. */
function createStore() {
  const objects = new Map<string, CollectionObject>();
  const listeners: Array<(object: CollectionObject) => void> = [];
  const state = {isDown: false, writes: 0};
  const write = (name: string, value: unknown, version: number | undefined) => {
    if (state.isDown) return err(createError('platform-down', 'away'));
    const known = objects.get(name)?.version;
    if (known !== version) return err(createError('conflict', 'changed'));
    state.writes += 1;
    const object = {name, version: (known ?? 0) + 1, value, status: undefined};
    objects.set(name, structuredClone(object));
    for (const listener of listeners) listener(structuredClone(object));
    return ok(object);
  };
  const store = {
    readObject: async (_kind: string, name: string) =>
      state.isDown
        ? err(createError('platform-down', 'away'))
        : ok(objects.get(name)),
    createObject: async (_kind: string, name: string, value: unknown) =>
      write(name, value, undefined),
    replaceObject: async (
      _kind: string,
      name: string,
      value: unknown,
      version: number,
    ) => write(name, value, version),
  } as unknown as ObjectCollections;
  return {store, objects, listeners, state};
}

type MemoryStore = ReturnType<typeof createStore>;

const clock = {nowMs: 0};
let watches: CrashWatch[] = [];

beforeEach(() => {
  clock.nowMs = 0;
});

afterEach(() => {
  for (const watch of watches) watch.stop();
  watches = [];
});

/** Starts a node; unless it is late, it hears of changes in the store. */
function startNode({store, objects, listeners}: MemoryStore): CrashWatch {
  const watch = CrashWatch.create({
    name: `node-${watches.length}`,
    cluster: {
      listNodes: () => [],
      subscribeObject: (
        name: string,
        listener: (object: CollectionObject | undefined) => void,
      ) => {
        const known = objects.get(name);
        if (known !== undefined) listener(structuredClone(known));
        listeners.push(listener);
      },
    } as unknown as ClusterWatch,
    peers: PeerClient.create(),
    store,
    prober: {isListening: async () => false},
    clock: {readMonotonicMs: () => clock.nowMs, readWallMs: () => clock.nowMs},
    random: () => 0.5,
    log: SILENT_LOG,
    metrics: Metrics.create(),
  });
  watch.start();
  watches.push(watch);
  return watch;
}

function createEndpoint(id: string): EndpointEntry {
  return {
    ...{id, service: 's', software: 's', address: `${id}:1`, slots: 1},
    ...{failureDomain: 'a', isDraining: false, coldRemainingMs: 0},
    ...{startedAtMs: 0, versions: new Map()},
  };
}

/** Lets an endpoint end while a node has no answer of it. */
function crash(watch: CrashWatch, endpointId: string): void {
  watch.recordAttempt({
    requestId: 'r',
    fingerprint: FINGERPRINT,
    endpoint: createEndpoint(endpointId),
    sentAtMs: clock.nowMs,
    reply: {
      ...{type: 'lost', hadBytes: false, hasBroken: true, detail: ''},
      isPortClosed: true,
    },
  });
}

function answer(watch: CrashWatch): void {
  watch.recordAttempt({
    requestId: 'r',
    fingerprint: FINGERPRINT,
    endpoint: createEndpoint('sound'),
    sentAtMs: clock.nowMs,
    reply: {
      type: 'answered',
      answer: {status: 200, headers: {}, body: Buffer.from('')},
      load: undefined,
    },
  });
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let n = 0; n < 200 && !condition(); n++) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  expect(condition()).toBe(true);
}

const decide = (watch: CrashWatch) => watch.decide(FINGERPRINT);

test('nodes that saw a crash each send the request again', async () => {
  const memory = createStore();
  const nodes = [1, 2, 3].map(() => startNode(memory));
  nodes.forEach((node, index) => crash(node, `e${index}`));
  await waitUntil(() => nodes.every(node => decide(node) === 'quarantined'));
  expect(decide(startNode(memory))).toBe('quarantined');
});

test('a crash is forgotten since the store was away', async () => {
  const memory = createStore();
  memory.state.isDown = true;
  const node = startNode(memory);
  for (const id of ['e1', 'e2', 'e3']) crash(node, id);
  await new Promise(resolve => setTimeout(resolve, 100));
  memory.state.isDown = false;
  await waitUntil(() => memory.state.writes > 0);
  expect(decide(startNode(memory))).toBe('quarantined');
});

test('several nodes make a trial at once, or none once the store was away', async () => {
  const memory = createStore();
  const nodes = [1, 2, 3].map(() => startNode(memory));
  for (const id of ['e1', 'e2', 'e3']) crash(nodes[0], id);
  await waitUntil(() => nodes.every(node => decide(node) === 'quarantined'));
  clock.nowMs = TRIAL_DUE_MS;
  const claim = () =>
    Promise.all(
      nodes.map((node, index) => node.claimTrial(FINGERPRINT, `r${index}`)),
    );
  expect((await claim()).filter(Boolean)).toHaveLength(1);
  expect(nodes.map(decide)).toEqual(nodes.map(() => 'quarantined'));
  clock.nowMs = 100 * TRIAL_DUE_MS;
  memory.state.isDown = true;
  expect(await claim()).toEqual([false, false, false]);
  memory.state.isDown = false;
  clock.nowMs += TRIAL_DUE_MS;
  expect((await claim()).filter(Boolean)).toHaveLength(1);
});

test('a request that is answered stays refused at other nodes', async () => {
  const memory = createStore();
  const nodes = [1, 2, 3].map(() => startNode(memory));
  for (const id of ['e1', 'e2', 'e3']) crash(nodes[0], id);
  await waitUntil(() => nodes.every(node => decide(node) === 'quarantined'));
  answer(nodes[1]);
  await waitUntil(() => nodes.every(node => decide(node) === 'sound'));
});
