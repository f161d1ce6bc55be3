/**
 * A trainer receives no sample over its staleness bound, in separate processes:
 * versions are published while samples wait for delivery, during an open pull
 * and before a delayed reply arrives, and while the step's owner is paused and
 * then killed.
 */
import {
  PullReply,
  StepDescription,
  findOwner,
  formatStepName,
} from '@sassafrasspan/core';
import {StepReceiver, TestTrainer} from './clients';
import {DEMO_PLAN} from './demo_plan';
import {fetchStatus, waitUntil} from './node_status';
import {StartedNode, TestSystem} from './system';

/** Samples per pull. */
const BATCH = 4;
const ENGINES = ['lm-1', 'lm-2', 'lm-3', 'lm-4'];
/** Staleness bound of the rules; it is stricter than the step's own. */
const RULE_BOUND = 1;
const STEP: StepDescription = {
  prompts: [0, 1, 2].map(index => ({
    prompt: `Draft the briefing for gala ${index}`,
    maxTokens: 40,
  })),
  groupSize: 4,
  scoring: 'score',
  stalenessBound: 5,
  temperature: 1,
};
const TOTAL = STEP.prompts.length * STEP.groupSize;

let system: TestSystem;
let entries: StartedNode[];
const trainer = TestTrainer.create('kyklos', 'briefs');

beforeAll(async () => {
  system = await TestSystem.create(DEMO_PLAN);
  entries = [...system.entries.values()];
  await publishVersions(entries[0], 1);
  await waitForSwap();
});

afterAll(() => system.close());

async function publishVersions(entry: StartedNode, count: number) {
  for (let i = 0; i < count; i++) {
    await trainer.publishVersion(entry.callersUrl, trainer.version + 1);
  }
}

async function waitForSwap(): Promise<void> {
  await waitUntil(`version ${trainer.version} everywhere`, async () => {
    const {agents} = await fetchStatus(entries[1]);
    return agents
      .flatMap(agent => agent.report.endpoints)
      .filter(endpoint => endpoint.name.startsWith('lm-'))
      .every(endpoint => endpoint.weightVersion === trainer.version);
  });
}

async function setStalled(stalled: boolean): Promise<void> {
  for (const name of ENGINES) {
    await system.setFaults(system.getEndpoint(name), {stalled});
  }
}

/** Returns the owner of a step, then the other entry. */
function rankEntries(step: string): StartedNode[] {
  const names = entries.map(entry => entry.name);
  const owner = findOwner(formatStepName('briefs', step), names);
  return entries[0].name === owner ? entries : [entries[1], entries[0]];
}

/** Pulls without a cursor until a reply has a full batch. */
async function pullBatch(entry: StartedNode, step: string): Promise<PullReply> {
  let reply: PullReply | undefined;
  await waitUntil('a batch of samples', async () => {
    reply = await trainer.pullOnce(entry.callersUrl, step, '', BATCH);
    return reply?.samples.length === BATCH;
  });
  if (reply === undefined) throw new Error('no batch of samples');
  return reply;
}

test('a pull that is open during publications gets no stale sample', async () => {
  const [owner, other] = rankEntries('step-1');
  const receiver = StepReceiver.create({
    stalenessBound: RULE_BOUND,
    checksVersion: false,
  });
  await setStalled(true);
  await trainer.putStep(other.callersUrl, 'step-1', STEP);
  const open = trainer.pullOnce(owner.callersUrl, 'step-1', '');
  await publishVersions(other, 2);
  await setStalled(false);
  const reply = await open;
  if (reply !== undefined) receiver.receiveReply(reply, trainer.version);
  while (!receiver.isComplete) {
    const {cursor} = receiver;
    const next = await trainer.pullOnce(other.callersUrl, 'step-1', cursor);
    if (next !== undefined) receiver.receiveReply(next, trainer.version);
  }
  const {stale, duplicated} = receiver;
  const slots = receiver.countSlots();
  expect({slots, stale, duplicated}).toEqual({
    slots: TOTAL,
    stale: 0,
    duplicated: 0,
  });
});

test('stale samples are dropped and delayed replies ignored', async () => {
  const [owner, other] = rankEntries('step-2');
  await waitForSwap();
  await trainer.putStep(owner.callersUrl, 'step-2', STEP);
  const delayed = await pullBatch(owner, 'step-2');
  owner.process.sendSignal('SIGSTOP');
  await publishVersions(other, 2);
  const receivers = [true, false].map(checksVersion =>
    StepReceiver.create({stalenessBound: RULE_BOUND, checksVersion}),
  );
  for (const receiver of receivers) {
    receiver.receiveReply(delayed, trainer.version);
  }
  const [receiver, control] = receivers;
  expect(control.stale).toBe(BATCH);
  await owner.process.kill();
  let dropped = 0;
  while (!receiver.isComplete) {
    const {cursor} = receiver;
    const next = await trainer.pullOnce(other.callersUrl, 'step-2', cursor);
    if (next === undefined) continue;
    receiver.receiveReply(next, trainer.version);
    dropped = Math.max(dropped, next.droppedStale);
  }
  const {stale, duplicated} = receiver;
  const slots = receiver.countSlots();
  expect({slots, stale, duplicated, hasDropped: dropped > 0}).toEqual({
    slots: TOTAL,
    stale: 0,
    duplicated: 0,
    hasDropped: true,
  });
});
