/**
 * Simulates two failure domains on a virtual clock. Requests arrive at the
 * local one in bursts that exceed its capacity and may spill to the remote one,
 * which also serves requests of its own.
 */
import {createRandomSource} from '@sassafrasspan/core';
import {drawServingTokens} from '../draws';
import {VirtualClock} from '../virtual_clock';
import type {WaitingPolicy} from './waiting_policies';

const MS_PER_TOKEN = 25;
/**
 * The local load alternates between quiet and burst, one period each. Loads are
 * fractions of the failure domain's slots; above 1 they exceed its capacity.
 */
const LOAD_PERIOD_MS = 20_000;
const BURST_LOAD = 1.6;
const QUIET_LOAD = 0.8;
const REMOTE_LOAD = 0.6;
/**
 * A spilled request executes for longer, since its prompt is not cached in the
 * remote failure domain.
 */
const UNCACHED_PROMPT_FACTOR = 1.15;
/** Mean length of a request in tokens, as `drawServingTokens` draws it. */
const MEAN_TOKENS = 91;
const MEAN_EXECUTION_MS = MEAN_TOKENS * MS_PER_TOKEN;

/** Sizes of the two failure domains and the latency between them. */
export interface WaitingScenario {
  readonly name: string;
  readonly localSlots: number;
  readonly remoteSlots: number;
  /** One-way latency between the failure domains. */
  readonly latencyMs: number;
}

/** Figures of one policy in a scenario. */
export interface WaitingResult {
  readonly meanWaitMs: number;
  readonly p99WaitMs: number;
  /**
   * Total time of the requests (wait, network latency and execution), divided
   * by their execution time with neither wait nor spilling.
   */
  readonly slowdown: number;
  /**
   * Share of the tokens whose requests spilled to the remote failure domain.
   */
  readonly spilledShare: number;
}

interface SimulatedRequest {
  /** Execution time in the failure domain where the request arrived. */
  readonly executionMs: number;
  readonly arrivedMs: number;
  /** Whether the request counts in the result. */
  readonly isMeasured: boolean;
  hasSpilled: boolean;
  isStarted: boolean;
}

/** Slots of a failure domain, with a first-in-first-out queue. */
class DomainQueue {
  readonly waiting: SimulatedRequest[] = [];
  private running = 0;

  private constructor(
    readonly slots: number,
    private readonly clock: VirtualClock,
    /** Returns the time in ms for which the request occupies its slot. */
    private readonly startRequest: (request: SimulatedRequest) => number,
  ) {}

  static create(
    slots: number,
    clock: VirtualClock,
    startRequest: (request: SimulatedRequest) => number,
  ): DomainQueue {
    return new DomainQueue(slots, clock, startRequest);
  }

  countRequests(): number {
    return this.running + this.waiting.length;
  }

  isFull(): boolean {
    return this.running >= this.slots;
  }

  addRequest(request: SimulatedRequest): void {
    this.waiting.push(request);
    this.startWaiting();
  }

  removeRequest(request: SimulatedRequest): void {
    this.waiting.splice(this.waiting.indexOf(request), 1);
  }

  /** Estimates the time until a new request would start, in ms. */
  predictWaitMs(): number {
    const queued = this.waiting.reduce(
      (sum, request) => sum + request.executionMs,
      0,
    );
    return (queued + MEAN_EXECUTION_MS) / this.slots;
  }

