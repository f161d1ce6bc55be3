/**
 * A trainer's batch job is complete and its results have been read. Then the
 * operator removes the route of that trainer. The results must stay readable
 * until status_s after the submission.
 */
import {createConfiguration, createPlainRoute} from '../lib/configuration';
import {createRolloutRoute} from '../lib/configuration';
import {BOUNDS, Deployment, waitMs} from '../lib/deployment';
import {Engine} from '../lib/engine';
import {HAS_TROUBLE, note, runCase} from '../lib/record';
import {PlainServer} from '../lib/servers';
import {createItemIds, readAll, readJob, submitJob} from '../lib/trainer';

const HOST = 'train-a.example';
const SETTLE_MS = 1_000;
const CONFIG_APPLY_MS = 2_000;
const READS_MS = 8_000;

runCase('4', async addCleanup => {
  const rolloutA = createRolloutRoute('r-a', HOST, '/a/');
  const rolloutB = createRolloutRoute('r-b', 'train-b.example', '/b/');
  const plain = createPlainRoute('r-plain', 'plain');
  const deployment = await Deployment.start(
    {entry: 3, home: 3, agent: 2},
    async ({store, network}) => {
      const routes = [plain, rolloutA, rolloutB];
      store.put('config', 'main', createConfiguration(1, routes));
      const server = await PlainServer.start(
        store,
        'plain',
        `127.${network}.4.1`,
      );
      addCleanup(() => server.stop());
      for (const n of [1, 2]) {
        const engine = await Engine.start({
          store,
          host: `127.${network}.3.${n}`,
          models: ['m'],
          slots: 12,
          loadMs: 900,
          findPauseMs: () => 20,
          countEvents: () => 25,
        });
        addCleanup(() => engine.stop());
      }
    },
  );
  addCleanup(() => deployment.stop());
  const entries = deployment.list('entry');
  const [first] = entries;

  const itemIds = createItemIds(8);
  const submittedAtMs = Date.now();
  const {jobId, reply} = await submitJob({
    address: deployment.getCallers(first),
    host: HOST,
    prefix: '/a/',
    model: 'm',
    minVersion: 1,
    itemIds,
    step: 0,
    events: 25,
  });
  note(`batch job ${jobId} of ${itemIds.length} items: ${reply.status}`);
  if (reply.status !== 202) throw new Error('the batch job was not accepted');
  const results = await readAll(
    deployment.getCallers(first),
    HOST,
    jobId,
    20_000,
  );
  for (const [position, {id, state}] of results.entries()) {
    note(`read at position ${position}: ${id} ${state}`);
  }
  if (results.length !== itemIds.length) throw new Error('no results');
  await waitMs(SETTLE_MS);

  // Version 2 changes a time-out; with the disruption it also drops a route.
  const changed = {...plain, timeout_ms: 1_900};
  const routes = HAS_TROUBLE
    ? [changed, rolloutB]
    : [changed, rolloutA, rolloutB];
  deployment.store.put('config', 'main', createConfiguration(2, routes));
  const ackedAtMs = Date.now();
  note(`version 2 acknowledged, ${HAS_TROUBLE ? 'without' : 'with'} route r-a`);
  await waitMs(CONFIG_APPLY_MS);

  const breaches: string[] = [];
  while (Date.now() < ackedAtMs + CONFIG_APPLY_MS + READS_MS) {
    for (const entry of entries) {
      const address = deployment.getCallers(entry);
      const {status, page} = await readJob(address, HOST, jobId, 0);
      const ageMs = Date.now() - submittedAtMs;
      const isSame =
        page !== undefined &&
        JSON.stringify(page.results) === JSON.stringify(results);
      const what = `read at ${entry.name}, ${ageMs} ms after the submission`;
      note(`${what}: ${status}, ${isSame ? 'the same results' : 'no results'}`);
      const isKept = ageMs < BOUNDS.resultsKeptSeconds * 1_000;
      if ([404, 410].includes(status) && isKept) {
        breaches.push(`${what}: ${status}`);
      } else if (status === 200 && !isSame) breaches.push(`${what}: differs`);
    }
    await waitMs(500);
  }
  // A 503 promises nothing; the job has to be readable at last.
  if (breaches.length === 0) {
    const again = await readAll(
      deployment.getCallers(first),
      HOST,
      jobId,
      8_000,
    );
    if (JSON.stringify(again) !== JSON.stringify(results)) {
      breaches.push('the results that had been read do not come again');
    }
  }
  return breaches;
});
