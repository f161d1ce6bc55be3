/**
 * Simulates two failure domains on a virtual clock. Work arrives at one in
 * bursts that exceed its capacity and may spill to the other, which also has
 * work of its own.
 */
import {createRandomSource} from '@sassafrasspan/core';
import {drawServingTokens} from '../draws';
import {VirtualClock} from '../virtual_clock';
import type {WaitingPolicy} from './waiting_policies';

const MS_PER_TOKEN = 25;
/** Load alternates between quiet and burst after each period. */
const LOAD_PERIOD_MS = 20_000;
const BURST_LOAD = 1.6;
const QUIET_LOAD = 0.8;
const OTHER_LOAD = 0.6;
/** Spilled work takes longer, since its prompt is not cached there. */
const UNCACHED_PROMPT_FACTOR = 1.15;
const MEAN_RUN_MS = 91 * MS_PER_TOKEN;

/** Sizes of the two failure domains and the latency between them. */
export interface WaitingScenario {
  readonly name: string;
  readonly ownSlots: number;
  readonly otherSlots: number;
  /** One-way latency between the failure domains. */
  readonly latencyMs: number;
}

/** Figures of one policy in a scenario. */
export interface WaitingResult {
  readonly meanWaitMs: number;
  readonly p99WaitMs: number;
  /** Total time of wait, link and run, divided by that of the runs alone. */
  readonly slowdown: number;
  /** Share of the tokens whose requests spilled over the costly link. */
  readonly spilledShare: number;
}

interface Job {
  readonly runMs: number;
  readonly arrivedMs: number;
  readonly isMeasured: boolean;
  hasSpilled: boolean;
  isStarted: boolean;
}

/** Slots of a failure domain, with a first-in-first-out queue. */
class DomainQueue {
  readonly waiting: Job[] = [];
  private running = 0;

  private constructor(
    readonly slots: number,
    private readonly clock: VirtualClock,
    /** Returns the time in ms for which the job holds its slot. */
    private readonly startJob: (job: Job) => number,
  ) {}

  static create(
    slots: number,
    clock: VirtualClock,
    startJob: (job: Job) => number,
  ): DomainQueue {
    return new DomainQueue(slots, clock, startJob);
  }

  countWork(): number {
    return this.running + this.waiting.length;
  }

  isBusy(): boolean {
    return this.running >= this.slots;
  }

  addJob(job: Job): void {
    this.waiting.push(job);
    this.startWaiting();
  }

  removeJob(job: Job): void {
    this.waiting.splice(this.waiting.indexOf(job), 1);
  }

  /** Estimates the time until a new request would start, in ms. */
  predictWaitMs(): number {
    const queued = this.waiting.reduce((sum, job) => sum + job.runMs, 0);
    return (queued + MEAN_RUN_MS) / this.slots;
  }

  private startWaiting(): void {
    while (!this.isBusy()) {
      const job = this.waiting.shift();
      if (job === undefined) return;
      job.isStarted = true;
      this.running += 1;
      this.clock.schedule(this.startJob(job), () => {
        this.running -= 1;
        this.startWaiting();
      });
    }
  }
}

/** Simulates a scenario under one policy. */
export function simulateWaiting(
  scenario: WaitingScenario,
  policy: WaitingPolicy,
  seed: number,
  durationMs: number,
): WaitingResult {
  const simulation = WaitingSimulation.create(scenario, policy);
  return simulation.run(seed, durationMs);
}

/** A simulation in progress. */
class WaitingSimulation {
  private readonly clock = VirtualClock.create();
  private readonly startedJobs: StartedJob[] = [];
  private readonly own: DomainQueue;
  private readonly other: DomainQueue;

  private constructor(
    private readonly scenario: WaitingScenario,
    private readonly policy: WaitingPolicy,
  ) {
    const startJob = (job: Job) => this.startJob(job);
    const {ownSlots, otherSlots} = scenario;
    this.own = DomainQueue.create(ownSlots, this.clock, startJob);
    this.other = DomainQueue.create(otherSlots, this.clock, startJob);
  }

  static create(
    scenario: WaitingScenario,
    policy: WaitingPolicy,
  ): WaitingSimulation {
    return new WaitingSimulation(scenario, policy);
  }

