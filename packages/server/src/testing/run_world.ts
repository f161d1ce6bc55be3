/**
 * A test world of entries, agents and endpoints over a virtual network. The
 * agents' runs and the entries' attempts are the real ones; the oracle reads
 * only what callers are told and what endpoints executed.
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
import {EndpointUnit} from '../agent/endpoint_unit';
import {AttemptEnd, RunAttempt} from '../entry/run_attempt';
import {Execution, createWorldDriver} from './world_driver';
import {AgentLife, RunPeer, createWorldPeer} from './world_peer';

const STEP_MS = 50;
const SWEEP_MS = 100;
const HEARTBEAT_MS = 500;
const SETTLE_MS = 30_000;

export const ENTRIES = ['entry-a', 'entry-b'] as const;
export const AGENTS = ['agent-a', 'agent-b'] as const;

/** A request of a caller of the world. */
export interface WorldRequest {
  readonly requestId: string;
  readonly entry: string;
  readonly isIdempotent: boolean;
  /** Whether the caller takes bytes as they come. */
  readonly isStreamed: boolean;
  readonly budgetMs: number;
  /** Idempotency key; empty without one. */
  readonly idempotencyKey: string;
}

/** What a caller was told in the end. */
export interface Statement {
  readonly request: WorldRequest;
  /** Whether the answer ended as whole. */
  readonly isWhole: boolean;
  readonly outcome: string;
  readonly text: string;
}

/** What a world is built from; the mechanisms can be replaced. */
export interface WorldOptions {
  readonly seed: number;
  readonly faults: NetworkFaults;
  createTable?(incarnation: string): RunTable;
  createKeyTable?(rememberedSinceWallMs: number): IdempotencyTable;
  wrapPeer?(peer: RunPeer): RunPeer;
}

/** Entries, agents and endpoints. */
export class RunWorld {
  readonly network: VirtualNetwork;
  readonly executions: Execution[] = [];
  readonly statements: Statement[] = [];
  private readonly random: RandomSource;
  private readonly lives = new Map<string, AgentLife>();
  private readonly seen = new Map<string, AgentMoment>();
  private readonly attempts = new Map<string, RunAttempt>();
  private readonly keysById = new Map<string, string>();
  private requests = 0;
  private births = 0;

  private constructor(private readonly options: WorldOptions) {
    this.random = createRandomSource(options.seed);
    this.network = VirtualNetwork.create(this.random, options.faults);
    for (const agent of AGENTS) this.restartAgent(agent);
  }

  /** Builds a world whose entries have heard of both agents. */
  static async create(options: WorldOptions): Promise<RunWorld> {
    const world = new RunWorld(options);
    await world.advance(HEARTBEAT_MS * 3);
    return world;
  }

  /** Ends an agent's life, if it has one, and begins the next. */
  restartAgent(agent: string): void {
    const old = this.lives.get(agent);
    if (old !== undefined) old.isAlive = false;
    this.births += 1;
    const incarnation = `${agent}-${this.births}`;
    const life: AgentLife = {
      incarnation,
      isAlive: true,
      runs: this.createRuns(agent, incarnation, () => life),
    };
    this.lives.set(agent, life);
    this.sendHeartbeat(agent, life);
  }

