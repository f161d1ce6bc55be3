/**
 * Delivery of a step whose owner is killed after it has sent an answer that the
 * trainer didn't acknowledge, with the platform down throughout. The trainer
 * repeats its pull through the other entries with the same cursor.
 */
import {StepDescription, findOwner, formatStepName} from '@sassafrasspan/core';
import {ReceiverOptions, StepReceiver, TestTrainer} from './clients';
import {DEMO_PLAN} from './demo_plan';
import {waitUntil} from './node_status';
import {StartedNode, TestSystem} from './system';

const TRAINER = 'briefs';
/** Samples per pull. */
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

/** Returns the ids of the step's runs that the engines have completed. */
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

/**
 * Counts distinct slots: a slot has two completed runs when a hedged copy
 * finished too, shortly after the first.
 */
function countSlots(runs: readonly string[]): number {
  return new Set(runs.map(run => run.split('/')[3])).size;
}

/** Returns the running entries, the owner of the step first. */
function rankEntries(step: string, running: StartedNode[]): StartedNode[] {
  const key = formatStepName(TRAINER, step);
  const owner = findOwner(
    key,
    running.map(entry => entry.name),
  );
  return [
    ...running.filter(entry => entry.name === owner),
    ...running.filter(entry => entry.name !== owner),
  ];
}

/** Runs a step whose owner is killed; returns the samples received. */
async function receiveStep(
  step: string,
  running: StartedNode[],
  options: ReceiverOptions,
): Promise<StepReceiver> {
  const trainer = TestTrainer.create('kyklos', TRAINER);
  const receiver = StepReceiver.create(options);
  const [owner, ...others] = rankEntries(step, running);
  await trainer.putStep(others[0].callersUrl, step, STEP);
  await waitUntil('all samples are generated', async () => {
    // Entries that still regard the killed entry as the owner continue to
    // generate samples while they are pulled.
    if (options.keepsCursor === false) {
      await trainer.pullOnce(others[0].callersUrl, step, '', BATCH);
    }
    return countSlots(await listCompletedRuns(step)) === TOTAL;
  });
  const pull = async (entry: StartedNode) => {
    const {cursor} = receiver;
    return trainer.pullOnce(entry.callersUrl, step, cursor, BATCH);
  };
  for (const entry of [owner, others[0]]) {
    const reply = await pull(entry);
    if (reply !== undefined) receiver.receiveReply(reply, trainer.version);
  }
  await waitUntil('an answer that the trainer does not use', async () => {
    return (await pull(owner))?.samples.length === BATCH;
  });
  await owner.process.kill();
  for (let turn = 0; !isDone(receiver); turn++) {
    const reply = await pull(others[turn % others.length]);
    if (reply !== undefined) receiver.receiveReply(reply, trainer.version);
  }
  return receiver;
}

/** Ends after two steps' samples: without a cursor a step never completes. */
function isDone(receiver: StepReceiver): boolean {
  return receiver.isComplete || receiver.samples.length > 2 * TOTAL;
}

test('each slot is received once, and no completed sample is regenerated', async () => {
  await system.setFaults(system.platform, {down: true});
  const running = [...system.entries.values()];
  const receiver = await receiveStep('step-1', running, {stalenessBound: 1});
  const runs = await listCompletedRuns('step-1');
  expect({
    slots: receiver.countSlots(),
    samples: receiver.samples.length,
    duplicated: receiver.duplicated,
    owners: new Set(runs.map(run => run.split('/')[5])).size,
  }).toEqual({slots: TOTAL, samples: TOTAL, duplicated: 0, owners: 1});
});

test('control: a trainer that sends no cursor receives duplicates', async () => {
  const [killed] = rankEntries('step-1', [...system.entries.values()]);
  const running = [...system.entries.values()].filter(item => item !== killed);
  const receiver = await receiveStep('step-2', running, {
    stalenessBound: 1,
    keepsCursor: false,
  });
  expect(receiver.duplicated).toBeGreaterThan(0);
});
