/** Tests the forwarding of calls to endpoints with scripted replies. */
import {getEventListeners} from 'node:events';
import {
  EndpointDirectory,
  EndpointEntry,
  EndpointSelector,
  RateKeeper,
  Route,
  RouteBurnTracker,
  RouteKind,
  createError,
} from '@sassafrasspan/core';
import {RateGate} from '@sassafrasspan/limits';
import {ClusterWatch, PeerClient} from '@sassafrasspan/peers';
import type {ObjectCollections} from '@sassafrasspan/platform';
import {Metrics, SILENT_LOG, SYSTEM_CLOCK} from '@sassafrasspan/runtime';
import {err} from 'neverthrow';
import {CallForwarder} from './call_forwarder';
import {CrashWatch} from './crash_watch';
import type {AttemptOutcome} from './call_types';

const LOAD = undefined;

/** Endpoint replies by name. */
const REPLIES = {
  ok: {type: 'answered', answer: createAnswer(200), load: LOAD},
  failed: {type: 'answered', answer: createAnswer(500), load: LOAD},
  full: {type: 'not-run', reason: 'full', load: LOAD},
  held: {type: 'not-run', reason: 'held-back', load: LOAD},
  unreachable: {type: 'not-run', reason: 'unreachable', load: LOAD},
  moved: {type: 'not-run', reason: 'other-instance', load: LOAD},
  lost: {type: 'lost', hadBytes: false, hasBroken: true, detail: 'reset'},
  cut: {type: 'lost', hadBytes: true, hasBroken: true, detail: 'cut'},
} as const satisfies Record<string, AttemptOutcome>;

type Script = Array<keyof typeof REPLIES | 'silent'>;

function createAnswer(status: number) {
  return {status, headers: {}, body: Buffer.from('')};
}

function createEndpoint(id: string): EndpointEntry {
  return {
    id,
    service: 's',
    software: 's',
    address: `${id}:1`,
    failureDomain: 'a',
    slots: 4,
    isDraining: false,
    coldRemainingMs: 0,
    startedAtMs: 0,
    versions: new Map(),
  };
}

function createRoute(kind: RouteKind, maxAttempts: number): Route {
  return {
    name: 'r',
    host: 'h',
    pathPrefix: '/',
    kind,
    targets: [{service: 's', weight: 1}],
    timeoutMs: 300,
    targetLatencyMs: 200,
    maxAttempts,
    priority: 0,
    isResumable: false,
    isSingleVersion: false,
    runDeadlineMs: 0,
    retentionMs: 0,
  };
}

/** Creates the gate of a node that alone keeps all limits, which have just begun. */
function createRateGate(limits: Readonly<Record<string, number>>): RateGate {
  const self = {name: 'self', address: '', failureDomain: ''};
  const gate = RateGate.create({
    directory: {
      listKeepers: () => [{...self, role: 'entry'}],
      isOwn: () => true,
    },
    keeper: RateKeeper.create(),
    peers: PeerClient.create(),
    clock: SYSTEM_CLOCK,
    log: SILENT_LOG,
    metrics: Metrics.create(),
    onChanged: () => undefined,
  });
  for (const [endpointId, limit] of Object.entries(limits)) {
    gate.recordAnswer({endpointId, limit, sentAtMs: 0});
  }
  return gate;
}

interface Outcome {
  readonly result: string;
  /** Number of endpoints to which the call was sent. */
  readonly sent: number;
  /** Number of cancelled attempts. */
  readonly cancelled: number;
}

