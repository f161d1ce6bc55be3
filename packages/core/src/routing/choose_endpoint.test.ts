/** Snapshots of the endpoints chosen in small pools. */
import type {EndpointView} from '../membership/fleet_view';
import {createRandomSource} from '../shared/clock';
import {RouteRequest, chooseEndpoint} from './choose_endpoint';
import {EndpointTracker} from './endpoint_tracker';

const REQUEST: RouteRequest = {
  service: 'lm',
  prefixKey: '',
  ownDomain: 'a',
  placement: {allowed: undefined, spill: ['c']},
  excluded: [],
  avoidDomain: undefined,
};

function createView(
  name: string,
  failureDomain: string,
  overrides: Partial<EndpointView> = {},
): EndpointView {
  return {
    name,
    service: 'lm',
    state: 'serving',
    running: 0,
    queued: 0,
    slots: 8,
    kvUsePermille: 0,
    weightVersion: 1,
    queuedTokens: 0,
    tokensPerSecond: 0,
    agent: `agent-${name}`,
    failureDomain,
    incarnation: '1',
    tick: 1,
    outstanding: 0,
    ...overrides,
  };
}

function choose(
  views: readonly EndpointView[],
  overrides: Partial<RouteRequest> = {},
  tracker = EndpointTracker.create(),
): string {
  const candidates = tracker.createCandidates(views, 1_000);
  const request = {...REQUEST, ...overrides};
  const chosen = chooseEndpoint(request, candidates, createRandomSource(1));
  return chosen.isOk() ? chosen.value.name : chosen.error.kind;
}

test('chooses by load, distance, links and speed', () => {
  const idle = [createView('a1', 'a'), createView('b1', 'b')];
  const busy = createView('a1', 'a', {running: 6});
  const slow = createView('a1', 'a', {tokensPerSecond: 10});
  const fast = ['b1', 'b2'].map(name =>
    createView(name, 'b', {tokensPerSecond: 40}),
  );
  expect({
    ownDomainFirst: choose(idle),
    busyOwnDomain: choose([busy, createView('b1', 'b')]),
    costlyLinkLast: choose([busy, createView('c1', 'c')]),
    costlyLinkWhenFull: choose([
      createView('a1', 'a', {running: 8, queued: 2}),
      createView('c1', 'c'),
    ]),
    slowAvoided: choose([slow, ...fast]).slice(0, 1),
    excluded: choose(idle, {excluded: ['a1']}),
    nothingAllowed: choose(idle, {avoidDomain: 'a', excluded: ['b1']}),
  }).toMatchSnapshot();
});

test('keeps a prefix on one endpoint until it is overloaded', () => {
  const names = ['a1', 'a2', 'a3', 'a4'];
  const views = names.map(name => createView(name, 'a', {running: 2}));
  const preferred = choose(views, {prefixKey: 'p'});
  const loaded = views.map(view =>
    view.name === preferred ? {...view, running: 8, queued: 4} : view,
  );
  expect({preferred, next: choose(loaded, {prefixKey: 'p'})}).toMatchSnapshot();
});

test('corrects an old report by later dispatches of the entry', () => {
  const tracker = EndpointTracker.create();
  const views = [
    createView('a1', 'a', {running: 1}),
    createView('a2', 'a', {running: 3}),
  ];
  const before = choose(views, {}, tracker);
  const sent = [{...views[0], outstanding: 4}, views[1]];
  const after = choose(sent, {}, tracker);
  const reported = [{...sent[0], running: 5, tick: 2}, views[1]];
  expect([before, after, choose(reported, {}, tracker)]).toMatchSnapshot();
});

test('ejects after consecutive failures, at most half of a pool', () => {
  const tracker = EndpointTracker.create();
  const names = ['a1', 'a2', 'a3'];
  const views = names.map(name => createView(name, 'a'));
  tracker.createCandidates(views, 0);
  for (const name of names) {
    for (let i = 0; i < 3; i++) tracker.recordEnd(name, 'failed', 0, 100);
  }
  const listEjected = (nowMs: number) =>
    tracker
      .createCandidates(views, nowMs)
      .filter(candidate => candidate.isEjected)
      .map(candidate => candidate.endpoint.name);
  expect({
    at1s: listEjected(1_000),
    at6s: listEjected(6_000),
  }).toMatchSnapshot();
});

test('increases the load of a restarted endpoint gradually', () => {
  const tracker = EndpointTracker.create();
  tracker.createCandidates([createView('a1', 'a')], 0);
  const restarted = [createView('a1', 'a', {incarnation: '2'})];
  const warmUpFactors = [1_000, 5_000, 11_000, 20_000].map(
    nowMs => tracker.createCandidates(restarted, nowMs)[0].warmUpFactor,
  );
  expect(warmUpFactors).toMatchSnapshot();
});

test('drops a slow latency that no new measurement confirms', () => {
  const tracker = EndpointTracker.create();
  const views = ['a1', 'a2', 'a3'].map(name => createView(name, 'a'));
  tracker.createCandidates(views, 0);
  for (const [index, {name}] of views.entries()) {
    for (let i = 0; i < 5; i++) {
      tracker.recordEnd(name, 'whole', index === 0 ? 400 : 100, 1_000);
    }
  }
  const slowness = [1_500, 9_000].map(
    nowMs => tracker.createCandidates(views, nowMs)[0].slowness,
  );
  expect(slowness).toMatchSnapshot();
});
