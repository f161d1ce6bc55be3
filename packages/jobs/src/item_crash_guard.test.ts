/** Tests how items under which endpoints crash are held and tried again, with the
 * records of one node in memory. */
import type {CrashWatch, EndedAttempt} from '@sassafrasspan/calls';
import {
  CrashRecords,
  EndpointEntry,
  ItemState,
  JobState,
} from '@sassafrasspan/core';
import {createTestJob} from '@sassafrasspan/core/testing';
import {SILENT_LOG} from '@sassafrasspan/runtime';
import {ItemCrashGuard} from './item_crash_guard';

const TICK_MS = 100;
/** Longest time without a run that a step bears beside idle endpoints, in ms. */
const MAX_UNPLACED_MS = 5_000;
/** Three bursts of five crashes, in ms. */
const BURSTS_MS = [5_000, 11_000, 17_000].flatMap(startMs =>
  [0, 400, 800, 1_200, 1_600].map(offsetMs => startMs + offsetMs),
);
/** Time after the third crash from which retries count, and the most that a request
 * that crashes endpoints may have. */
const CONTACT_MS = 3_000;
const MAX_LATE_RETRIES = 3;

function createEndpoint(id: string): EndpointEntry {
  return {
    ...{id, service: 's', software: 's', address: `${id}:1`, slots: 1},
    ...{failureDomain: 'a', isDraining: false, coldRemainingMs: 0},
    ...{startedAtMs: 0, versions: new Map()},
  };
}

/** Starts items as soon as the guard lets them, until endpoints crash under them;
 * time passes in ticks. */
class GuardedJob {
  nowMs = 0;
  /** When each item was started. */
  readonly startsMs = new Map<ItemState, number[]>();
  readonly items: readonly ItemState[];
  private readonly records = CrashRecords.create();
  private readonly guard: ItemCrashGuard;

  private constructor(private readonly job: JobState) {
    this.items = [...job.items.values()];
    const crashes = {
      hasRecords: () => true,
      decide: (fingerprint: string, ...kind: []) =>
        this.records.decide(fingerprint, this.nowMs, ...kind),
      claimTrial: async (fingerprint: string, id: string, ...kind: []) => {
        const verdict = this.records.decide(fingerprint, this.nowMs, ...kind);
        const trial = {id: `${id} ${this.nowMs}`, atMs: this.nowMs};
        if (verdict === 'trial-due') this.records.addTrial(fingerprint, trial);
        return verdict === 'trial-due';
      },
      recordAttempt: ({fingerprint, endpoint}: EndedAttempt) => {
        const crash = {id: endpoint.id, atMs: this.nowMs};
        this.records.addCrash(fingerprint, crash);
      },
    } as unknown as CrashWatch;
    this.guard = ItemCrashGuard.create({
      crashes,
      findEndpoint: createEndpoint,
      clock: {readMonotonicMs: () => this.nowMs, readWallMs: () => this.nowMs},
      log: SILENT_LOG,
    });
  }

  static create(): GuardedJob {
    const job = createTestJob({id: 'j', groups: 2, size: 1, desiredGroups: 2});
    const items = job.items.map(item => ({...item, path: `/${item.id}`}));
    return new GuardedJob(JobState.create({...job, items}, 0));
  }

  /** Starts all items that wait and are not held. */
  async advance(): Promise<void> {
    this.nowMs += TICK_MS;
    this.guard.update();
    await Promise.resolve();
    await Promise.resolve();
    for (const state of this.items) {
      if (state.phase !== 'waiting' || state.isHeld) continue;
      const starts = this.startsMs.get(state) ?? [];
      this.startsMs.set(state, [...starts, this.nowMs]);
      const id = `${state.item.id} ${this.nowMs}`;
      const run = {runId: id, endpointId: id, startedAtMs: 0, firstEvent: 0};
      this.job.startRun(state.item.id, run, this.nowMs);
    }
  }

  /** Lets the endpoint crash that runs an item. */
  crash(state: ItemState): void {
    const {run, item} = state;
    if (run === undefined) return;
    this.job.endRun(item.id, run.runId, 'broken', this.nowMs, 3);
    this.guard.recordRunEnd(this.job, state, run, 'broken');
  }
}

// Guards against items that are never sent again after two trials without an answer.
test('an item whose trials end in crashes of several endpoints stays held in calm', async () => {
  const job = GuardedJob.create();
  while (job.nowMs < BURSTS_MS[BURSTS_MS.length - 1] + MAX_UNPLACED_MS) {
    await job.advance();
    if (BURSTS_MS.includes(job.nowMs)) job.items.forEach(i => job.crash(i));
  }
  expect(job.items.map(({phase}) => phase)).toEqual(['running', 'running']);
});

// Guards against trials that never come, or without end for an item that crashes.
test('an item that alone crashes endpoints is given up, or sent too often', async () => {
  const job = GuardedJob.create();
  const [crashing] = job.items;
  const listStarts = () => job.startsMs.get(crashing) ?? [];
  while (job.nowMs < 600_000) {
    await job.advance();
    job.crash(crashing);
  }
  const [, , thirdMs] = listStarts();
  const late = listStarts().filter(
    atMs => atMs > thirdMs + CONTACT_MS && atMs < thirdMs + 30_000,
  );
  expect(late.length).toBeLessThanOrEqual(MAX_LATE_RETRIES);
  const [lastMs] = listStarts().slice(-1);
  expect(job.nowMs - lastMs).toBeLessThan(65_000);
});
