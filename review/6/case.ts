/** Cuts between the coordinator and single agents while a trainer goes on. */
import {
  createRequestId,
  createRotatingClient,
  ReceivedResult,
  TestClient,
  waitUntil,
} from '../../platform/src/testing/test_clients';
import {getPeerPort} from '../../platform/src/testing/process_deployment';
import {createLongText, hasShortText, streamLongText} from '../lib2/long_texts';
import {RetransmittingProxy} from '../lib2/retransmitting_proxy';
import {CaseContext, runCase, waitFor} from '../lib2/review_case';

/** Pairs of steps: an agent is cut off in the first one of each. */
const PAIRS = 8;
const CUT_MS = 3_600;
/** Agents that are cut off at once: 0.17 of all. */
const AGENTS_CUT = 2;
/** Time from a cut to the step that is due, in ms. */
const CUT_BEFORE_MS = 1_900;
/** The trainer's time budgets for the two steps of a pair, and the time until the
 * next one. */
const FIRST_BUDGET_MS = 1_900;
const SECOND_BUDGET_MS = 5_000;
const TRAINING_MS = 2_000;
/** Items of the jobs of another client, which have short texts. */
const EVALUATED_ITEMS = 36;
const GROUPS = 28;
const GROUP_SIZE = 4;

type Group = readonly string[];

function createGroup(): Group {
  return createIds(GROUP_SIZE, false);
}

function createIds(count: number, areShort: boolean): string[] {
  const ids: string[] = [];
  while (ids.length < count) {
    const id = createRequestId();
    if (hasShortText(id) === areShort) ids.push(id);
  }
  return ids;
}

class Trainer {
  readonly results = new Map<string, ReceivedResult[]>();
  private carried: readonly Group[] = [];
  private steps = 0;

  constructor(
    private readonly client: TestClient,
    private readonly record: (text: string) => void,
  ) {}

  /** Runs one step: submits its groups, reads until all are complete or the time
   * budget is over, and ends the job. Incomplete groups come again in the next
   * step, as half of its groups at most. */
  async runStep(budgetMs: number): Promise<void> {
    const fresh = Array.from(
      {length: GROUPS - this.carried.length},
      createGroup,
    );
    const groups = [...this.carried, ...fresh];
    const jobId = createRequestId();
    const endsAtMs = performance.now() + budgetMs;
    const ids = groups.flat();
    while ((await this.client.submit(jobId, ids, 1, GROUPS)) !== 202) {
      await waitFor(100);
    }
    const name = `step ${(this.steps += 1)}, job ${jobId}`;
    this.record(`${name}: ${this.carried.length} groups come again`);
    const listed: ReceivedResult[] = [];
    this.results.set(jobId, listed);
    while (performance.now() < endsAtMs && listed.length < ids.length) {
      const page = await this.client.read(jobId, listed.length);
      listed.push(...(page?.results ?? []));
    }
    while ((await this.client.end(jobId)) !== 200) await waitFor(100);
    const done = new Set(listed.map(({id}) => id));
    this.carried = groups
      .filter(group => !group.every(id => done.has(id)))
      .slice(-GROUPS / 2);
    this.record(`${name}: ended with ${listed.length} results`);
  }
}

async function run(context: CaseContext): Promise<string[]> {
  const {deployment, record, trouble} = context;
  for (const model of deployment.models) {
    model.chooseFault = () => streamLongText;
  }
  const port = getPeerPort('agent');
  const proxies: RetransmittingProxy[] = [];
  for (const vm of deployment.listVms('agent')) {
    vm.peerProxy.stop();
    const host = vm.host.replace(/\.3\.(\d+)$/, '.103.$1');
    const target = {host: vm.host, port};
    const onLate = (text: string) =>
      record(`held bytes reach ${vm.name}: ${text}`);
    proxies.push(await RetransmittingProxy.start({host, port}, target, onLate));
  }
  const client = createRotatingClient(deployment);
  const warmUp = createRequestId();
  await waitUntil('a first job is accepted', async () => {
    return (await client.submit(warmUp, [createRequestId()], 1, 1)) === 202;
  });
  await waitUntil('a first job completes', async () => {
    const page = await client.read(warmUp, 0);
    return page?.results.length === 1;
  });
  const cutAgents = async (pair: number) => {
    const first = (pair * AGENTS_CUT) % proxies.length;
    const cut = proxies.slice(first, first + AGENTS_CUT);
    for (const proxy of cut) proxy.cut();
    record(`agents ${first + 1} and ${first + 2} are cut off`);
    await waitFor(CUT_MS);
    for (const proxy of cut) proxy.heal();
    record('they are back');
  };
  let isOver = false;
  let isPaused = false;
  const evaluate = async () => {
    while (!isOver) {
      if (isPaused) {
        await waitFor(100);
        continue;
      }
      const jobId = createRequestId();
      const ids = createIds(EVALUATED_ITEMS, true);
      await client.submit(jobId, ids, 1, 1);
      let listed = 0;
      while (!isOver && listed < ids.length) {
        const page = await client.read(jobId, listed);
        listed += page?.results.length ?? 0;
      }
      await client.end(jobId);
    }
  };
  void evaluate();
  const trainer = new Trainer(client, record);
  await trainer.runStep(SECOND_BUDGET_MS);
  for (let pair = 0; pair < PAIRS; pair++) {
    isPaused = true;
    await waitFor(TRAINING_MS - CUT_BEFORE_MS);
    if (trouble) void cutAgents(pair);
    await waitFor(CUT_BEFORE_MS);
    await trainer.runStep(FIRST_BUDGET_MS);
    await waitFor(TRAINING_MS);
    isPaused = false;
    await trainer.runStep(SECOND_BUDGET_MS);
  }
  isOver = true;
  const faults: string[] = [];
  let count = 0;
  for (const [jobId, results] of trainer.results) {
    for (const {id, state, text} of results) {
      count += 1;
      const expected = createLongText(id);
      if (state !== 'completed' || text === expected.join('\n')) continue;
      const events = text.split('\n').map(line => line.split('/')[1]);
      faults.push(
        `job ${jobId}: the text of item ${id}, whose events are 1 to ${expected.length}, holds events ${events.join(' ')}`,
      );
    }
  }
  record(`${count} results, ${faults.length} of them with wrong texts`);
  client.close();
  for (const proxy of proxies) proxy.stop();
  return faults;
}

void runCase({
  number: 6,
  size: {entries: 2, coordinators: 2, agents: 12, plainServices: 1},
  run,
});
