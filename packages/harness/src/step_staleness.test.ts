/**
 * No sample over its trainer's staleness bound, over separate processes:
 * versions published while samples wait, under an open pull and behind a
 * delayed reply, and a home that is paused over them and then killed.
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

const BATCH = 4;
const ENGINES = ['lm-1', 'lm-2', 'lm-3', 'lm-4'];
/** The bound of the rules, stricter than the step's. */
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

/** The home of a step and another entry. */
function rankEntries(step: string): StartedNode[] {
  const names = entries.map(entry => entry.name);
  const home = findOwner(formatStepName('briefs', step), names);
  return entries[0].name === home ? entries : [entries[1], entries[0]];
}

/** Pulls until a batch is there, without keeping the cursor. */
async function pullBatch(entry: StartedNode, step: string): Promise<PullReply> {
  let found: PullReply | undefined;
  await waitUntil('a batch of samples', async () => {
    found = await trainer.pullOnce(entry.callersUrl, step, '', BATCH);
    return found?.samples.length === BATCH;
  });
  if (found === undefined) throw new Error('no batch');
  return found;
}

test('a pull that spans publications gets nothing of the past', async () => {
  const [home, other] = rankEntries('step-1');
  const receiver = StepReceiver.create({
    stalenessBound: RULE_BOUND,
    checksVersion: false,
  });
  await setStalled(true);
  await trainer.putStep(other.callersUrl, 'step-1', STEP);
  const open = trainer.pullOnce(home.callersUrl, 'step-1', '');
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

test('samples and replies that a publication overtakes are left', async () => {
  const [home, other] = rankEntries('step-2');
  await waitForSwap();
  await trainer.putStep(home.callersUrl, 'step-2', STEP);
  const delayed = await pullBatch(home, 'step-2');
  home.process.sendSignal('SIGSTOP');
  await publishVersions(other, 2);
  const receivers = [true, false].map(checksVersion =>
    StepReceiver.create({stalenessBound: RULE_BOUND, checksVersion}),
  );
  for (const receiver of receivers) {
    receiver.receiveReply(delayed, trainer.version);
  }
  const [receiver, control] = receivers;
  expect(control.stale).toBe(BATCH);
  await home.process.kill();
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
