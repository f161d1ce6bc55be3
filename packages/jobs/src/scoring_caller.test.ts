/** Tests how scoring calls under which endpoints crash are made again, with the
 * records of one node in memory. */
import {
  AttemptOutcome,
  CallForwarder,
  EndedAttempt,
} from '@sassafrasspan/calls';
import {
  CrashRecords,
  EndpointDirectory,
  EndpointSelector,
  RequestKind,
  Route,
  RouteBurnTracker,
  RouteTable,
} from '@sassafrasspan/core';
import type {RateGate} from '@sassafrasspan/limits';
import {Metrics, SILENT_LOG} from '@sassafrasspan/runtime';
import {RoutedScoringCaller} from './scoring_caller';

const ENDPOINTS = 20;
/** Endpoints that crash while they run the call. */
const CRASHES = 5;
/** Time between two attempts of the coordinator, in ms. */
const RETRY_MS = 1_000;
/** Longest time without a call beside idle endpoints, in ms. */
const MAX_UNPLACED_MS = 5_000;

const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'idempotent',
  targets: [{service: 's', weight: 1}],
  timeoutMs: 1_000,
  targetLatencyMs: 500,
  maxAttempts: 1,
  priority: 0,
  isResumable: false,
  isSingleVersion: false,
  runDeadlineMs: 0,
  retentionMs: 0,
};

const CALL = {id: 'c', host: 'h', path: '/', headers: {}, body: ''};

function createDirectory(): EndpointDirectory {
  const directory = EndpointDirectory.create();
  for (let i = 0; i < ENDPOINTS; i++) {
    directory.put({
      ...{id: `e${i}`, service: 's', software: 's', address: `e${i}:1`},
      ...{slots: 1, failureDomain: 'a', isDraining: false, startedAtMs: 0},
      ...{coldRemainingMs: 0, versions: new Map()},
    });
  }
  return directory;
}

/** Makes a scoring call once in `RETRY_MS`, whose first endpoints crash under it
 * together with others. */
async function replayCrashes() {
  const records = CrashRecords.create();
  const startsMs: number[] = [];
  let nowMs = 0;
  const crashes = {
    decide: (fingerprint: string, kind?: RequestKind) =>
      records.decide(fingerprint, nowMs, kind),
    claimTrial: async (fingerprint: string, id: string, kind?: RequestKind) => {
      const isDue = records.decide(fingerprint, nowMs, kind) === 'trial-due';
      const trial = {id: `${id} ${nowMs}`, atMs: nowMs};
      if (isDue) records.addTrial(fingerprint, trial);
      return isDue;
    },
    recordAttempt: ({fingerprint, endpoint, reply}: EndedAttempt) => {
      if (reply.type !== 'lost') return;
      const id = `${endpoint.id} ${nowMs}`;
      records.addCrash(fingerprint, {id, atMs: nowMs});
      const other = {id: `other ${nowMs}`, atMs: nowMs};
      records.addCrash('another request', other);
    },
  };
  const callEndpoint = async (): Promise<AttemptOutcome> => {
    startsMs.push(nowMs);
    const answer = {status: 200, headers: {}, body: Buffer.alloc(0)};
    return startsMs.length <= CRASHES
      ? {type: 'lost', hadBytes: false, hasBroken: true, detail: 'reset'}
      : {type: 'answered', answer, load: undefined};
  };
  const endpoints = createDirectory();
  const caller = RoutedScoringCaller.create({
    forwarder: CallForwarder.create({
      endpoints,
      pool: EndpointSelector.create('a', () => 0.5),
      caller: {callEndpoint},
      rateGate: {
        isLimited: () => false,
        isDenied: () => false,
        admitSend: async () => true,
        recordAnswer: () => undefined,
        reserveReturn: () => undefined,
      } as unknown as RateGate,
      crashes,
      clock: {readMonotonicMs: () => nowMs, readWallMs: () => nowMs},
      random: () => 0.5,
      log: SILENT_LOG,
      metrics: Metrics.create(),
      burn: RouteBurnTracker.create(),
    }),
    endpoints,
    getTable: () =>
      ({
        configuration: {version: 1},
        findRoute: () => ROUTE,
      }) as unknown as RouteTable,
    format: {createHeaders: () => ({}), readScore: () => 'score'},
    clock: {readMonotonicMs: () => nowMs, readWallMs: () => nowMs},
  });
  let score: string | undefined;
  while (score === undefined && nowMs < 120_000) {
    nowMs += RETRY_MS;
    const {signal} = new AbortController();
    const request = {call: CALL, customer: undefined, mayHedge: false, signal};
    score = (await caller.callScorer(request)).score;
  }
  return {score, startsMs};
}

// Guards against items without a score until their retention time is over: their
// scoring call was never made again after two trials without an answer.
test('a scoring call under which endpoints crash together is made again', async () => {
  const {score, startsMs} = await replayCrashes();
  expect(score).toBe('score');
  const gapsMs = startsMs.slice(1).map((atMs, i) => atMs - startsMs[i]);
  expect(Math.max(...gapsMs)).toBeLessThanOrEqual(MAX_UNPLACED_MS);
});
