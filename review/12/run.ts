/**
 * The day `unlucky` of letter 5: three bursts of five crashes, each of two of seven
 * servers for 0.4 s. Some sound items run at several of the servers that crash.
 * Afterwards all is calm and the servers have room, but such an item is never placed
 * again, in whatever step the trainer asks for it.
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

/** Items last 19 events of 350 ms, and 28 run at once. */
const SLOWDOWN = 14;
const GROUP_SIZE = 4;
const GROUPS = 6;
/** Groups that the trainer waits for: 90%. */
const WANTED_GROUPS = 5;
/** Time that the trainer gives a step, and the time between two steps, in ms. */
const STEP_MS = 12_000;
const TRAIN_MS = 500;
const FIRST_STEP_AT_MS = 3_000;
const LAST_STEP_AT_MS = 42_000;
/** The crashes of letter 5, in ms. */
const BURSTS_AT_MS = [5_000, 11_000, 17_000];
const CRASHES = 5;
const CRASHED_SERVERS = 2;
const CRASH_MS = 400;
/** Time at no server that breaks the rule, in ms. */
const UNPLACED_MS = 5_000;
/** Time without a crash before a step that counts, in ms: items that only wait for
 * one another, as in review/9, are back by then. */
const CALM_MS = 8_000;
/** The seven servers have 4 slots each. */
const SLOTS = 28;

/** What the stand-in keeps to itself. */
interface RegisteringServer {
  options: object;
  register(state: 'ready'): void;
}

function isInUse(run: ExecutedRun, fromMs: number): boolean {
  if (run.end === 'running' || run.startedAtMs > fromMs) return true;
  return (run.endedAtMs ?? 0) > fromMs;
}

/** Time between two runs of an item from which on the later one is a trial, in ms. */
const TRIAL_GAP_MS = 3_500;

/** Returns the servers that run the items that were held back most often, and else
 * were interrupted most often. */
function chooseServers(
  models: readonly ModelServerStandin[],
): ModelServerStandin[] {
  const runs = models
    .flatMap(model => model.runs)
    .sort((a, b) => a.startedAtMs - b.startedAtMs);
  const weighItem = (id: string) => {
    const itemRuns = runs.filter(({itemId}) => itemId === id);
    const breaks = itemRuns.filter(({end}) => end === 'broken').length;
    const trials = itemRuns.filter(({startedAtMs}, n) => {
      const before = itemRuns[n - 1]?.startedAtMs ?? startedAtMs;
      return startedAtMs - before > TRIAL_GAP_MS;
    });
    return 10 ** breaks + 1e6 * trials.length;
  };
  const weighServer = (model: ModelServerStandin) =>
    model.runs
      .filter(({end}) => end === 'running')
      .reduce((sum, {itemId}) => sum + weighItem(itemId), 0);
  return [...models]
    .sort((a, b) => weighServer(b) - weighServer(a))
    .slice(0, CRASHED_SERVERS);
}

/** Gives all servers the same version of their software. */
function unifySoftware(models: readonly ModelServerStandin[]): void {
  for (const model of models as unknown as readonly RegisteringServer[]) {
    model.options = {...model.options, software: 'v1'};
    model.register('ready');
  }
}

async function playCrashes(
  models: readonly ModelServerStandin[],
  record: CaseRecord,
  startedAtMs: number,
): Promise<void> {
  for (const burstAtMs of BURSTS_AT_MS) {
    for (let n = 0; n < CRASHES; n++) {
      const atMs = startedAtMs + burstAtMs + n * CRASH_MS;
      await wait(Math.max(0, atMs - Date.now()));
      const chosen = chooseServers(models);
      for (const server of chosen) server.crashFor(CRASH_MS - 20);
      const names = chosen.map(server => models.indexOf(server) + 1);
      record.write(`servers ${names.join(' and ')} crash`);
    }
  }
}

function groupItems(itemIds: readonly string[]): string[][] {
  return Array.from({length: itemIds.length / GROUP_SIZE}, (_, n) =>
    itemIds.slice(n * GROUP_SIZE, (n + 1) * GROUP_SIZE),
  );
}

void runCase(
  12,
  {entries: 2, coordinators: 3, agents: 7, plainServices: 0},
  async (deployment, record) => {
    const {models} = deployment;
    unifySoftware(models);
    for (const model of models) model.slowdownFactor = SLOWDOWN;
    const [entry] = deployment.listVms('entry');
    const client = TestClient.create(() => deployment.getCallerAddress(entry));
    await waitFor('a coordinator', () => readCoordinator(deployment));
    await wait(2_500);
    const startedAtMs = Date.now();
    if (hasTrouble) void playCrashes(models, record, startedAtMs);
    const [lastBurstAtMs] = BURSTS_AT_MS.slice(-1);
    const calmFromMs = startedAtMs + lastBurstAtMs + CRASHES * CRASH_MS;
    await wait(FIRST_STEP_AT_MS);
    let carried: string[][] = [];
    let broken = 0;
    for (let step = 0; Date.now() < startedAtMs + LAST_STEP_AT_MS; step++) {
      const jobId = `b12b12b12b12b1${String(step).padStart(2, '0')}`;
      const fresh = createItemIds(
        `${String(step).padStart(2, '0')}de`,
        (GROUPS - carried.length) * GROUP_SIZE,
      );
      const groups = [...carried, ...groupItems(fresh)];
      await submitJob(client, record, jobId, groups.flat());
      const submittedAtMs = Date.now();
      const endsAtMs = submittedAtMs + STEP_MS;
      const listed = new Set<string>();
      const isComplete = (group: readonly string[]) =>
        group.every(id => listed.has(id));
      const isDone = () =>
        groups.filter(isComplete).length >= WANTED_GROUPS &&
        carried.every(isComplete);
      while (Date.now() < endsAtMs && !isDone()) {
        const page = await client.read(jobId, listed.size);
        for (const {id} of page?.results ?? []) listed.add(id);
        await wait(250);
      }
      const nowMs = Date.now();
      const runs = models.flatMap(model => model.runs);
      const fromMs = nowMs - UNPLACED_MS;
      const hasBegun = groups
        .flat()
        .some(id => runs.some(run => run.itemId === id));
      const unplaced = groups.flat().filter(id => {
        const itemRuns = runs.filter(({itemId}) => itemId === id);
        const isFinished = itemRuns.some(({end}) => end === 'whole');
        return !isFinished && !itemRuns.some(run => isInUse(run, fromMs));
      });
      const inUse = runs.filter(run => isInUse(run, fromMs)).length;
      const isCalm = submittedAtMs > calmFromMs + CALM_MS;
      const text = `step ${step} ends, done: ${isDone()}, ${listed.size} results`;
      record.write(
        `${text}, at no server for 5 s: ${unplaced.join(' ') || '-'}`,
      );
      const isBroken =
        !isDone() &&
        isCalm &&
        hasBegun &&
        unplaced.length > 0 &&
        inUse < SLOTS / 2;
      if (isBroken) broken += 1;
      record.write(`DELETE: ${await client.end(jobId)}, in use: ${inUse}`);
      carried = groups
        .filter(group => !isComplete(group))
        .slice(0, Math.floor(WANTED_GROUPS / 2));
      await wait(TRAIN_MS);
    }
    recordRuns(deployment, record);
    record.write(`steps that broke the rule: ${broken}`);
    client.close();
    return broken > 0;
  },
);