  private createRuns(
    agent: string,
    incarnation: string,
    getLife: () => AgentLife,
  ): AgentRuns {
    const runAtAgent = (task: () => void) =>
      this.network.runAtNode(agent, () => {
        if (getLife().isAlive) task();
      });
    const unit = EndpointUnit.create(
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
      createWorldDriver({
        network: this.network,
        random: this.random,
        executions: this.executions,
        runAtAgent,
      }),
    );
    const scheduler = this.createScheduler(runAtAgent);
    const runs = AgentRuns.create({
      incarnation,
      units: new Map([[agent, unit]]),
      quarantine: Quarantine.create(),
      clock: this.network,
      scheduler,
      table: this.options.createTable?.(incarnation),
      keyTable: this.options.createKeyTable?.(this.network.readWallMs()),
      log: SILENT_LOG,
      metrics: Metrics.create(),
      getRulesRevision: () => 1,
      getHomes: () => AGENTS,
    });
    const sweep = () => {
      void unit.refreshLoad();
      runs.sweep();
      scheduler.schedule(SWEEP_MS, sweep);
    };
    this.network.schedule(0, sweep);
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

  private sendHeartbeat(agent: string, life: AgentLife): void {
    if (!life.isAlive) return;
    const {incarnation} = life;
    const tick = this.network.readMonotonicMs();
    for (const entry of ENTRIES) {
      this.network.sendMessage(agent, entry, () => {
        const key = `${entry} ${agent}`;
        if ((this.seen.get(key)?.tick ?? -1) > tick) return;
        this.seen.set(key, {incarnation, tick});
      });
    }
    this.network.schedule(HEARTBEAT_MS, () =>
      this.network.runAtNode(agent, () => this.sendHeartbeat(agent, life)),
    );
  }

  /** Takes a request of a caller. */
  submitRequest(request: Omit<WorldRequest, 'requestId'>): void {
    this.requests += 1;
    const requestId = `r${this.requests}`;
    if (request.idempotencyKey !== '') {
      this.keysById.set(requestId, request.idempotencyKey);
    }
    void this.runRequest({...request, requestId});
  }

  private async runRequest(request: WorldRequest): Promise<void> {
    const progress = RequestProgress.create(request.isIdempotent);
    const deadlineMs = this.network.readMonotonicMs() + request.budgetMs;
    let text = '';
    for (;;) {
      const decoder = new TextDecoder();
      const ended = await this.runAttempt(request, progress, part => {
        text += decoder.decode(part, {stream: true});
      });
      if (ended.type === 'whole') {
        this.statements.push({request, isWhole: true, outcome: 'ran', text});
        return;
      }
      const canRepeat = progress.recordFailure({
        ...ended,
        budgetLeftMs: deadlineMs - this.network.readMonotonicMs(),
        resetAnswer: () => !request.isStreamed,
      });
      if (canRepeat) {
        if (!request.isStreamed) text = '';
        continue;
      }
      const error = progress.withOutcome(ended.error);
      const {outcome} = getErrorAnswer(error);
      this.statements.push({request, isWhole: false, outcome, text});
      return;
    }
  }

  private async runAttempt(
    request: WorldRequest,
    progress: RequestProgress,
    appendPart: (part: Uint8Array) => void,
  ): Promise<AttemptEnd> {
    const {entry, requestId, budgetMs, isIdempotent} = request;
    const agent = this.chooseAgent(request.idempotencyKey);
    const moment = this.seen.get(`${entry} ${agent}`);
    const attemptNumber = progress.startAttempt();
    if (moment === undefined) {
      const error = createError('no-endpoint', 'not seen yet');
      return {type: 'failed', error, outcome: 'not-run'};
    }
    const message: RunRequest = {
      requestId,
      attempt: attemptNumber,
      endpoint: agent,
      incarnation: moment.incarnation,
      seenTick: moment.tick,
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
          appendPart(chunk.data);
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
    const peer = createWorldPeer({
      network: this.network,
      entry,
      agent,
      getLife: () => {
        const life = this.lives.get(agent);
        if (life === undefined) throw new Error(`no agent ${agent}`);
        return life;
      },
    });
    return this.options.wrapPeer?.(peer) ?? peer;
  }

  /** Lets a caller go away while its request runs. */
  cancelRequest(requestId: string): void {
    this.attempts.get(requestId)?.cancel();
  }

  /** Lets virtual time pass, with turns for what waits on promises. */
  async advance(durationMs: number): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      this.network.advanceMs(STEP_MS);
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  /** Ends every fault and waits until all is decided. */
  async settle(calm: NetworkFaults): Promise<void> {
    this.network.setFaults(calm);
    for (const node of [...ENTRIES, ...AGENTS]) {
      this.network.healNode(node);
      this.network.wakeNode(node);
    }
    await this.advance(SETTLE_MS);
  }

  /** Lists what callers and endpoints saw that must not be. */
  listViolations(): string[] {
    const found = this.statements.flatMap(item => this.checkStatement(item));
    for (const key of new Set(this.keysById.values())) {
      const runs = this.listExecutions(key);
      if (runs.length > 1) found.push('the call of one key ran twice');
    }
    const missing = this.requests - this.statements.length;
    if (missing > 0) found.push('a request got no final answer');
    return [...new Set(found)].sort();
  }

  private listExecutions(key: string): Execution[] {
    return this.executions.filter(
      item => this.keysById.get(item.requestId) === key,
    );
  }

  private checkStatement(statement: Statement): string[] {
    const {request, isWhole, outcome, text} = statement;
    const {requestId, isIdempotent, idempotencyKey} = request;
    const runs = this.executions.filter(item => item.requestId === requestId);
    const sources =
      idempotencyKey === '' ? runs : this.listExecutions(idempotencyKey);
    const texts = sources.map(item => item.text);
    const found: string[] = [];
    if (outcome === 'not-run' && runs.length > 0) {
      found.push('work ran that was stated as not run');
    }
    if (isWhole && !texts.includes(text)) {
      found.push('a whole answer is not that of one execution');
    }
    if (!isWhole && !texts.some(full => full.startsWith(text))) {
      if (text !== '') found.push('a caller got bytes of two executions');
    }
    if (!isIdempotent && runs.length > 1) {
      found.push('a non-idempotent request ran twice');
    }
    return found;
  }
}

/** An agent's life and clock as an entry saw them. */
interface AgentMoment {
  readonly incarnation: string;
  readonly tick: number;
}