async function forward(
  kind: RouteKind,
  script: Script,
  options: {
    endpoints?: number;
    maxAttempts?: number;
    crashes?: CrashWatch;
    /** Index of the first endpoint, used in the endpoints' ids. */
    firstIndex?: number;
    /** Limits that endpoints have stated, by id. */
    limits?: Readonly<Record<string, number>>;
    /** Cancels the call. */
    signal?: AbortSignal;
  } = {},
): Promise<Outcome> {
  const {endpoints = 3, maxAttempts = 2, firstIndex = 0} = options;
  const {crashes, limits = {}} = options;
  const {signal = new AbortController().signal} = options;
  const directory = EndpointDirectory.create();
  for (let i = 0; i < endpoints; i++) {
    directory.put(createEndpoint(`e${firstIndex + i}`));
  }
  const drawHalf = () => 0.5;
  const sent = new Set<string>();
  let cancelled = 0;
  const forwarder = CallForwarder.create({
    endpoints: directory,
    pool: EndpointSelector.create('a', drawHalf),
    crashes,
    rateGate: createRateGate(limits),
    caller: {
      callEndpoint: (endpoint, _call, _leftMs, signal) => {
        sent.add(endpoint.id);
        const replyName = script.shift() ?? 'silent';
        return new Promise(resolve => {
          signal.addEventListener('abort', () => {
            cancelled += 1;
            resolve(REPLIES.lost);
          });
          if (replyName !== 'silent') resolve(REPLIES[replyName]);
        });
      },
    },
    clock: SYSTEM_CLOCK,
    random: drawHalf,
    log: SILENT_LOG,
    metrics: Metrics.create(),
    burn: RouteBurnTracker.create(),
  });
  const result = await forwarder.forward({
    call: {
      id: 'call',
      host: 'h',
      method: 'POST',
      target: '/',
      headers: {},
      body: Buffer.alloc(0),
      mayRepeat: kind === 'idempotent',
      deadlineAtMs: SYSTEM_CLOCK.readMonotonicMs() + 1_000,
      signal,
    },
    route: createRoute(kind, maxAttempts),
    configurationVersion: 1,
  });
  return {
    result: result.isOk() ? `${result.value.status}` : result.error.kind,
    sent: sent.size,
    cancelled,
  };
}

test('each kind of endpoint reply leads to its result', async () => {
  const outcomes: Record<string, Outcome> = {};
  const kinds: RouteKind[] = ['idempotent', 'non-idempotent'];
  for (const kind of kinds) {
    for (const replyName of Object.keys(REPLIES) as Array<
      keyof typeof REPLIES
    >) {
      outcomes[`${kind}, ${replyName} then ok`] = await forward(kind, [
        replyName,
        'ok',
      ]);
    }
    outcomes[`${kind}, always full`] = await forward(kind, [
      'full',
      'full',
      'full',
      'full',
    ]);
    outcomes[`${kind}, always lost`] = await forward(kind, [
      'lost',
      'lost',
      'lost',
    ]);
    outcomes[`${kind}, full after lost`] = await forward(kind, [
      'lost',
      'full',
    ]);
    outcomes[`${kind}, no endpoints`] = await forward(kind, [], {endpoints: 0});
  }
  expect(outcomes).toMatchSnapshot();
});

test('a silent endpoint is hedged if the route and maxAttempts allow it', async () => {
  expect(await forward('idempotent', ['silent', 'ok'])).toEqual({
    result: '200',
    sent: 2,
    cancelled: 1,
  });
  expect(await forward('non-idempotent', ['silent', 'ok'])).toEqual({
    result: 'deadline-exceeded',
    sent: 1,
    cancelled: 1,
  });
  const singleAttempt = await forward('idempotent', ['silent'], {
    maxAttempts: 1,
  });
  expect(singleAttempt.sent).toBe(1);
});

/** Creates the watch of a node without others, whose endpoints crash if their
 * connections break and `isListening` is false. */
function createCrashWatch(isListening: boolean): CrashWatch {
  const watch = CrashWatch.create({
    name: 'self',
    cluster: {listNodes: () => []} as unknown as ClusterWatch,
    peers: PeerClient.create(),
    store: {
      createObject: () =>
        Promise.resolve(err(createError('platform-down', 'no store'))),
      readObject: () =>
        Promise.resolve(err(createError('platform-down', 'no store'))),
    } as unknown as ObjectCollections,
    prober: {isListening: () => Promise.resolve(isListening)},
    clock: SYSTEM_CLOCK,
    random: () => 0.5,
    log: SILENT_LOG,
    metrics: Metrics.create(),
  });
  watches.push(watch);
  return watch;
}

