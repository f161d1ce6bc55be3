/**
 * Samples are labeled with the weight versions that produced them, in separate
 * processes: a version is published during generation, a swap fails partway, an
 * agent is killed during a swap, and a paused agent with an old fencing number
 * resumes next to an engine that ignores fencing numbers.
 */
import {Sample, formatStepIdentity, parseRunSlot} from '@sassafrasspan/core';
import {TestTrainer} from './clients';
import {waitUntil} from './node_status';
import {
  EndpointPlan,
  StartedStandin,
  SystemPlan,
  TestSystem,
  hashCustomerKey,
} from './system';

const ENGINES: EndpointPlan[] = [
  {
    name: 'lm-1',
    service: 'briefing-lm',
    kind: 'engine',
    failureDomain: 'attica-a',
    options: {tokenIntervalMs: 20},
  },
  {
    name: 'lm-2',
    service: 'briefing-lm',
    kind: 'engine',
    failureDomain: 'attica-b',
    options: {tokenIntervalMs: 20, fencing: 'ignores'},
  },
];

const KEY = hashCustomerKey('kyklos');
const PLAN: SystemPlan = {
  entries: [{name: 'entry-a', failureDomain: 'attica-a'}],
  endpoints: ENGINES,
  rules: `rules:
  - {id: key, kind: api-key, customer: kyklos, sha256: ${KEY}}  # tests
  - {id: pool, kind: pool, service: briefing-lm, type: engine, endpoints: [lm-1, lm-2]}  # tests
  - {id: briefs, kind: trainer, trainer: briefs, customer: kyklos, service: briefing-lm, idleWeight: 0.5}  # tests
  - {id: fresh, kind: staleness, trainer: briefs, maxVersions: 9}  # tests
`,
};

const STEP = {
  prompts: [1, 2, 3, 4].map(gala => ({
    prompt: `Draft the briefing for gala ${gala}`,
    maxTokens: 300,
  })),
  groupSize: 6,
  scoring: 'score',
  stalenessBound: 9,
  temperature: 1,
};

const IDENTITY = formatStepIdentity({
  trainer: 'briefs',
  step: 'step-1',
  description: STEP,
});

/** The part of an engine's /admin/truth page that the test reads. */
interface EngineTruth {
  readonly version: number | null;
  readonly executions: ReadonlyArray<{
    readonly requestId: string;
    readonly prompt: string;
    readonly versions: readonly number[];
    readonly ended: string;
  }>;
}

async function fetchTruth(engine: StartedStandin): Promise<EngineTruth> {
  const reply = await fetch(`${engine.url}/admin/truth`);
  return (await reply.json()) as EngineTruth;
}

/** Returns the version with which a sample labels each of its tokens. */
function listLabeledVersions(sample: Sample): number[] {
  const tokens = sample.text.match(/\S+ /g) ?? [];
  const versions: number[] = [];
  let offset = 0;
  for (const token of tokens) {
    const segment = sample.segments.find(
      part => part.from <= offset && offset < part.to,
    );
    versions.push(segment?.version ?? Number.NaN);
    offset += token.length;
  }
  return versions;
}

/** Returns the slots of samples whose labels match no execution of the slot. */
function listMislabeled(
  samples: readonly Sample[],
  truths: readonly EngineTruth[],
): number[] {
  const executions = truths.flatMap(truth => truth.executions);
  const isCorrect = (sample: Sample) =>
    executions.some(
      run =>
        run.ended === 'whole' &&
        parseRunSlot(IDENTITY, run.requestId) === sample.slot &&
        run.versions.join() === listLabeledVersions(sample).join(),
    );
  return samples
    .filter(sample => !isCorrect(sample))
    .map(sample => sample.slot);
}

/** Labels the complete sample with its last version. Negative control. */
function useLastVersion(sample: Sample): Sample {
  const last = sample.segments[sample.segments.length - 1];
  return {...sample, segments: [{...last, from: 0}]};
}

let system: TestSystem;
let trainer: TestTrainer;
let url: string;

beforeAll(async () => {
  system = await TestSystem.create(PLAN);
  url = system.getEntry('entry-a').callersUrl;
  trainer = TestTrainer.create('kyklos', 'briefs');
  await trainer.publishVersion(url, 1);
  await waitForVersion(1);
});

afterAll(() => system.close());

async function waitForVersion(version: number): Promise<void> {
  for (const engine of ENGINES) {
    await waitUntil(`version ${version} at ${engine.name}`, async () => {
      const truth = await fetchTruth(system.getEndpoint(engine.name));
      return truth.version === version;
    });
  }
}

test('labels are correct when swaps fail and agents are killed or paused', async () => {
  await trainer.putStep(url, 'step-1', STEP);
  const pulled = trainer.pullStep([url], 'step-1', STEP.stalenessBound);
  for (const engine of ENGINES) {
    await waitUntil(`${engine.name} generates`, async () => {
      const truth = await fetchTruth(system.getEndpoint(engine.name));
      return truth.executions.some(run => run.versions.length > 2);
    });
  }
  await system.setFaults(system.getEndpoint('lm-1'), {failNextSwap: true});
  await trainer.publishVersion(url, 2);
  await waitForVersion(2);
  const paused = system.getAgent('agent-lm-2');
  paused.process.sendSignal('SIGSTOP');
  await trainer.publishVersion(url, 3);
  await system.getAgent('agent-lm-1').process.kill();
  await system.startAgent(ENGINES[0]);
  // A second agent takes over lm-2 and obtains a newer fencing number.
  system.agents.delete('agent-lm-2');
  await system.startAgent(ENGINES[1]);
  await system.publishVms([]);
  await waitForVersion(3);
  paused.process.sendSignal('SIGCONT');
  const result = await pulled;
  const truths = await Promise.all(
    ENGINES.map(engine => fetchTruth(system.getEndpoint(engine.name))),
  );
  const mixed = result.samples.filter(sample => sample.segments.length > 1);
  const naive = result.samples.map(useLastVersion);
  await paused.process.kill();
  expect({
    samples: result.samples.length,
    duplicated: result.duplicated,
    mislabeled: listMislabeled(result.samples, truths),
    hasMixedVersions: mixed.length > 0,
    controlReportsMislabeled: listMislabeled(naive, truths).length > 0,
    finalVersions: truths.map(truth => truth.version),
  }).toMatchSnapshot();
});
