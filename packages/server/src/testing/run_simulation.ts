/**
 * Simulates entries, agents and endpoints over a virtual network, with the real
 * `AgentRuns` and `RunAttempt`. The oracle uses only the results that callers
 * receive and the requests that endpoints executed.
 */
import {
  IdempotencyTable,
  Quarantine,
  RandomSource,
  RequestProgress,
  RunTable,
  Scheduler,
  createError,
  createRandomSource,
  findOwner,
  getErrorAnswer,
} from '@sassafrasspan/core';
import {NetworkFaults, VirtualNetwork} from '@sassafrasspan/core/testing';
import type {AgentPeer, RunRequest} from '@sassafrasspan/nodes';
import {Metrics, SILENT_LOG} from '@sassafrasspan/runtime';
import {AgentRuns} from '../agent/agent_runs';
import {ManagedEndpoint} from '../agent/managed_endpoint';
import {AttemptEnd, RunAttempt} from '../entry/run_attempt';
import {Execution, createSimulatedDriver} from './simulated_driver';
import {AgentIncarnation, RunPeer, createSimulatedPeer} from './simulated_peer';

const STEP_MS = 50;
const MAINTENANCE_INTERVAL_MS = 100;
const HEARTBEAT_INTERVAL_MS = 500;
const SETTLE_MS = 30_000;

export const ENTRIES = ['entry-a', 'entry-b'] as const;
export const AGENTS = ['agent-a', 'agent-b'] as const;

/** A request of a simulated caller. */
export interface SimulatedRequest {
  readonly requestId: string;
  readonly entry: string;
  readonly isIdempotent: boolean;
  /** Whether the caller receives bytes as they arrive. */
  readonly isStreamed: boolean;
  readonly budgetMs: number;
  /** Idempotency key, or an empty string. */
  readonly idempotencyKey: string;
}

/** Final result of a request as its caller received it. */
export interface CallerResult {
  readonly request: SimulatedRequest;
  /** Whether the answer ended as complete. */
  readonly isComplete: boolean;
  readonly outcome: string;
  readonly text: string;
}

/** Tests replace mechanisms by faulty ones with the optional functions. */
export interface RunSimulationOptions {
  readonly seed: number;
  readonly faults: NetworkFaults;
  createTable?(incarnation: string): RunTable;
  createKeyTable?(completeSinceWallMs: number): IdempotencyTable;
  wrapPeer?(peer: RunPeer): RunPeer;
}

export class RunSimulation {
  readonly network: VirtualNetwork;
  readonly executions: Execution[] = [];
  readonly callerResults: CallerResult[] = [];
  private readonly random: RandomSource;
  private readonly incarnations = new Map<string, AgentIncarnation>();
  private readonly latestHeartbeats = new Map<string, ReceivedHeartbeat>();
  private readonly attempts = new Map<string, RunAttempt>();
  private readonly keysByRequest = new Map<string, string>();
  private requestCount = 0;
  private incarnationCount = 0;

  private constructor(private readonly options: RunSimulationOptions) {
    this.random = createRandomSource(options.seed);
    this.network = VirtualNetwork.create(this.random, options.faults);
    for (const agent of AGENTS) this.restartAgent(agent);
  }

  /** Creates a simulation whose entries have heartbeats from both agents. */
  static async create(options: RunSimulationOptions): Promise<RunSimulation> {
    const simulation = new RunSimulation(options);
    await simulation.advance(HEARTBEAT_INTERVAL_MS * 3);
    return simulation;
  }

  /** Replaces the incarnation of an agent, if any, by a new one. */
  restartAgent(agent: string): void {
    const previous = this.incarnations.get(agent);
    if (previous !== undefined) previous.isAlive = false;
    this.incarnationCount += 1;
    const incarnation = `${agent}-${this.incarnationCount}`;
    const next: AgentIncarnation = {
      incarnation,
      isAlive: true,
      runs: this.createRuns(agent, incarnation, () => next),
    };
    this.incarnations.set(agent, next);
    this.sendHeartbeat(agent, next);
  }

