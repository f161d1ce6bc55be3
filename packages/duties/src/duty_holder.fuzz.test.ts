/**
 * Several nodes and one duty. Processes are killed and frozen at any await, the
 * store's answers are lost or late and its writes take effect late, wall clocks
 * are set. The cloud must see, of what was written to it: no two VMs with one
 * token, no lower token after a higher one, and never VMs in the order A, B, A
 * within the lease.
 */
import {Clock, Scheduler, createError} from '@sassafrasspan/core';
import {readFuzzParameters} from '@sassafrasspan/core/testing';
import type {
  CollectionObject,
  ObjectCollections,
} from '@sassafrasspan/platform';
import {Metrics, SILENT_LOG} from '@sassafrasspan/runtime';
import fc from 'fast-check';
import {err, ok} from 'neverthrow';
import type {Permit} from './cloud_port';
import {DutyHolder} from './duty_holder';

const SEED = 20_261_204;
const RUNS = 150;
const NODES = 3;
const LEASE_MS = 3_000;
const DAY_MS = 60_000;
const STEP_MS = 100;
/** Time to open a connection to the cloud, in ms. */
const CONNECT_MS = 3;

const DAY = fc.record({
  /** Spans in which a node is frozen. */
  freezes: fc.array(
    fc.record({
      node: fc.nat({max: NODES - 1}),
      atMs: fc.nat({max: DAY_MS}),
      lengthMs: fc.integer({min: 1, max: 9_000}),
    }),
    {maxLength: 14},
  ),
  /** Times at which a process is killed, or stopped as planned. */
  ends: fc.array(
    fc.record({
      node: fc.nat({max: NODES - 1}),
      atMs: fc.nat({max: DAY_MS}),
      isPlanned: fc.boolean(),
    }),
    {maxLength: 12},
  ),
  /** Who wants to act, by seconds; more than one at a time is allowed. */
  wishes: fc.array(fc.nat({max: 7}), {minLength: 60, maxLength: 60}),
  /** Fates of store calls in turn: delay before and after the effect, and
   * whether the answer or the call is lost. */
  fates: fc.array(
    fc.record({
      beforeMs: fc.oneof(fc.constant(2), fc.nat({max: 2_500})),
      afterMs: fc.oneof(fc.constant(2), fc.nat({max: 1_500})),
      loss: fc.constantFrom('none', 'none', 'none', 'answer', 'call'),
    }),
    {minLength: 20, maxLength: 60},
  ),
  /** Lengths of the freezes right after a connection to the cloud is begun. */
  callFreezes: fc.array(
    fc.oneof(fc.constant(0), fc.constant(0), fc.nat({max: 9_000})),
    {minLength: 10, maxLength: 40},
  ),
  wallSteps: fc.array(fc.integer({min: -5_000, max: 5_000}), {
    minLength: NODES,
    maxLength: NODES,
  }),
});

type Day = typeof DAY extends fc.Arbitrary<infer T> ? T : never;

interface CloudCall {
  readonly atMs: number;
  readonly vm: number;
  readonly token: number;
}

/** Virtual time; tasks of a node wait while it is frozen or are dropped when its
 * process has ended. */
class World {
  nowMs = 0;
  private tasks: Array<{atMs: number; run: () => void}> = [];

  private readonly freezes: Array<Day['freezes'][number]>;
  private calls = 0;

  constructor(readonly day: Day) {
    this.freezes = [...day.freezes];
  }

  /** Opens a connection, during which the process may be frozen. */
  connect(node: Process, run: () => void): void {
    const {callFreezes} = this.day;
    const lengthMs = callFreezes[this.calls++ % callFreezes.length];
    const atMs = this.nowMs + 1;
    if (lengthMs > 0) this.freezes.push({node: node.vm, atMs, lengthMs});
    this.scheduleOn(node, this.nowMs + CONNECT_MS, run);
  }

  schedule(atMs: number, run: () => void): void {
    const index = this.tasks.findIndex(task => task.atMs > atMs);
    this.tasks.splice(index < 0 ? this.tasks.length : index, 0, {atMs, run});
  }