const watches: CrashWatch[] = [];
afterAll(() => {
  for (const watch of watches) watch.stop();
});

test.each(['lost', 'cut'] as const)(
  'a request under which three endpoints ended is run again, %s',
  async reply => {
    const crashes = createCrashWatch(false);
    const send = (firstIndex: number) =>
      forward('idempotent', [reply, reply], {crashes, firstIndex});
    const results = [await send(0), await send(10), await send(20)];
    expect(results.map(({result, sent}) => `${result}, ${sent}`)).toEqual([
      `${reply === 'cut' ? 'answer-incomplete' : 'endpoint-failed'}, 2`,
      `${reply === 'cut' ? 'answer-incomplete' : 'endpoint-failed'}, 2`,
      'crash-suspect, 0',
    ]);
  },
);

test('a request is refused since connections broke, though no endpoint ended', async () => {
  const crashes = createCrashWatch(true);
  const send = (firstIndex: number) =>
    forward('idempotent', ['lost', 'lost'], {crashes, firstIndex});
  const results = [await send(0), await send(10), await send(20)];
  expect(results.map(({result}) => result)).toEqual([
    'endpoint-failed',
    'endpoint-failed',
    'endpoint-failed',
  ]);
});

test('a request that is answered stays suspected', async () => {
  const crashes = createCrashWatch(false);
  const send = (firstIndex: number, script: Script) =>
    forward('idempotent', script, {crashes, firstIndex});
  await send(0, ['lost', 'lost']);
  await send(10, ['lost', 'failed']);
  expect((await send(20, [])).result).toBe('crash-suspect');
  const cleared = createCrashWatch(false);
  await forward('idempotent', ['lost', 'lost'], {crashes: cleared});
  await forward('idempotent', ['ok'], {crashes: cleared, firstIndex: 10});
  const after = await forward('idempotent', ['lost', 'lost'], {
    crashes: cleared,
    firstIndex: 20,
  });
  expect(after.sent).toBe(2);
});

test('a call goes to an endpoint whose limit does not admit it', async () => {
  const limits = {e0: 1, e1: 1};
  expect(await forward('idempotent', ['ok'], {limits})).toMatchObject({
    result: '200',
    sent: 1,
  });
  const refused = await forward('idempotent', ['ok'], {limits, endpoints: 2});
  expect(refused).toMatchObject({result: 'rate-limited', sent: 0});
});

test('a hedge or a retry exceeds the limit of an endpoint', async () => {
  const limits = {e1: 1, e2: 1};
  const hedged = await forward('idempotent', ['silent', 'ok'], {limits});
  expect(hedged).toMatchObject({result: 'deadline-exceeded', sent: 1});
  const retried = await forward('idempotent', ['failed', 'ok'], {limits});
  expect(retried).toMatchObject({result: '500', sent: 1});
});

test('callers that a limit denies are told successive times to return at', () => {
  const gate = createRateGate({e0: 2});
  void gate.admitSend({id: 'e0', address: 'e0:1'});
  const times = [1, 2, 3].map(() => gate.reserveReturn(['e0']) ?? 0);
  const gaps = times.slice(1).map((atMs, index) => atMs - times[index]);
  expect(gaps.map(gapMs => Math.round(gapMs / 100))).toEqual([5, 5]);
});

test('calls that share a signal leave no listener behind', async () => {
  const {signal} = new AbortController();
  const scripts: Script[] = [['ok'], ['failed', 'ok'], ['silent', 'ok'], []];
  for (const script of scripts) await forward('idempotent', script, {signal});
  expect(getEventListeners(signal, 'abort')).toEqual([]);
});