  run(seed: number, durationMs: number): WaitingResult {
    const {own, other, clock} = this;
    addArrivals(clock, `${seed} own`, seed, {
      isMeasured: true,
      assignJob: job => this.assignJob(job),
      readBusySlots: () => this.readOwnLoad() * own.slots,
    });
    addArrivals(clock, `${seed} other`, seed + 1, {
      isMeasured: false,
      assignJob: job => other.addJob(job),
      readBusySlots: () => OTHER_LOAD * other.slots,
    });
    clock.runUntil(durationMs);
    return summarizeJobs(this.startedJobs);
  }

  private readOwnLoad(): number {
    const period = Math.floor(this.clock.readMonotonicMs() / LOAD_PERIOD_MS);
    return period % 2 === 0 ? QUIET_LOAD : BURST_LOAD;
  }

  /** Records a start; returns how long the job holds its slot, in ms. */
  private startJob(job: Job): number {
    const linkMs = job.hasSpilled ? 2 * this.scenario.latencyMs : 0;
    const runMs = job.runMs * (job.hasSpilled ? UNCACHED_PROMPT_FACTOR : 1);
    const waitMs = this.clock.readMonotonicMs() - job.arrivedMs;
    const totalMs = waitMs + linkMs + runMs;
    if (job.isMeasured) this.startedJobs.push({job, waitMs, totalMs});
    return runMs + linkMs;
  }

  private assignJob(job: Job): void {
    const {own, other} = this;
    if (!own.isBusy()) return own.addJob(job);
    const maxWaitMs = this.policy({
      predictedWaitMs: own.predictWaitMs(),
      expectedRunMs: job.runMs,
      own: {slots: own.slots, work: own.countWork()},
      other: {slots: other.slots, work: other.countWork()},
    });
    if (maxWaitMs === 0) return this.spillJob(job);
    own.addJob(job);
    if (maxWaitMs === Infinity) return;
    this.clock.schedule(maxWaitMs, () => {
      if (job.isStarted) return;
      own.removeJob(job);
      this.spillJob(job);
    });
  }

  private spillJob(job: Job): void {
    job.hasSpilled = true;
    this.other.addJob(job);
  }
}

/** A measured request that has started, with its wait and total time. */
interface StartedJob {
  readonly job: Job;
  readonly waitMs: number;
  readonly totalMs: number;
}

/** Rate and destination of arriving work. */
interface ArrivalStream {
  readonly isMeasured: boolean;
  assignJob(job: Job): void;
  /** Returns how many slots the arrivals keep busy on average. */
  readBusySlots(): number;
}

/** Schedules Poisson arrivals at the rate that the stream asks for. */
function addArrivals(
  clock: VirtualClock,
  key: string,
  seed: number,
  stream: ArrivalStream,
): void {
  const random = createRandomSource(seed);
  let count = 0;
  const addNext = () => {
    const meanGapMs = MEAN_RUN_MS / stream.readBusySlots();
    clock.schedule(-Math.log(1 - random()) * meanGapMs, () => {
      count += 1;
      stream.assignJob({
        runMs: drawServingTokens(`${key} ${count}`) * MS_PER_TOKEN,
        arrivedMs: clock.readMonotonicMs(),
        isMeasured: stream.isMeasured,
        hasSpilled: false,
        isStarted: false,
      });
      addNext();
    });
  };
  addNext();
}

function summarizeJobs(startedJobs: readonly StartedJob[]): WaitingResult {
  const waits = startedJobs.map(item => item.waitMs).sort((a, b) => a - b);
  const sum = (values: readonly number[]) =>
    values.reduce((total, value) => total + value, 0);
  const runs = startedJobs.map(item => item.job.runMs);
  const spilled = startedJobs.filter(item => item.job.hasSpilled);
  return {
    meanWaitMs: sum(waits) / waits.length,
    p99WaitMs: waits[Math.floor(waits.length * 0.99)],
    slowdown: sum(startedJobs.map(item => item.totalMs)) / sum(runs),
    spilledShare: sum(spilled.map(item => item.job.runMs)) / sum(runs),
  };
}
