/**
 * A step whose home entry is killed between answer and acknowledgement, while
 * the platform is down throughout: the trainer repeats its pull with the same
 * cursor through the other entries.
 */
import {StepDescription, findOwner, formatStepName} from '@sassafrasspan/core';
import {ReceiverOptions, StepReceiver, TestTrainer} from './clients';
import {DEMO_PLAN} from './demo_plan';
import {waitUntil} from './node_status';
import {StartedNode, TestSystem} from './system';

const TRAINER = 'briefs';
const BATCH = 5;
const STEP: StepDescription = {
  prompts: [0, 1, 2, 3].map(index => ({
    prompt: `Draft the briefing for gala ${index}`,
    maxTokens: 40,
  })),
  groupSize: 8,
  scoring: 'score',
  stalenessBound: 1,
  temperature: 1,
};
const TOTAL = STEP.prompts.length * STEP.groupSize;

let system: TestSystem;

beforeAll(async () => {
  const entries = ['entry-a', 'entry-b', 'entry-c'].map((name, index) => ({
    name,
    failureDomain: DEMO_PLAN.endpoints[index].failureDomain,
  }));
  system = await TestSystem.create({...DEMO_PLAN, entries});
});

afterAll(async () => {
  await system.close();
});

/** Names of the step's runs that the engines have ended as whole. */
async function listCompletedRuns(step: string): Promise<string[]> {
  const names = ['lm-1', 'lm-2', 'lm-3', 'lm-4'];
  const truths = await Promise.all(
    names.map(async name => {
      const url = `${system.getEndpoint(name).url}/admin/truth`;
      return (await (await fetch(url)).json()) as {
        readonly executions: ReadonlyArray<{
          readonly requestId: string;
          readonly ended: string;
        }>;
      };
    }),
  );
  return truths
    .flatMap(truth => truth.executions)
    .filter(run => run.ended === 'whole')
    .map(run => run.requestId)
    .filter(id => id.startsWith(`step/${TRAINER}/${step}/`));
}

/** A slot may have two whole runs, when a second copy lost narrowly. */
function countSlots(runs: readonly string[]): number {
  return new Set(runs.map(run => run.split('/')[3])).size;
}

/** Entries that are alive, the home of the step first. */
function rankEntries(step: string, alive: StartedNode[]): StartedNode[] {
  const key = formatStepName(TRAINER, step);
  const home = findOwner(
    key,
    alive.map(entry => entry.name),
  );
  return [
    ...alive.filter(entry => entry.name === home),
    ...alive.filter(entry => entry.name !== home),
  ];
}

/** Runs a step over the death of its home; returns what was received. */
async function receiveStep(
  step: string,
  alive: StartedNode[],
  options: ReceiverOptions,
): Promise<StepReceiver> {
  const trainer = TestTrainer.create('kyklos', TRAINER);
  const receiver = StepReceiver.create(options);
  const [home, ...others] = rankEntries(step, alive);
  await trainer.putStep(others[0].callersUrl, step, STEP);
  await waitUntil('all samples are generated', async () => {
    // Entries that still count on the dead home work on while they are pulled.
    if (options.keepsCursor === false) {
      await trainer.pullOnce(others[0].callersUrl, step, '', BATCH);
    }
    return countSlots(await listCompletedRuns(step)) === TOTAL;
  });
  const pull = async (entry: StartedNode) => {
    const {cursor} = receiver;
    return trainer.pullOnce(entry.callersUrl, step, cursor, BATCH);
  };
  for (const entry of [home, others[0]]) {
    const reply = await pull(entry);
    if (reply !== undefined) receiver.receiveReply(reply, trainer.version);
  }
  await waitUntil('an answer that gets lost', async () => {
    return (await pull(home))?.samples.length === BATCH;
  });
  await home.process.kill();
  for (let turn = 0; !isDone(receiver); turn++) {
    const reply = await pull(others[turn % others.length]);
    if (reply !== undefined) receiver.receiveReply(reply, trainer.version);
  }
  return receiver;
}

/** A trainer without a cursor would go on for ever. */
function isDone(receiver: StepReceiver): boolean {
  return receiver.isComplete || receiver.samples.length > 2 * TOTAL;
}

test('each slot is received once, and nothing whole is made again', async () => {
  await system.setFaults(system.platform, {down: true});
  const alive = [...system.entries.values()];
  const receiver = await receiveStep('step-1', alive, {stalenessBound: 1});
  const runs = await listCompletedRuns('step-1');
  expect({
    slots: receiver.countSlots(),
    samples: receiver.samples.length,
    duplicated: receiver.duplicated,
    homes: new Set(runs.map(run => run.split('/')[5])).size,
  }).toEqual({slots: TOTAL, samples: TOTAL, duplicated: 0, homes: 1});
});

test('control: a trainer that leaves its cursor to the entries', async () => {
  const [dead] = rankEntries('step-1', [...system.entries.values()]);
  const alive = [...system.entries.values()].filter(item => item !== dead);
  const receiver = await receiveStep('step-2', alive, {
    stalenessBound: 1,
    keepsCursor: false,
  });
  expect(receiver.duplicated).toBeGreaterThan(0);
});
