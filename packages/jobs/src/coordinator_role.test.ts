/** Tests what a coordinator answers that is replaced meanwhile, with two nodes and a
 * store in memory. The nodes do not hear of each other. */
import {
  RouteBurnTracker,
  ServiceError,
  createRandomSource,
} from '@sassafrasspan/core';
import {createTestJob} from '@sassafrasspan/core/testing';
import {ClusterWatch, PeerClient} from '@sassafrasspan/peers';
import type {FleetSource, ObjectCollections} from '@sassafrasspan/platform';
import {Metrics, SILENT_LOG, SYSTEM_CLOCK} from '@sassafrasspan/runtime';
import type {Result} from 'neverthrow';
import {CoordinatorRole} from './coordinator_role';
import {JOB_PATHS} from './job_messages';
import {JobStore} from './job_store';
import {MemoryCollections} from './testing/memory_collections';

const JOB = createTestJob({id: 'j', groups: 1, size: 2, desiredGroups: 1});
const MAX_OBJECT_BYTES = 1_000_000;
const IDLE_WATCH = {
  run: async () => undefined,
  stop: () => undefined,
  getLastAnswerAtMs: () => 0,
};

let store: MemoryCollections;
let nodes: TestNode[] = [];

beforeEach(() => {
  store = MemoryCollections.create();
});

afterEach(async () => {
  store.isDown = false;
  for (const node of nodes) await node.role.stop();
  nodes = [];
});

/** A node that can be the coordinator. */
class TestNode {
  readonly role: CoordinatorRole;
  private readonly cluster: ClusterWatch;

  private constructor(name: string) {
    const collections = store as unknown as ObjectCollections;
    const shared = {
      store: collections,
      clock: SYSTEM_CLOCK,
      random: createRandomSource(1),
      log: SILENT_LOG,
    };
    this.cluster = ClusterWatch.create({...shared, onChanged: () => undefined});
    this.role = CoordinatorRole.create({
      ...shared,
      ...{name, incarnation: name, address: '127.0.0.1:1', failureDomain: 'a'},
      cluster: this.cluster,
      jobStore: JobStore.create(collections, MAX_OBJECT_BYTES),
      peers: PeerClient.create(),
      source: {
        createRouteWatch: () => IDLE_WATCH,
        createEndpointWatch: () => IDLE_WATCH,
        createVersionWatch: () => IDLE_WATCH,
        createRetirementWatch: () => IDLE_WATCH,
        reportDrained: async () => true,
      } as unknown as FleetSource,
      caller: {} as never,
      scoringFormat: {} as never,
      findRetentionMs: () => 60_000,
      metrics: Metrics.create(),
      burn: RouteBurnTracker.create(),
    });
    nodes.push(this);
  }

  static create(name: string): TestNode {
    return new TestNode(name);
  }

  call(path: string, body: unknown): Promise<Result<unknown, ServiceError>> {
    const {signal} = new AbortController();
    return this.role.createRoutes()[path](body, {signal});
  }

  end() {
    return this.call(JOB_PATHS.end, {jobId: JOB.id});
  }

  read(after: number, waitMs: number) {
    return this.call(JOB_PATHS.read, {jobId: JOB.id, after, waitMs});
  }

  /** Claims the role and loads the stored jobs. */
  async takeOver(): Promise<void> {
    await this.cluster.readCoordinator();
    await this.call(JOB_PATHS.takeOver, {});
    const isServing = async () => {
      const reply = await this.read(0, 0);
      return reply.isOk() || reply.error.kind !== 'not-home';
    };
    while (!(await isServing())) await new Promise(setImmediate);
  }
}

/** Returns the kind of error of an answer; `ok` if there is none. */
function getKind(answer: Result<unknown, ServiceError>): string {
  return answer.isOk() ? 'ok' : answer.error.kind;
}

/** Starts two nodes, of which the first is the coordinator of a job. */
async function startJob(): Promise<readonly [TestNode, TestNode]> {
  const first = TestNode.create('first');
  await first.takeOver();
  const submitted = await first.call(JOB_PATHS.submit, {job: JOB});
  expect(getKind(submitted)).toBe('ok');
  return [first, TestNode.create('second')];
}

// Guards against a check of the epoch that refuses the end of a sound coordinator.
test('the end of a job is not acknowledged by its coordinator', async () => {
  const [first] = await startJob();
  expect(getKind(await first.end())).toBe('ok');
  expect(getKind(await first.end())).toBe('ok');
});

// Guards against an end that is acknowledged and then unknown to the successor.
test('a coordinator that stood still acknowledges the end of a job that its successor runs', async () => {
  const [first, second] = await startJob();
  await second.takeOver();
  expect(getKind(await first.end())).toBe('not-home');
  expect(getKind(await second.end())).toBe('ok');
});

// Guards against a check of the epoch before the write instead of after it.
test('an end is acknowledged although a successor read the job while it was written', async () => {
  const [first, second] = await startJob();
  let isHeld = true;
  store.beforeStatus = async () => {
    if (isHeld) await second.takeOver();
    isHeld = false;
  };
  expect(getKind(await first.end())).toBe('not-home');
});

// Guards against a promise of a node that gave up the role while it wrote.
test('an end is acknowledged by a node that hands over meanwhile', async () => {
  const [first, second] = await startJob();
  let isHeld = true;
  store.beforeStatus = async () => {
    if (isHeld) await Promise.all([first.role.stop(), second.takeOver()]);
    isHeld = false;
  };
  expect(getKind(await first.end())).toBe('not-home');
});

// Guards against a read of the epoch that failed and counts as a confirmation.
test('an end is acknowledged by a node that cannot read whether it was replaced', async () => {
  const [first] = await startJob();
  const {readObject} = store;
  store.readObject = async () => {
    store.isDown = true;
    return readObject.call(store, '', '');
  };
  expect(getKind(await first.end())).toBe('platform-down');
  store.readObject = readObject;
  store.isDown = false;
  expect(getKind(await first.end())).toBe('ok');
});

// Guards against an answer that was begun in the role and sent after it was lost.
test('a read that waits at a node that hands over is answered with its old results', async () => {
  const [first] = await startJob();
  const read = first.read(0, 1_000);
  await new Promise(setImmediate);
  await first.role.stop();
  expect(getKind(await read)).toBe('not-home');
});
