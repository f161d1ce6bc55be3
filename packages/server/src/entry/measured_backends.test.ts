/** Events that the wrapped backends of an entry record. */
import {
  AgentReport,
  BurnTracker,
  FleetView,
  PullReply,
  RulesHolder,
  RulesRevision,
  Sample,
} from '@sassafrasspan/core';
import {parseRules} from '@sassafrasspan/operators';
import {LatencyHistograms} from '@sassafrasspan/runtime';
import type {TrainerBackend} from '@sassafrasspan/trainers';
import {err, ok} from 'neverthrow';
import {MeasuredBackends} from './measured_backends';

const RULES = `rules:
  - {id: pool, kind: pool, service: lm, type: engine, endpoints: [lm-1]}  # ops
  - {id: briefs, kind: trainer, trainer: briefs, customer: kyklos, service: lm, idleWeight: 0.8}  # ops
  - {id: fresh, kind: staleness, trainer: briefs, maxVersions: 1}  # ops
  - {id: on-time, kind: step-time, trainer: briefs, withinS: 10}  # ops
  - {id: soon, kind: weights-within, service: lm, withinMs: 7000}  # ops
`;
const NAME = {customer: 'kyklos', trainer: 'briefs', step: 'one'};
const PULL = {cursor: '', trainerVersion: 5, maxSamples: 9, waitMs: 0};

function createRules(): RulesHolder {
  const parsed = parseRules(RULES);
  if (parsed.isErr()) throw new Error(JSON.stringify(parsed.error));
  const revision: RulesRevision = {
    revision: 1,
    operationId: 'op',
    author: 'ops',
    writtenAtMs: 0,
    text: RULES,
    rules: parsed.value,
  };
  const holder = RulesHolder.create();
  holder.offerRevision(revision);
  return holder;
}

/** Returns a sample with segments of version 5 and of `oldestVersion`. */
function createSample(slot: number, oldestVersion: number): Sample {
  const segments = [
    {version: 5, from: 0, to: 1},
    {version: oldestVersion, from: 1, to: 2},
  ];
  const position = {slot, group: 0, index: slot};
  return {...position, text: 'a', score: 1, finishReason: 'stop', segments};
}

/** Returns a report of an agent whose engine runs a weight version. */
function createReport(weightVersion: number): AgentReport {
  const load = {running: 0, queued: 0, slots: 8, kvUsePermille: 0};
  const tokens = {queuedTokens: 0, tokensPerSecond: 1};
  const identity = {name: 'lm-1', service: 'lm', state: 'serving' as const};
  return {
    agent: 'agent-lm-1',
    failureDomain: 'attica-a',
    incarnation: 'x',
    tick: 0,
    rulesRevision: 1,
    endpoints: [{...identity, ...load, ...tokens, weightVersion}],
    leaving: false,
  };
}

function createFixture() {
  const state = {nowMs: 0, reply: {} as PullReply};
  const rules = createRules();
  const burn = BurnTracker.create(() => rules.getRuleSet());
  const fleet = FleetView.create();
  const clock = {
    readMonotonicMs: () => state.nowMs,
    readWallMs: () => state.nowMs,
  };
  const latencies = LatencyHistograms.create();
  const options = {burn, latencies, rules, fleet, clock};
  const measured = MeasuredBackends.create(options);
  const backend: TrainerBackend = {
    authenticate: () => ok('kyklos'),
    putStep: async () => err({kind: 'internal', detail: 'unused'}),
    pullSamples: async () => ok(state.reply),
    publishVersion: async () => ok({version: 6, operationId: 'op'} as never),
  };
  const trainers = measured.measureTrainers(backend);
  const describeEvents = () =>
    burn
      .listPromises(state.nowMs)
      .filter(promise => promise.objective !== undefined)
      .map(({id, windows}) => {
        const {good, bad} = windows[3].buckets[0] ?? {good: 0, bad: 0};
        return `${id} ${good} good ${bad} bad`;
      });
  return {state, fleet, measured, trainers, describeEvents};
}

function createReply(samples: Sample[], complete: boolean): PullReply {
  const counts = {delivered: samples.length, total: 3, droppedStale: 0};
  const extras = {version: 5, failed: []};
  return {samples, cursor: 'c', complete, ...counts, ...extras};
}

test('counts samples by their oldest version and each step once', async () => {
  const {state, trainers, describeEvents} = createFixture();
  state.reply = createReply([createSample(0, 5), createSample(1, 4)], false);
  await trainers.pullSamples(NAME, PULL);
  state.nowMs = 9_000;
  state.reply = createReply([createSample(2, 3)], true);
  await trainers.pullSamples(NAME, PULL);
  state.nowMs = 60_000;
  state.reply = createReply([], true);
  await trainers.pullSamples(NAME, PULL);
  expect(describeEvents()).toEqual([
    'fresh 2 good 1 bad',
    'on-time 1 good 0 bad',
    'soon 0 good 0 bad',
  ]);
});

test.each([
  ['in time', 6_000, 'soon 1 good 0 bad'],
  ['overdue', 8_000, 'soon 0 good 1 bad'],
])('counts weights that are %s', async (_name, atMs, expected) => {
  const {state, fleet, measured, trainers, describeEvents} = createFixture();
  fleet.applyReport(createReport(5), 0);
  await trainers.publishVersion({
    customer: 'kyklos',
    trainer: 'briefs',
    version: 6,
    weightsKey: 'w-6',
    isAnnouncement: false,
  });
  measured.advance();
  expect(describeEvents()).toContain('soon 0 good 0 bad');
  state.nowMs = atMs;
  fleet.applyReport({...createReport(6), tick: atMs}, atMs);
  measured.advance();
  measured.advance();
  expect(describeEvents()).toContain(expected);
});
