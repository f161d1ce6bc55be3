/** Routed calls against endpoints that answer by a script. */
import {
  EndpointDirectory,
  EndpointEntry,
  EndpointPool,
  Quarantine,
  Route,
  RouteBurnTracker,
  RouteKind,
} from '@sassafrasspan/core';
import {Metrics, SILENT_LOG, SYSTEM_CLOCK} from '@sassafrasspan/runtime';
import {CallForwarder} from './call_forwarder';
import type {EndpointReply} from './call_types';

const LOAD = undefined;

/** Replies by name, with the time after which they come in ms. */
const REPLIES = {
  ok: {type: 'answered', answer: createAnswer(200), load: LOAD},
  failed: {type: 'answered', answer: createAnswer(500), load: LOAD},
  full: {type: 'not-run', reason: 'full', load: LOAD},
  unreachable: {type: 'not-run', reason: 'unreachable', load: LOAD},
  moved: {type: 'not-run', reason: 'other-instance', load: LOAD},
  lost: {type: 'lost', hadBytes: false, detail: 'reset'},
  cut: {type: 'lost', hadBytes: true, detail: 'cut'},
} as const satisfies Record<string, EndpointReply>;

type Script = Array<keyof typeof REPLIES | 'silent'>;

function createAnswer(status: number) {
  return {status, headers: {}, body: Buffer.from('')};
}

function createEndpoint(id: string): EndpointEntry {
  return {
    id,
    service: 's',
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

interface Outcome {
  readonly result: string;
  /** Endpoints to which the call was sent. */
  readonly sent: number;
  /** Attempts that were broken off. */
  readonly cancelled: number;
}

async function forward(
  kind: RouteKind,
  script: Script,
  options: {
    endpoints?: number;
    maxAttempts?: number;
    quarantine?: Quarantine;
    /** Number of the first endpoint. */
    first?: number;
  } = {},
): Promise<Outcome> {
  const {endpoints = 3, maxAttempts = 2, first = 0} = options;
  const {quarantine = Quarantine.create(3)} = options;
  const directory = EndpointDirectory.create();
  for (let i = 0; i < endpoints; i++) {
    directory.put(createEndpoint(`e${first + i}`));
  }
  const drawHalf = () => 0.5;
  const sent = new Set<string>();
  let cancelled = 0;
  const forwarder = CallForwarder.create({
    endpoints: directory,
    pool: EndpointPool.create('a', drawHalf),
    quarantine,
    caller: {
      callEndpoint: (endpoint, _call, _leftMs, signal) => {
        sent.add(endpoint.id);
        const step = script.shift() ?? 'silent';
        return new Promise(resolve => {
          signal.addEventListener('abort', () => {
            cancelled += 1;
            resolve(REPLIES.lost);
          });
          if (step !== 'silent') resolve(REPLIES[step]);
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
      signal: new AbortController().signal,
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

test('what follows each way of an endpoint to answer', async () => {
  const seen: Record<string, Outcome> = {};
  const kinds: RouteKind[] = ['idempotent', 'non-idempotent'];
  for (const kind of kinds) {
    for (const step of Object.keys(REPLIES) as Array<keyof typeof REPLIES>) {
      seen[`${kind}, ${step} then ok`] = await forward(kind, [step, 'ok']);
    }
    seen[`${kind}, always full`] = await forward(kind, [
      'full',
      'full',
      'full',
      'full',
    ]);
    seen[`${kind}, always lost`] = await forward(kind, [
      'lost',
      'lost',
      'lost',
    ]);
    seen[`${kind}, full after lost`] = await forward(kind, ['lost', 'full']);
    seen[`${kind}, nobody there`] = await forward(kind, [], {endpoints: 0});
  }
  expect(seen).toMatchSnapshot();
});

test('a silent endpoint is hedged where that is allowed', async () => {
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
  const once = await forward('idempotent', ['silent'], {maxAttempts: 1});
  expect(once.sent).toBe(1);
});

test('a request that crashes three endpoints is not run again', async () => {
  const quarantine = Quarantine.create(3);
  const send = (first: number) =>
    forward('idempotent', ['lost', 'lost'], {quarantine, first});
  const seen = [await send(0), await send(10), await send(20)];
  expect(seen.map(({result, sent}) => `${result}, ${sent}`)).toEqual([
    'endpoint-failed, 2',
    'endpoint-failed, 2',
    'crash-suspect, 0',
  ]);
});

test('a request that is answered clears itself', async () => {
  const quarantine = Quarantine.create(3);
  await forward('idempotent', ['lost', 'ok'], {quarantine});
  expect(quarantine.listSuspicions()).toEqual([]);
});
