/** Routes and the choice of an endpoint. */
import {createRandomSource} from '../shared/clock';
import type {EndpointEntry} from '../fleet/endpoint_directory';
import {
  Configuration,
  ConfigurationHolder,
  Route,
  RouteTable,
  pickTarget,
} from './configuration';
import {EndpointSelector} from './endpoint_selector';

function createRoute(name: string, host: string, pathPrefix: string): Route {
  return {
    name,
    host,
    pathPrefix,
    kind: 'idempotent',
    targets: [
      {service: 'old', weight: 90},
      {service: 'new', weight: 10},
    ],
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    maxAttempts: 2,
    priority: 0,
    isResumable: false,
    isSingleVersion: false,
    runDeadlineMs: 0,
    retentionMs: 0,
  };
}

function createConfiguration(version: number): Configuration {
  return {
    version,
    routes: [
      createRoute('all', 'a.example', '/'),
      createRoute('deep', 'a.example', '/x/y/'),
      createRoute('mid', 'a.example', '/x/'),
      createRoute('other', 'b.example', '/z/'),
    ],
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

test('the longest matching prefix of the host is chosen', () => {
  const table = RouteTable.create(createConfiguration(1));
  const find = (host: string, path: string) =>
    table.findRoute(host, path)?.name ?? 'none';
  expect([
    find('a.example', '/x/y/1'),
    find('A.example', '/x/y'),
    find('a.example', '/'),
    find('b.example', '/x/'),
    find('c.example', '/'),
  ]).toEqual(['deep', 'mid', 'all', 'none', 'none']);
});

test('a configuration is replaced only by a newer one', () => {
  const holder = ConfigurationHolder.create();
  expect(
    [5, 4, 5, 9].map(version => holder.accept(createConfiguration(version))),
  ).toEqual([true, false, false, true]);
  expect(holder.getTable()?.configuration.version).toBe(9);
});

test('a route with several targets sends each its share of calls', () => {
  const random = createRandomSource(3);
  const route = createRoute('r', 'h', '/');
  const picks = Array.from({length: 2_000}, () => pickTarget(route, random));
  const share = picks.filter(service => service === 'new').length / 2_000;
  expect(Math.abs(share - 0.1)).toBeLessThan(0.03);
});

function createEntry(id: string, failureDomain = 'a'): EndpointEntry {
  return {
    id,
    service: 's',
    software: 's',
    address: `${id}:1`,
    failureDomain,
    slots: 6,
    isDraining: false,
    coldRemainingMs: 0,
    startedAtMs: 0,
    versions: new Map(),
  };
}

function countChoices(
  pool: EndpointSelector,
  endpoints: EndpointEntry[],
  nowMs: number,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let i = 0; i < 100; i++) {
    const id = pool.choose(endpoints, new Set(), nowMs)?.id ?? 'none';
    counts[id] = (counts[id] ?? 0) + 1;
  }
  return counts;
}

test('a failed or slow endpoint receives no calls while others are available', () => {
  const pool = EndpointSelector.create('a', createRandomSource(1));
  const endpoints = [createEntry('x'), createEntry('y')];
  for (const {id} of endpoints) pool.recordStart(id);
  pool.recordEnd('x', 'failed', 10, 0);
  pool.recordEnd('y', 'answered', 20, 0);
  const failed = countChoices(pool, endpoints, 10);
  pool.recordStart('x');
  pool.recordEnd('x', 'answered', 400, 1_000);
  const slow = countChoices(pool, endpoints, 1_010);
  const later = countChoices(pool, endpoints, 60_000);
  expect({failed, slow}).toEqual({failed: {y: 100}, slow: {y: 100}});
  expect(Object.keys(later)).toHaveLength(2);
});

test('calls are sent even if every endpoint is ejected', () => {
  const pool = EndpointSelector.create('a', createRandomSource(1));
  const endpoints = [createEntry('x')];
  pool.recordStart('x');
  pool.recordEnd('x', 'failed', 10, 0);
  expect(pool.choose(endpoints, new Set(), 10)?.id).toBe('x');
  expect(pool.choose(endpoints, new Set(['x']), 10)).toBeUndefined();
});

test('the own failure domain is preferred unless it is loaded', () => {
  const pool = EndpointSelector.create('a', createRandomSource(1));
  const endpoints = [createEntry('near'), createEntry('far', 'b')];
  const idle = countChoices(pool, endpoints, 0);
  for (let i = 0; i < 4; i++) pool.recordStart('near');
  const busy = countChoices(pool, endpoints, 0);
  expect({idle, busy}).toEqual({idle: {near: 100}, busy: {far: 100}});
});