  /** Returns the time at which a node that is frozen at a time goes on. */
  findThaw(node: number, atMs: number): number {
    let thawAtMs = atMs;
    for (let i = 0; i <= this.freezes.length; i++) {
      for (const freeze of this.freezes) {
        const endsAtMs = freeze.atMs + freeze.lengthMs;
        const isFrozen = freeze.atMs <= thawAtMs && thawAtMs < endsAtMs;
        if (freeze.node === node && isFrozen) thawAtMs = endsAtMs;
      }
    }
    return thawAtMs;
  }

  /** Runs a task of a node, once it is not frozen. */
  scheduleOn(node: Process, atMs: number, run: () => void): void {
    this.schedule(this.findThaw(node.vm, atMs), () => {
      if (node.isEnded) return;
      const isFrozen = this.findThaw(node.vm, this.nowMs) > this.nowMs;
      if (isFrozen) this.scheduleOn(node, this.nowMs, run);
      else run();
    });
  }

  async run(untilMs: number): Promise<void> {
    for (;;) {
      const next = this.tasks.shift();
      if (next === undefined || next.atMs > untilMs) return;
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.run();
      // Continuations of this moment run before time goes on.
      for (let i = 0; i < 30; i++) await Promise.resolve();
    }
  }
}

interface Process {
  readonly vm: number;
  isEnded: boolean;
  isBusy: boolean;
  holder: DutyHolder;
}

/** One object with conditional writes; calls meet the fates of the day. */
class FatedStore {
  private object: CollectionObject | undefined;
  private calls = 0;

  constructor(private readonly world: World) {}

  connect(node: Process): ObjectCollections {
    const apply = <T>(effect: () => T, lost: T): Promise<T> =>
      new Promise(resolve => {
        const {world} = this;
        const {fates} = world.day;
        const {beforeMs, afterMs, loss} = fates[this.calls++ % fates.length];
        const startedAtMs = world.nowMs;
        const effectAtMs = startedAtMs + beforeMs;
        let result = lost;
        if (loss !== 'call') {
          world.schedule(effectAtMs, () => (result = effect()));
        }
        const timeoutAtMs = startedAtMs + 800;
        const answerAtMs = effectAtMs + afterMs;
        const isAnswered = loss === 'none' && answerAtMs < timeoutAtMs;
        const atMs = isAnswered ? answerAtMs : timeoutAtMs;
        world.scheduleOn(node, atMs, () => resolve(isAnswered ? result : lost));
      });
    const down = err(createError('platform-down', 'no answer'));
    const conflict = err(createError('conflict', 'another version'));
    const put = (name: string, value: unknown, version: number) => () => {
      if ((this.object?.version ?? 0) !== version) return conflict;
      const copy: unknown = JSON.parse(JSON.stringify(value));
      this.object = {name, version: version + 1, value: copy, status: {}};
      return ok(this.object);
    };
    return {
      readObject: () => apply<unknown>(() => ok(this.object), down),
      createObject: (_kind: string, name: string, value: unknown) =>
        apply<unknown>(put(name, value, 0), down),
      replaceObject: (_k: string, name: string, value: unknown, v: number) =>
        apply<unknown>(put(name, value, v), down),
    } as unknown as ObjectCollections;
  }
}

type Send = (world: World, node: Process, permit: Permit) => Promise<boolean>;

/** Connects, and writes only if the permit still holds. */
const sendChecked: Send = (world, node, permit) =>
  new Promise(resolve => {
    world.connect(node, () => resolve(permit.isValid()));
  });

/** Negative control: the permit is not asked after the connection is open. */
const sendUnchecked: Send = (world, node) =>
  new Promise(resolve => {
    world.connect(node, () => resolve(true));
  });

