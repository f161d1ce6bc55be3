/**
 * A client submits six batch jobs of 29 MB, one after the other, each inside the
 * limits of the configuration. The coordinators and the entries run out of memory,
 * one after the other and again and again; mostly no batch job of any trainer can be
 * read any more.
 */
import {TestClient} from '../../platform/src/testing/test_clients';
import {createTestConfiguration} from '../../platform/src/testing/test_configuration';
import {createItemIds, submitJob} from '../lib3/batch_jobs';
import {
  hasTrouble,
  readCoordinator,
  runCase,
  wait,
  waitFor,
} from '../lib3/case_runner';

const SOUND_JOB_ID = 'f14f14f14f14f140';
const SOUND_ITEMS = 8;
const LARGE_JOBS = 6;
const LARGE_ITEMS = 290;
/** Size of an item's body, in characters of its base64. */
const LARGE_BODY = hasTrouble ? 100_000 : 600;
/** `max_body_bytes` of the site files. */
const MAX_BODY_BYTES = 33_554_432;
/** Number of client attempts of a submission, and the time between them, in ms. */
const SUBMIT_TRIES = 2;
const RETRY_MS = 1_500;
/** Time for which the sound job is read at last, in ms: `recover_s` is 12. */
const OBSERVED_MS = 25_000;
/** Ends of processes by themselves that are a fault, and on how many machines: a
 * tenth of the machines, two at least. */
const FAULT_ENDS = 3;
const FAULT_MACHINES = 2;
/** Memory of the smallest entries of the site, in MB; its storage has 410. */
const MEMORY_MB = 350;

function createLargeJob(job: number): string {
  return JSON.stringify({
    step: 0,
    model: 'm',
    min_version: 1,
    desired_count: LARGE_ITEMS / 2,
    items: createItemIds(`1a${job}`, LARGE_ITEMS).map((id, index) => ({
      id,
      path: `/batch/i/${id}`,
      headers: {
        Model: 'm',
        'Token-Usage': '10,1100',
        'Prompt-Prefix': 'ab:10',
      },
      body: 'A'.repeat(LARGE_BODY),
      token_count: 1_110,
      group: `g${Math.floor(index / 2)}`,
    })),
  });
}

void runCase(
  14,
  {entries: 2, coordinators: 3, agents: 2, plainServices: 0},
  async (deployment, record) => {
    const configuration = createTestConfiguration(2) as {limits: object};
    deployment.store.put('config', 'main', {
      ...configuration,
      limits: {...configuration.limits, max_body_bytes: MAX_BODY_BYTES},
    });
    const entries = deployment.listVms('entry');
    let calls = 0;
    const client = TestClient.create(() => {
      calls += 1;
      return deployment.getCallerAddress(entries[calls % entries.length]);
    });
    await waitFor('a coordinator', () => readCoordinator(deployment));
    await wait(3_000);
    const soundIds = createItemIds('50d', SOUND_ITEMS);
    await submitJob(client, record, SOUND_JOB_ID, soundIds);
    const readSound = async () => {
      const {status, page} = await client.readPage(SOUND_JOB_ID, 0);
      return {status, isWhole: page?.results.length === SOUND_ITEMS};
    };
    await waitFor('all results of the sound job', async () =>
      (await readSound()).isWhole ? true : undefined,
    );
    record.write(`all results of ${SOUND_JOB_ID} were read`);
    for (let job = 1; job <= LARGE_JOBS; job++) {
      const id = `1a4e1a4e1a4e1a0${job}`;
      const body = createLargeJob(job);
      const headers = {'request-id': id, 'content-type': 'application/json'};
      for (let n = 0; n < SUBMIT_TRIES; n++) {
        const reply = await client.call('POST', `/batch/${id}`, body, headers);
        const status = reply?.status ?? 'no answer';
        record.write(`POST ${id}, ${body.length} bytes: ${status}`);
        if (reply !== undefined && reply.status < 429) break;
        await wait(RETRY_MS);
      }
    }
    const endsAtMs = Date.now() + OBSERVED_MS;
    let isWhole = false;
    let last = '';
    while (Date.now() < endsAtMs && !isWhole) {
      await wait(500);
      const answer = await readSound();
      ({isWhole} = answer);
      const text = `GET ${SOUND_JOB_ID}: ${answer.status}, whole: ${isWhole}`;
      if (text !== last) record.write(text);
      last = text;
    }
    record.write(`coordinator: ${JSON.stringify(readCoordinator(deployment))}`);
    let machines = 0;
    for (const vm of deployment.vms) {
      const ends = deployment.readOutput(vm).match(/^exited unexpectedly.*$/gm);
      if (ends === null) continue;
      if (ends.length >= FAULT_ENDS) machines += 1;
      record.write(
        `${vm.name} ended by itself ${ends.length} times: ${ends[0]}`,
      );
    }
    client.close();
    return machines >= FAULT_MACHINES;
  },
  {memoryMb: MEMORY_MB},
);