  private createRuns(
    agent: string,
    incarnation: string,
    getAgent: () => AgentIncarnation,
  ): AgentRuns {
    const runAtAgent = (task: () => void) =>
      this.network.runAtNode(agent, () => {
        if (getAgent().isAlive) task();
      });
    const endpoint = ManagedEndpoint.create(
      {
        name: agent,
        service: 'world',
        kind: 'plain',
        url: 'http://127.0.0.1:1',
        slots: 3,
        maxQueued: 4,
        fencing: 'checks',
      },
      this.network,
      createSimulatedDriver({
        network: this.network,
        random: this.random,
        executions: this.executions,
        runAtAgent,
      }),
    );
    const scheduler = this.createScheduler(runAtAgent);
    const runs = AgentRuns.create({
      incarnation,
      endpoints: new Map([[agent, endpoint]]),
      quarantine: Quarantine.create(),
      clock: this.network,
      scheduler,
      table: this.options.createTable?.(incarnation),
      keyTable: this.options.createKeyTable?.(this.network.readWallMs()),
      log: SILENT_LOG,
      metrics: Metrics.create(),
      getRulesRevision: () => 1,
      getKeyOwners: () => AGENTS,
    });
    const maintainAgent = () => {
      void endpoint.refreshLoad();
      runs.runMaintenance();
      scheduler.schedule(MAINTENANCE_INTERVAL_MS, maintainAgent);
    };
    this.network.schedule(0, maintainAgent);
    return runs;
  }

  private createScheduler(runAtNode: (task: () => void) => void): Scheduler {
    return {
      schedule: (delayMs, task) => {
        let isCancelled = false;
        const runTask = () => {
          if (!isCancelled) task();
        };
        this.network.schedule(delayMs, () => runAtNode(runTask));
        return () => {
          isCancelled = true;
        };
      },
    };
  }

  private sendHeartbeat(agent: string, sender: AgentIncarnation): void {
    if (!sender.isAlive) return;
    const {incarnation} = sender;
    const tick = this.network.readMonotonicMs();
    for (const entry of ENTRIES) {
      this.network.sendMessage(agent, entry, () => {
        const key = `${entry} ${agent}`;
        if ((this.latestHeartbeats.get(key)?.tick ?? -1) > tick) return;
        this.latestHeartbeats.set(key, {incarnation, tick});
      });
    }
    this.network.schedule(HEARTBEAT_INTERVAL_MS, () =>
      this.network.runAtNode(agent, () => this.sendHeartbeat(agent, sender)),
    );
  }

  /** Sends a request of a caller; its result is added to `callerResults`. */
  submitRequest(request: Omit<SimulatedRequest, 'requestId'>): void {
    this.requestCount += 1;
    const requestId = `r${this.requestCount}`;
    if (request.idempotencyKey !== '') {
      this.keysByRequest.set(requestId, request.idempotencyKey);
    }
    void this.runRequest({...request, requestId});
  }

  private async runRequest(request: SimulatedRequest): Promise<void> {
    const progress = RequestProgress.create(request.isIdempotent);
    const deadlineMs = this.network.readMonotonicMs() + request.budgetMs;
    let text = '';
    for (;;) {
      const decoder = new TextDecoder();
      const attemptEnd = await this.runAttempt(request, progress, bytes => {
        text += decoder.decode(bytes, {stream: true});
      });
      if (attemptEnd.type === 'whole') {
        this.callerResults.push({
          request,
          isComplete: true,
          outcome: 'ran',
          text,
        });
        return;
      }
      const canRetry = progress.recordFailure({
        ...attemptEnd,
        budgetLeftMs: deadlineMs - this.network.readMonotonicMs(),
        resetAnswer: () => !request.isStreamed,
      });
      if (canRetry) {
        if (!request.isStreamed) text = '';
        continue;
      }
      const error = progress.withOutcome(attemptEnd.error);
      const {outcome} = getErrorAnswer(error);
      this.callerResults.push({request, isComplete: false, outcome, text});
      return;
    }
  }

