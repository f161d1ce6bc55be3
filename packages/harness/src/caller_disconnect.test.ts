/** Work is cancelled at the engine when its caller disconnects. */
import {request} from 'node:http';
import {waitUntil} from './node_status';
import {SystemPlan, TestSystem, createApiKey, hashCustomerKey} from './system';

const PLAN: SystemPlan = {
  entries: [{name: 'entry-a', failureDomain: 'attica-a'}],
  endpoints: [
    {
      name: 'lm-1',
      service: 'briefing-lm',
      kind: 'engine',
      failureDomain: 'attica-a',
    },
  ],
  rules: `rules:
  - {id: key, kind: api-key, customer: kyklos, sha256: ${hashCustomerKey('kyklos')}}  # onboarding
  - {id: lm, kind: pool, service: briefing-lm, type: engine, endpoints: [lm-1]}  # platform team
`,
};

/** The part of the engine's /admin/truth page that the test reads. */
interface EngineTruth {
  readonly executions: ReadonlyArray<{readonly ended: string}>;
}

let system: TestSystem;

beforeAll(async () => {
  system = await TestSystem.create(PLAN);
});

afterAll(async () => {
  await system.close();
});

async function fetchEndings(): Promise<string[]> {
  const reply = await fetch(`${system.getEndpoint('lm-1').url}/admin/truth`);
  const truth = (await reply.json()) as EngineTruth;
  return truth.executions.map(execution => execution.ended);
}

/** Starts a streamed completion and disconnects after its first bytes. */
function closeEarly(): Promise<void> {
  const {callersUrl} = system.getEntry('entry-a');
  const body = {
    model: 'briefing-lm',
    prompt: 'Brief',
    max_tokens: 100_000,
    stream: true,
  };
  return new Promise((resolve, reject) => {
    const call = request(`${callersUrl}/v1/completions`, {
      method: 'POST',
      headers: {authorization: `Bearer ${createApiKey('kyklos')}`},
    });
    call.on('error', reject);
    call.on('response', reply => {
      reply.on('error', () => undefined);
      reply.once('data', () => {
        reply.destroy();
        resolve();
      });
    });
    call.end(JSON.stringify(body));
  });
}

test('the engine aborts a generation whose caller has disconnected', async () => {
  await closeEarly();
  await waitUntil('the engine aborts the generation', async () => {
    return (await fetchEndings()).join() === 'broken';
  });
});
