/** Looking up where a stream began, at an entry that has just started. */
import {SYSTEM_CLOCK} from '@sassafrasspan/runtime';
import {
  ClusterWatch,
  ORIGINS_SCHEMA,
  ORIGIN_PATHS,
  PeerCall,
  PeerClient,
  RegisteredNode,
  StreamOriginKeeper,
} from '@sassafrasspan/peers';
import {createError} from '@sassafrasspan/core';
import {err, ok} from 'neverthrow';
import {StreamOriginExchange} from './stream_origin_exchange';

const ORIGIN = {service: 'lm', software: 'v1'};
const AGENT: RegisteredNode = {
  ...{name: 'agent-1', role: 'agent', address: '127.0.0.1:1'},
  failureDomain: 'a',
};
/** Time until the list of nodes arrives, in ms. */
const LIST_MS = 60;

/** Creates an exchange whose list of nodes arrives late. */
function createExchange(answers = true) {
  const startedAtMs = performance.now();
  const isListed = () => performance.now() - startedAtMs > LIST_MS;
  const recordedAt: string[] = [];
  const exchange = StreamOriginExchange.create({
    name: 'entry-1',
    cluster: {
      waitUntilListed: (limitMs: number) =>
        new Promise<void>(resolve =>
          setTimeout(resolve, Math.min(limitMs, LIST_MS + 1)),
        ),
      listNodes: (role: string) =>
        isListed() && role === 'agent' ? [AGENT] : [],
    } as unknown as ClusterWatch,
    peers: {
      call: async ({path}: PeerCall<unknown>) => {
        recordedAt.push(path);
        if (!answers) return err(createError('peer-lost', 'cut off'));
        return ok(ORIGINS_SCHEMA.parse({origins: [ORIGIN]}));
      },
    } as unknown as PeerClient,
    keeper: StreamOriginKeeper.create(SYSTEM_CLOCK),
  });
  return {exchange, recordedAt};
}

const NAMES = {callId: 'c', fingerprint: 'f'};

// Guards against take-ups that are refused just after the start of an entry.
test('a stream is found at an entry whose list of nodes is late', async () => {
  const {exchange} = createExchange();
  expect(await exchange.find(NAMES)).toEqual(ORIGIN);
});

// Guards against streams that are joined from two versions at an entry which is
// cut off and knows only where an equal request began before.
test('an equal request goes on where one began that only this entry knows', async () => {
  const {exchange} = createExchange(false);
  await exchange.record(NAMES, ORIGIN);
  const unnamed = {...NAMES, callId: undefined};
  expect(await exchange.find(unnamed)).toBeUndefined();
  expect(await exchange.find(NAMES)).toEqual(ORIGIN);
});

test('an origin is kept by other nodes also if the list of nodes is late', async () => {
  const {exchange, recordedAt} = createExchange();
  await exchange.record(NAMES, ORIGIN);
  expect(recordedAt).toEqual([ORIGIN_PATHS.record, ORIGIN_PATHS.record]);
});
