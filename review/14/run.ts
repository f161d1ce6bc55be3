/**
 * The VM of the coordinator stands still for 1.5 s. A trainer ends its batch job
 * meanwhile. The call is answered 200, but the items of the job go on starting.
 */
import {TestClient} from '../../platform/src/testing/test_clients';
import {CANCEL_MS} from '../../platform/src/testing/process_deployment';
import {createItemIds, submitJob} from '../lib3/batch_jobs';
import {
  findCoordinatorVm,
  hasTrouble,
  readCoordinator,
  recordRuns,
  runCase,
  wait,
  waitFor,
} from '../lib3/case_runner';

const JOB_ID = 'a14a14a14a14a14a';
const ITEMS = 72;
/** Items last 19 events of 150 ms, and 12 run at once: about 17 s in all. */
const SLOWDOWN = 6;
/** `contact_ms` of the installations. */
const CONTACT_MS = 3_000;
/** How long the VM stands still: less than half of the 3.2 s of the sheets. */
const FREEZE_MS = 1_500;
/** When the trainer ends its job, after the freeze has begun. */
const END_AFTER_MS = 680;
const OBSERVED_MS = 12_000;

void runCase(
  14,
  {entries: 2, coordinators: 3, agents: 3, plainServices: 0},
  async (deployment, record) => {
    for (const model of deployment.models) model.slowdownFactor = SLOWDOWN;
    const [entry] = deployment.listVms('entry');
    const client = TestClient.create(() => deployment.getCallerAddress(entry));
    await waitFor('a coordinator', () => readCoordinator(deployment));
    await wait(2_500);
    await submitJob(client, record, JOB_ID, createItemIds('c0de', ITEMS));
    await waitFor('the first runs', () =>
      deployment.models.some(({runs}) => runs.length > 2) ? true : undefined,
    );
    await wait(1_500);
    const before = readCoordinator(deployment);
    const vm = findCoordinatorVm(deployment);
    if (vm === undefined) throw new Error('the coordinator is unknown');
    record.write(`coordinator: ${JSON.stringify(before)}`);
    let thawedAtMs = Date.now();
    if (hasTrouble) {
      vm.process?.kill('SIGSTOP');
      record.write(`${vm.name} stands still`);
      setTimeout(() => {
        vm.process?.kill('SIGCONT');
        thawedAtMs = Date.now();
        record.write(`${vm.name} wakes`);
      }, FREEZE_MS);
      await wait(END_AFTER_MS);
    }
    record.write(`DELETE batch job ${JOB_ID}`);
    const status = await client.end(JOB_ID);
    const ackAtMs = Date.now();
    record.write(`DELETE answered: ${status}`);
    if (status !== 200) throw new Error('the end was not acknowledged');
    await wait(OBSERVED_MS);
    record.write(`coordinator: ${JSON.stringify(readCoordinator(deployment))}`);
    recordRuns(deployment, record);
    const boundMs = Math.max(ackAtMs + CANCEL_MS, thawedAtMs + CONTACT_MS);
    const late = deployment.models
      .flatMap(({runs}) => runs)
      .filter(({startedAtMs}) => startedAtMs > boundMs);
    const bound = record.formatTime(boundMs);
    record.write(`runs of the job that started after ${bound}: ${late.length}`);
    client.close();
    return late.length > 0;
  },
);