  private startWaiting(): void {
    while (!this.isFull()) {
      const request = this.waiting.shift();
      if (request === undefined) return;
      request.isStarted = true;
      this.running += 1;
      this.clock.schedule(this.startRequest(request), () => {
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
  private readonly startedRequests: StartedRequest[] = [];
  private readonly local: DomainQueue;
  private readonly remote: DomainQueue;

  private constructor(
    private readonly scenario: WaitingScenario,
    private readonly policy: WaitingPolicy,
  ) {
    const startRequest = (request: SimulatedRequest) =>
      this.startRequest(request);
    const {localSlots, remoteSlots} = scenario;
    this.local = DomainQueue.create(localSlots, this.clock, startRequest);
    this.remote = DomainQueue.create(remoteSlots, this.clock, startRequest);
  }

  static create(
    scenario: WaitingScenario,
    policy: WaitingPolicy,
  ): WaitingSimulation {
    return new WaitingSimulation(scenario, policy);
  }

  run(seed: number, durationMs: number): WaitingResult {
    const {local, remote, clock} = this;
    addArrivals(clock, `${seed} own`, seed, {
      isMeasured: true,
      assignRequest: request => this.assignRequest(request),
      getOfferedLoad: () => this.getLocalLoad() * local.slots,
    });
    addArrivals(clock, `${seed} other`, seed + 1, {
      isMeasured: false,
      assignRequest: request => remote.addRequest(request),
      getOfferedLoad: () => REMOTE_LOAD * remote.slots,
    });
    clock.runUntil(durationMs);
    return summarizeRequests(this.startedRequests);
  }

  private getLocalLoad(): number {
    const period = Math.floor(this.clock.readMonotonicMs() / LOAD_PERIOD_MS);
    return period % 2 === 0 ? QUIET_LOAD : BURST_LOAD;
  }

  /** Records a start; returns how long the request occupies its slot, in ms. */
  private startRequest(request: SimulatedRequest): number {
    const linkMs = request.hasSpilled ? 2 * this.scenario.latencyMs : 0;
    const executionMs =
      request.executionMs * (request.hasSpilled ? UNCACHED_PROMPT_FACTOR : 1);
    const waitMs = this.clock.readMonotonicMs() - request.arrivedMs;
    const totalMs = waitMs + linkMs + executionMs;
    if (request.isMeasured) {
      this.startedRequests.push({request, waitMs, totalMs});
    }
    return executionMs + linkMs;
  }

  private assignRequest(request: SimulatedRequest): void {
    const {local, remote} = this;
    if (!local.isFull()) return local.addRequest(request);
    const maxWaitMs = this.policy({
      predictedWaitMs: local.predictWaitMs(),
      expectedExecutionMs: request.executionMs,
      local: {slots: local.slots, work: local.countRequests()},
      remote: {slots: remote.slots, work: remote.countRequests()},
    });
    if (maxWaitMs === 0) return this.spillRequest(request);
    local.addRequest(request);
    if (maxWaitMs === Infinity) return;
    this.clock.schedule(maxWaitMs, () => {
      if (request.isStarted) return;
      local.removeRequest(request);
      this.spillRequest(request);
    });
  }

  private spillRequest(request: SimulatedRequest): void {
    request.hasSpilled = true;
    this.remote.addRequest(request);
  }
}

/** A measured request that has started, with its wait and total time. */
interface StartedRequest {
  readonly request: SimulatedRequest;
  readonly waitMs: number;
  readonly totalMs: number;
}

/** Rate and destination of arriving requests. */
interface ArrivalStream {
  readonly isMeasured: boolean;
  assignRequest(request: SimulatedRequest): void;
  /**
   * Returns the mean number of slots that the arriving requests would occupy if
   * none had to wait.
   */
  getOfferedLoad(): number;
}

/**
 * Schedules Poisson arrivals that produce the stream's offered load. `tokenKey`
 * determines the lengths of the requests, and `seed` their arrival times.
 */
function addArrivals(
  clock: VirtualClock,
  tokenKey: string,
  seed: number,
  stream: ArrivalStream,
): void {
  const random = createRandomSource(seed);
  let count = 0;
  const addNext = () => {
    const meanGapMs = MEAN_EXECUTION_MS / stream.getOfferedLoad();
    clock.schedule(-Math.log(1 - random()) * meanGapMs, () => {
      count += 1;
      stream.assignRequest({
        executionMs: drawServingTokens(`${tokenKey} ${count}`) * MS_PER_TOKEN,
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

function summarizeRequests(
  startedRequests: readonly StartedRequest[],
): WaitingResult {
  const waits = startedRequests.map(item => item.waitMs).sort((a, b) => a - b);
  const sum = (values: readonly number[]) =>
    values.reduce((total, value) => total + value, 0);
  const executionTimes = startedRequests.map(item => item.request.executionMs);
  const spilled = startedRequests.filter(item => item.request.hasSpilled);
  return {
    meanWaitMs: sum(waits) / waits.length,
    p99WaitMs: waits[Math.floor(waits.length * 0.99)],
    slowdown:
      sum(startedRequests.map(item => item.totalMs)) / sum(executionTimes),
    spilledShare:
      sum(spilled.map(item => item.request.executionMs)) / sum(executionTimes),
  };
}
