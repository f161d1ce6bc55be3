/**
 * New weights reach every engine of a pool with few fetches from the
 * rate-limited weight store: agents with a disk fetch them, the others copy
 * them from these agents.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {TestTrainer} from './clients';
import {waitUntil} from './node_status';
import {EndpointPlan, TestSystem, hashCustomerKey} from './system';

const ENGINES = ['lm-1', 'lm-2', 'lm-3', 'lm-4'];
const DISKS = ['lm-1', 'lm-3'];
const KEY = hashCustomerKey('kyklos');
const RULES = `rules:
  - {id: key, kind: api-key, customer: kyklos, sha256: ${KEY}}  # tests
  - {id: pool, kind: pool, service: lm, type: engine, endpoints: [${ENGINES.join()}]}  # tests
  - {id: briefs, kind: trainer, trainer: briefs, customer: kyklos, service: lm, idleWeight: 0.5}  # tests
`;

const folder = mkdtempSync(path.join(tmpdir(), 'sassafrasspan-weights-'));
afterAll(() => rmSync(folder, {recursive: true}));

function createEndpoint(name: string, disks: readonly string[]): EndpointPlan {
  const dataFolder = path.join(folder, name);
  const weightHolders = disks.map(disk => ({
    name: `agent-${disk}`,
    failureDomain: 'attica-a',
  }));
  return {
    name,
    service: 'lm',
    kind: 'engine',
    failureDomain: 'attica-a',
    agent: disks.includes(name) ? {dataFolder, weightHolders} : {weightHolders},
  };
}

/** Publishes a version; returns the number of fetches from the store. */
async function countFetches(disks: readonly string[]): Promise<number> {
  const system = await TestSystem.create({
    entries: [{name: 'entry-a', failureDomain: 'attica-a'}],
    endpoints: ENGINES.map(name => createEndpoint(name, disks)),
    rules: RULES,
  });
  try {
    const trainer = TestTrainer.create('kyklos', 'briefs');
    await trainer.publishVersion(system.getEntry('entry-a').callersUrl, 1);
    for (const name of ENGINES) {
      const {url} = system.getEndpoint(name);
      await waitUntil(`version 1 at ${name}`, async () => {
        const truth = await fetch(`${url}/admin/truth`);
        const {version} = (await truth.json()) as {readonly version: number};
        return version === 1;
      });
    }
    const truth = await fetch(`${system.weights.url}/admin/truth`);
    return ((await truth.json()) as {readonly fetches: number}).fetches;
  } finally {
    await system.close();
  }
}

test('only the two agents with disks fetch weights for four engines', async () => {
  expect(await countFetches(DISKS)).toBe(DISKS.length);
});

test('control: without disks, weights are fetched for every engine', async () => {
  expect(await countFetches([])).toBe(ENGINES.length);
});
