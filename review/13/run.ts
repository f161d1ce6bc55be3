/**
 * Two servers, one after the other, spoil one of 34 answers: within the stream, the
 * number of the weight version is no number. From then on the coordinator gets no
 * updates of the server's agent, and no item of the trainer's step is placed any more.
 */
import type {
  ExecutedRun,
  ModelServerStandin,
} from '../../platform/src/testing/model_server_standin';
import {TestClient} from '../../platform/src/testing/test_clients';
import {createItemIds, submitJob} from '../lib3/batch_jobs';
import {
  CaseRecord,
  hasTrouble,
  readCoordinator,
  recordRuns,
  runCase,
  wait,
  waitFor,
} from '../lib3/case_runner';

const FIRST_STEP = {jobId: 'c13c13c13c13c130', items: 84};
const SECOND_STEP = {jobId: 'c13c13c13c13c131', items: 96};
/** Time that the trainer gives a step, in ms: that of the sheets. */
const STEP_MS = 12_000;
/** Time at no server that breaks the rule, in ms. */
const UNPLACED_MS = 5_000;
/** Longest time for which a server spoils answers, in ms, and which of its answers
 * since then it is: the sheets have up to 6.91 s and 0.03 of the answers. */
const GARBLE_MS = 6_500;
const SPOILT_ANSWER = 34;
/** `contact_ms`, from the last disturbance on. */
const CONTACT_MS = 3_000;
/** Items last 19 events of 10 ms: 20 a second at each server. */
const SLOWDOWN = 0.4;
/** Both servers have 4 slots. */
const SLOTS = 8;

/** Makes a server spoil one answer; resolves when it is sound again. */
function garble(
  server: ModelServerStandin,
  record: CaseRecord,
  n: number,
): Promise<void> {
  return new Promise(resolve => {
    let answers = 0;
    const end = () => {
      clearTimeout(timer);
      server.chooseFault = () => undefined;
      record.write(`server ${n} spoils no more answers`);
      resolve();
    };
    const timer = setTimeout(end, GARBLE_MS);
    record.write(`server ${n} may spoil answers`);
    server.chooseFault = itemId => {
      answers += 1;
      if (answers !== SPOILT_ANSWER) return undefined;
      record.write(`server ${n} spoils its answer to ${itemId}`);
      end();
      return (response, {resumedAfter, text}) => {
        response.writeHead(200, {
          'content-type': 'text/event-stream',
          'request-id': itemId,
          'server-stamp': 'x',
          'weight-versions': '1',
        });
        for (let event = resumedAfter + 1; event <= text.length; event++) {
          const isSpoilt = event === resumedAfter + 2;
          const head = isSpoilt ? 'weight-versions: \u00a71\n' : '';
          response.write(`${head}id: ${event}\ndata: ${text[event - 1]}\n\n`);
        }
        response.end();
      };
    };
  });
}

/** Lets one server after the other spoil an answer; never two at once. */
async function playGarbles(
  models: readonly ModelServerStandin[],
  record: CaseRecord,
  onEnd: () => void,
): Promise<void> {
  for (const [index, server] of models.entries()) {
    await garble(server, record, index + 1);
  }
  onEnd();
}

/** Reads a step as a trainer does, until it is complete or out of time. */
async function readStep(
  client: TestClient,
  record: CaseRecord,
  {jobId, items}: typeof FIRST_STEP,
): Promise<number> {
  const endsAtMs = Date.now() + STEP_MS;
  let listed = 0;
  while (Date.now() < endsAtMs && listed < items) {
    const page = await client.read(jobId, listed);
    const count = page?.results.length ?? 0;
    listed += count;
    if (count > 0) record.write(`GET ${jobId}: ${listed} of ${items} results`);
    await wait(200);
  }
  record.write(`the step ends with ${listed} of ${items} results`);
  return listed;
}

function isInUse(run: ExecutedRun, fromMs: number): boolean {
  if (run.end === 'running' || run.startedAtMs > fromMs) return true;
  return (run.endedAtMs ?? 0) > fromMs;
}

void runCase(
  13,
  {entries: 2, coordinators: 2, agents: 2, plainServices: 0},
  async (deployment, record) => {
    const {models} = deployment;
    for (const model of models) model.slowdownFactor = SLOWDOWN;
    const [entry] = deployment.listVms('entry');
    const client = TestClient.create(() => deployment.getCallerAddress(entry));
    await waitFor('a coordinator', () => readCoordinator(deployment));
    await wait(2_500);
    const firstIds = createItemIds('c0de', FIRST_STEP.items);
    const secondIds = createItemIds('cafe', SECOND_STEP.items);
    let calmFromMs = hasTrouble ? Infinity : 0;
    if (hasTrouble) {
      void playGarbles(models, record, () => {
        calmFromMs = Date.now() + CONTACT_MS;
      });
    }
    await submitJob(client, record, FIRST_STEP.jobId, firstIds);
    await readStep(client, record, FIRST_STEP);
    record.write(`DELETE: ${await client.end(FIRST_STEP.jobId)}`);
    await submitJob(client, record, SECOND_STEP.jobId, secondIds);
    const listed = await readStep(client, record, SECOND_STEP);
    const quietFromMs = Date.now() - UNPLACED_MS;
    recordRuns(deployment, record);
    const runs = models.flatMap(model => model.runs);
    const hasBegun = runs.some(({itemId}) => secondIds.includes(itemId));
    const unplaced = secondIds.filter(id => {
      const itemRuns = runs.filter(({itemId}) => itemId === id);
      const isFinished = itemRuns.some(({end}) => end === 'whole');
      return !isFinished && !itemRuns.some(run => isInUse(run, quietFromMs));
    });
    const inUse = runs.filter(run => isInUse(run, quietFromMs));
    record.write(
      `in the last ${UNPLACED_MS} ms, unfinished items at no server: ` +
        `${unplaced.length}, runs at servers: ${inUse.length}`,
    );
    client.close();
    const isHalfEmpty = inUse.length < SLOTS / 2;
    const isSteady = quietFromMs >= calmFromMs;
    const isOutOfTime = listed < SECOND_STEP.items;
    return (
      isOutOfTime && isSteady && hasBegun && unplaced.length > 0 && isHalfEmpty
    );
  },
);