async function replayDay(
  day: Day,
  send: Send,
  holderLeaseMs = LEASE_MS,
): Promise<CloudCall[]> {
  const world = new World(day);
  const store = new FatedStore(world);
  const seen: CloudCall[] = [];
  const start = (vm: number): Process => {
    const node: Process = {vm, isEnded: false, isBusy: false} as Process;
    const bornAtMs = world.nowMs;
    const clock: Clock = {
      readMonotonicMs: () => world.nowMs - bornAtMs,
      readWallMs: () => world.nowMs + day.wallSteps[vm],
    };
    const scheduler: Scheduler = {
      schedule: (delayMs, task) => {
        let isCancelled = false;
        const run = () => (isCancelled ? undefined : task());
        world.scheduleOn(node, world.nowMs + delayMs, run);
        return () => (isCancelled = true);
      },
    };
    node.holder = DutyHolder.create({
      subject: 'usage',
      node: `vm-${vm}`,
      incarnation: `${vm}.${bornAtMs}`,
      leaseMs: holderLeaseMs,
      store: store.connect(node),
      clock,
      scheduler,
      log: SILENT_LOG,
      metrics: Metrics.create(),
    });
    return node;
  };
  const nodes = Array.from({length: NODES}, (_, vm) => start(vm));
  const act = async (node: Process): Promise<void> => {
    node.isBusy = true;
    const claimed = await node.holder.claim();
    if (claimed.isOk()) {
      await node.holder.act(world.nowMs, async permit => {
        if (!(await send(world, node, permit))) return;
        const {vm} = node;
        seen.push({atMs: world.nowMs, vm, token: permit.token});
      });
    }
    node.isBusy = false;
  };
  for (let atMs = 0; atMs < DAY_MS; atMs += STEP_MS) {
    world.schedule(atMs, () => {
      const wish = day.wishes[Math.floor(atMs / 1_000)];
      for (const node of nodes) {
        const isWanted = (wish & (1 << node.vm)) !== 0;
        const isFrozen = world.findThaw(node.vm, atMs) > atMs;
        if (isWanted && !isFrozen && !node.isBusy) void act(node);
      }
    });
  }
  for (const {node: vm, atMs, isPlanned} of day.ends) {
    world.schedule(atMs, () => {
      const node = nodes[vm];
      if (isPlanned) void node.holder.release();
      else {
        node.isEnded = true;
        nodes[vm] = start(vm);
      }
    });
  }
  await world.run(DAY_MS);
  return seen;
}

function listFaults(calls: readonly CloudCall[]): string[] {
  const faults: string[] = [];
  const vms = new Map<number, number>();
  let highest = 0;
  calls.forEach(({atMs, vm, token}, index) => {
    const other = vms.get(token) ?? vm;
    if (other !== vm) faults.push(`VMs ${other} and ${vm} with token ${token}`);
    vms.set(token, vm);
    if (token < highest) faults.push(`token ${token} after ${highest}`);
    highest = Math.max(highest, token);
    const changed = calls.findLastIndex((c, i) => i < index && c.vm !== vm);
    const earlier = calls.findLast((c, i) => i < changed && c.vm === vm);
    if (earlier !== undefined && atMs - earlier.atMs < LEASE_MS) {
      faults.push(`VM ${vm} again after ${atMs - earlier.atMs} ms`);
    }
  });
  return faults;
}

test('the cloud never sees two holders, whatever fails', async () => {
  let calls = 0;
  let takeOvers = 0;
  const property = fc.asyncProperty(DAY, async day => {
    const seen = await replayDay(day, sendChecked);
    calls += seen.length;
    takeOvers += seen.filter((c, i) => i > 0 && seen[i - 1].vm !== c.vm).length;
    expect(listFaults(seen)).toEqual([]);
  });
  await fc.assert(property, readFuzzParameters(SEED, RUNS));
  // The days must have brought calls of different VMs.
  expect({hasCalls: calls > RUNS, hasTakeOvers: takeOvers > RUNS / 10}).toEqual(
    {
      hasCalls: true,
      hasTakeOvers: true,
    },
  );
});

test('the check finds a sender that does not ask for its permit', async () => {
  const property = fc.asyncProperty(DAY, async day => {
    expect(listFaults(await replayDay(day, sendUnchecked))).toEqual([]);
  });
  const parameters = {...readFuzzParameters(SEED, 1_000), numRuns: 1_000};
  const result = await fc.check(property, parameters);
  expect(result.failed).toBe(true);
});