  private async runAttempt(
    request: SimulatedRequest,
    progress: RequestProgress,
    appendBytes: (bytes: Uint8Array) => void,
  ): Promise<AttemptEnd> {
    const {entry, requestId, budgetMs, isIdempotent} = request;
    const agent = this.chooseAgent(request.idempotencyKey);
    const heartbeat = this.latestHeartbeats.get(`${entry} ${agent}`);
    const attemptNumber = progress.startAttempt();
    if (heartbeat === undefined) {
      const error = createError('no-endpoint', 'no heartbeat received yet');
      return {type: 'failed', error, outcome: 'not-run'};
    }
    const message: RunRequest = {
      requestId,
      attempt: attemptNumber,
      endpoint: agent,
      incarnation: heartbeat.incarnation,
      seenTick: heartbeat.tick,
      rulesRevision: 1,
      budgetMs,
      customer: 'kyklos',
      priority: 0,
      idempotent: isIdempotent,
      idempotencyKey: request.idempotencyKey,
      fingerprint: request.idempotencyKey || requestId,
      expectedTokens: 1,
      minVersion: 0,
      entry,
      prefixKey: '',
      work: {$case: 'completion', value: {bodyJson: '{}'}},
    };
    const attempt = RunAttempt.create({
      agent: this.createPeer(entry, agent) as AgentPeer,
      request: message,
      scheduler: this.createScheduler(task =>
        this.network.runAtNode(entry, task),
      ),
      sink: {
        setHead: () => progress.recordSentBytes(),
        appendChunk: chunk => {
          progress.recordSentBytes();
          appendBytes(chunk.data);
        },
      },
      retainsAnswer: false,
      onResume: () => undefined,
    });
    this.attempts.set(requestId, attempt);
    return attempt.run();
  }

  private chooseAgent(key: string): string {
    if (key !== '') return findOwner(key, AGENTS) ?? AGENTS[0];
    return AGENTS[Math.floor(this.random() * AGENTS.length)];
  }

  private createPeer(entry: string, agent: string): RunPeer {
    const peer = createSimulatedPeer({
      network: this.network,
      entry,
      agent,
      getIncarnation: () => {
        const current = this.incarnations.get(agent);
        if (current === undefined) throw new Error(`no agent ${agent}`);
        return current;
      },
    });
    return this.options.wrapPeer?.(peer) ?? peer;
  }

  /** Cancels a request whose caller disconnects. */
  cancelRequest(requestId: string): void {
    this.attempts.get(requestId)?.cancel();
  }

  /** Advances virtual time and runs the promise callbacks in between. */
  async advance(durationMs: number): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      this.network.advanceMs(STEP_MS);
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  /** Ends every fault and waits until all requests have ended. */
  async settle(calm: NetworkFaults): Promise<void> {
    this.network.setFaults(calm);
    for (const node of [...ENTRIES, ...AGENTS]) {
      this.network.healNode(node);
      this.network.wakeNode(node);
    }
    await this.advance(SETTLE_MS);
  }

  /** Lists the violated guarantees, each once. */
  listViolations(): string[] {
    const violations = this.callerResults.flatMap(result =>
      this.checkResult(result),
    );
    for (const key of new Set(this.keysByRequest.values())) {
      const runs = this.listExecutions(key);
      if (runs.length > 1) {
        violations.push('the call of one idempotency key ran twice');
      }
    }
    const missing = this.requestCount - this.callerResults.length;
    if (missing > 0) violations.push('a request got no final answer');
    return [...new Set(violations)].sort();
  }

  private listExecutions(key: string): Execution[] {
    return this.executions.filter(
      execution => this.keysByRequest.get(execution.requestId) === key,
    );
  }

  private checkResult(result: CallerResult): string[] {
    const {request, isComplete: isWhole, outcome, text} = result;
    const {requestId, isIdempotent, idempotencyKey} = request;
    const runs = this.executions.filter(
      execution => execution.requestId === requestId,
    );
    const sources =
      idempotencyKey === '' ? runs : this.listExecutions(idempotencyKey);
    const texts = sources.map(execution => execution.text);
    const violations: string[] = [];
    if (outcome === 'not-run' && runs.length > 0) {
      violations.push('work ran that was reported as not run');
    }
    if (isWhole && !texts.includes(text)) {
      violations.push('a complete answer differs from every execution');
    }
    if (!isWhole && !texts.some(full => full.startsWith(text))) {
      if (text !== '') {
        violations.push('a caller received bytes of two executions');
      }
    }
    if (!isIdempotent && runs.length > 1) {
      violations.push('a non-idempotent request ran twice');
    }
    return violations;
  }
}

/** Contents of the latest heartbeat that an entry received from an agent. */
interface ReceivedHeartbeat {
  readonly incarnation: string;
  readonly tick: number;
}
