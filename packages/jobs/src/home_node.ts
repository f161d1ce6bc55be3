/**
 * The home of batch jobs with its I/O: takes calls of entries, follows the
 * agents, carries out what the scheduler plans, and writes results to the
 * store. Everything that lasts is in the store, so that another node can take
 * over at any moment.
 */
import {
  BatchJob,
  BoundsFinder,
  Clock,
  HomeScheduler,
  JobState,
  RunnerOrders,
  RunnerRegistration,
  ServiceError,
  SyncAnswer,
  createError,
  restoreProgress,
} from '@sassafrasspan/core';
import type {PeerClient} from '@sassafrasspan/peers';
import {
  EventLog,
  Metrics,
  PeerAddress,
  formatAddress,
  waitMs,
} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {AgentLink} from './agent_link';
import type {JobLedger, KeptJob} from './job_ledger';
import type {ItemCall, ReadCall, ResultsAnswer} from './job_messages';
import {JobWriter} from './job_writer';
import {ProgressWriter} from './progress_writer';

/** Time between plans when nothing happens, in ms. */
const PLAN_INTERVAL_MS = 50;
/** Time before an end that the store did not take is written again, in ms. */
const END_RETRY_MS = 500;
/** Largest text of one answer to a read, in characters. */
const MAX_ANSWER_CHARACTERS = 400_000;

/** An agent and the endpoint beside it. */
export interface AgentEntry {
  readonly address: PeerAddress;
  readonly registration: RunnerRegistration;
}

/** What a home is built from. */
export interface HomeNodeOptions {
  readonly name: string;
  readonly epoch: number;
  readonly incarnation: string;
  readonly ledger: JobLedger;
  readonly peers: PeerClient;
  readonly findBounds: BoundsFinder;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Hears that a later home has taken over. */
  readonly onSuperseded: (detail: string) => void;
}

/** A job with what the home does for it. */
interface ServedJob {
  readonly state: JobState;
  readonly writer: JobWriter;
  readonly progress: ProgressWriter;
  readonly waiters: Set<() => void>;
}

/** A link to an agent. */
interface ServedAgent {
  readonly link: AgentLink;
  readonly address: string;
  incarnation: string;
}

/** A run whose result is not in the store yet. */
interface UnsafeRun {
  readonly endpointId: string;
  readonly runId: string;
}

/** The home of batch jobs. */
export class HomeNode {
  private readonly scheduler: HomeScheduler;
  private readonly jobs = new Map<string, ServedJob>();
  private readonly agents = new Map<string, ServedAgent>();
  /** Runs whose results wait for the store, by item. */
  private readonly unsafeRuns = new Map<string, UnsafeRun>();
  private readonly opening = new Map<
    string,
    Promise<Result<object, ServiceError>>
  >();
  /** Jobs whose end the store does not know yet. */
  private readonly unkeptEnds = new Set<string>();
  private isStopped = false;
  private runCount = 0;
  private isPlanned = false;
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: HomeNodeOptions) {
    this.scheduler = HomeScheduler.create({
      findBounds: options.findBounds,
      epoch: options.epoch,
      createRunId: () => `${options.epoch}.${(this.runCount += 1)}`,
    });
  }

  /** Builds a home that has not started. */
  static create(options: HomeNodeOptions): HomeNode {
    return new HomeNode(options);
  }

  /** Takes up the jobs that the store keeps. */
  async start(): Promise<Result<void, ServiceError>> {
    const headers = await this.options.ledger.listJobs();
    if (headers.isErr()) return err(headers.error);
    const open = headers.value
      .filter(header => !header.isEnded)
      .sort((a, b) => a.acceptedAtMs - b.acceptedAtMs);
    const jobs = await Promise.all(
      open.map(header => this.options.ledger.readJob(header.id)),
    );
    for (const job of jobs) {
      if (job.isErr()) return err(job.error);
      if (job.value !== undefined) this.serveJob(job.value);
    }
    this.timer = setInterval(() => this.planNow(), PLAN_INTERVAL_MS);
    return ok(undefined);
  }

  /** Stops at once; runs go on at the agents. */
  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
    for (const {link} of this.agents.values()) link.stop();
    for (const {writer, waiters} of this.jobs.values()) {
      writer.stop();
      for (const wake of waiters) wake();
    }
  }

  /** Returns the epoch. */
  getEpoch(): number {
    return this.options.epoch;
  }

  /** Sets the agents and their endpoints. */
  setAgents(entries: readonly AgentEntry[]): void {
    this.scheduler.setRunners(
      entries.map(entry => entry.registration),
      this.readMs(),
    );
    const ids = new Set(entries.map(item => item.registration.endpointId));
    for (const [id, agent] of this.agents) {
      if (ids.has(id)) continue;
      agent.link.stop();
      this.agents.delete(id);
    }
    for (const entry of entries) this.linkAgent(entry);
    this.requestPlan();
  }

  /** Notes the newest version that a trainer has named. */
  setNewest(model: string, version: number): void {
    this.scheduler.setNewest(model, version);
    this.requestPlan();
  }

  /** Accepts a job: once, and only when the store keeps it. */
  submit(job: BatchJob): Promise<Result<object, ServiceError>> {
    const known = this.opening.get(job.id);
    if (known !== undefined) return known;
    const opened = this.open(job).finally(() => this.opening.delete(job.id));
    this.opening.set(job.id, opened);
    return opened;
  }

  private async open(job: BatchJob): Promise<Result<object, ServiceError>> {
    if (this.jobs.has(job.id)) return ok({});
    const created = await this.options.ledger.createJob(job);
    if (created.isErr()) {
      const {kind, detail} = created.error;
      this.options.log.writeEvent('job-refused', {
        requestId: job.id,
        kind,
        detail,
      });
      return err(created.error);
    }
    if (!created.value) {
      const served = await this.findJob(job.id);
      return served.map(() => ({}));
    }
    this.options.log.writeEvent('job-accepted', {
      requestId: job.id,
      items: job.items.length,
      step: job.step,
      minVersion: job.minVersion,
      epoch: this.options.epoch,
    });
    const progress = {items: []};
    this.serveJob({job, records: [], isEnded: false, progress});
    this.planNow();
    return ok({});
  }

  /** Reads results from a position on; may wait for the first. */
  async read(
    call: ReadCall,
    signal: AbortSignal,
  ): Promise<Result<ResultsAnswer, ServiceError>> {
    const served = await this.findJob(call.jobId);
    if (served.isErr()) return err(served.error);
    const {state} = served.value;
    if (call.after >= state.results.length && !state.isEnded) {
      await waitForResult(served.value, call.waitMs, signal);
    }
    return ok({
      total: state.items.size,
      results: limitAnswer(state.results.slice(call.after)),
    });
  }

  /** Reads the body of an item that is not listed. */
  async readItem(call: ItemCall): Promise<Result<object, ServiceError>> {
    const served = await this.findJob(call.jobId);
    if (served.isErr()) return err(served.error);
    const item = served.value.state.items.get(call.itemId);
    if (item === undefined) {
      return err(createError('not-found', `no item ${call.itemId}`));
    }
    return ok({body: item.item.body});
  }

  /** Ends a job; confirmed when the store knows it. */
  async end(jobId: string): Promise<Result<object, ServiceError>> {
    const served = await this.findJob(jobId);
    if (served.isErr()) return err(served.error);
    if (!served.value.state.isEnded) {
      this.scheduler.endJob(jobId, this.readMs());
      this.reportEnd(served.value);
      this.requestPlan();
    }
    const ended = await this.options.ledger.endJob(jobId);
    if (ended.isErr()) void this.repeatEnd(jobId);
    return ended.map(() => ({}));
  }

  /** Marks an end in the store until that is done, whoever asked for it. */
  private async repeatEnd(jobId: string): Promise<void> {
    if (this.unkeptEnds.has(jobId)) return;
    this.unkeptEnds.add(jobId);
    while (!this.isStopped) {
      await waitMs(END_RETRY_MS);
      const ended = await this.options.ledger.endJob(jobId);
      if (ended.isOk() || ended.error.kind === 'not-found') break;
    }
    this.unkeptEnds.delete(jobId);
  }

  private readMs(): number {
    return this.options.clock.readMonotonicMs();
  }

  /** Finds a job here or in the store. */
  private async findJob(id: string): Promise<Result<ServedJob, ServiceError>> {
    const known = this.jobs.get(id);
    if (known !== undefined) return ok(known);
    const kept = await this.options.ledger.readJob(id);
    if (kept.isErr()) return err(kept.error);
    if (kept.value === undefined) {
      return err(createError('not-found', `no batch job ${id}`));
    }
    const served = this.jobs.get(id) ?? this.serveJob(kept.value);
    this.requestPlan();
    return ok(served);
  }

  private serveJob(kept: KeptJob): ServedJob {
    const {job, records} = kept;
    const {clock} = this.options;
    const ageMs = Math.max(0, clock.readWallMs() - job.acceptedAtMs);
    const acceptedAtMs = this.readMs() - ageMs;
    const results = records.map(record => record.results);
    const state = kept.isEnded
      ? this.scheduler.restoreEnded(job, acceptedAtMs, results)
      : this.scheduler.openJob(job, acceptedAtMs, results);
    const waiters = new Set<() => void>();
    const writer = JobWriter.create({
      state,
      ledger: this.options.ledger,
      writer: `${this.options.name}/${this.options.incarnation}`,
      findRunDeadline: () =>
        this.options.findBounds(job)?.runDeadlineMs ?? Infinity,
      clock: this.options.clock,
      log: this.options.log,
      onListed: results => {
        for (const {itemId} of results) this.releaseRun(itemId);
        for (const wake of waiters) wake();
      },
    });
    if (!kept.isEnded) restoreProgress(state, kept.progress);
    const progress = ProgressWriter.create({
      state,
      ledger: this.options.ledger,
      clock,
    });
    const served = {state, writer, progress, waiters};
    this.jobs.set(job.id, served);
    if (records.length > 0) {
      const fields = {requestId: job.id, results: state.results.length};
      this.options.log.writeEvent('job-adopted', fields);
    }
    return served;
  }

  private reportEnd(served: ServedJob): void {
    const {state, waiters} = served;
    for (const id of state.items.keys()) this.releaseRun(id);
    this.options.log.writeEvent('job-ended', {
      requestId: state.job.id,
      results: state.results.length,
      groups: state.countWholeGroups(),
    });
    for (const wake of waiters) wake();
  }

  private linkAgent(entry: AgentEntry): void {
    const {endpointId} = entry.registration;
    const address = formatAddress(entry.address);
    const known = this.agents.get(endpointId);
    if (known?.address === address) return;
    known?.link.stop();
    const {name, epoch, peers, clock, log} = this.options;
    const link = AgentLink.create({
      address: entry.address,
      home: name,
      epoch,
      peers,
      clock,
      onSynced: answer => this.applySync(endpointId, answer),
      onLost: detail => {
        log.writeEvent('agent-lost', {endpoint: endpointId, detail});
        this.scheduler.loseRunner(endpointId, this.readMs());
        this.requestPlan();
      },
      onSuperseded: detail => this.options.onSuperseded(detail),
    });
    this.agents.set(endpointId, {link, address, incarnation: ''});
    void link.run();
  }

  private applySync(endpointId: string, answer: SyncAnswer): void {
    const agent = this.agents.get(endpointId);
    if (agent === undefined) return;
    if (agent.incarnation !== answer.incarnation) {
      const {log} = this.options;
      log.writeEvent('agent-found', {endpoint: endpointId});
      if (agent.incarnation !== '') {
        this.scheduler.loseRunner(endpointId, this.readMs());
      }
      agent.incarnation = answer.incarnation;
    }
    const {updates, engine} = answer;
    this.scheduler.applySync(endpointId, updates, engine, this.readMs());
    for (const {runId, itemId, end} of updates) {
      if (end === undefined) continue;
      const isUnsafe = end === 'completed' && this.isWaiting(itemId);
      if (isUnsafe) this.unsafeRuns.set(itemId, {endpointId, runId});
      else agent.link.release([runId]);
    }
    for (const {state, writer} of this.jobs.values()) {
      if (!state.isEnded) writer.schedule();
    }
    this.requestPlan();
  }

  /** Tells whether a finished item waits for its place in a log. */
  private isWaiting(itemId: string): boolean {
    return this.scheduler
      .listOpenJobs()
      .some(state => state.items.get(itemId)?.phase === 'finished');
  }

  private releaseRun(itemId: string): void {
    const run = this.unsafeRuns.get(itemId);
    if (run === undefined) return;
    this.unsafeRuns.delete(itemId);
    this.agents.get(run.endpointId)?.link.release([run.runId]);
  }

  private requestPlan(): void {
    if (this.isPlanned) return;
    this.isPlanned = true;
    setImmediate(() => this.planNow());
  }

  private planNow(): void {
    this.isPlanned = false;
    for (const {state, progress} of this.jobs.values()) {
      if (!state.isEnded) void progress.advance();
    }
    for (const orders of this.scheduler.plan(this.readMs())) {
      this.reportOrders(orders);
      void this.sendOrders(orders);
    }
  }

  private reportOrders(orders: RunnerOrders): void {
    const {log, epoch} = this.options;
    for (const [index, start] of orders.starts.entries()) {
      const {itemId, jobId, runId, endpointId, prior} = start;
      log.writeEvent('item-started', {
        requestId: itemId,
        job: jobId,
        run: runId,
        endpoint: endpointId,
        firstEvent: prior.length,
        epoch,
        ...orders.reasons[index],
      });
    }
  }

  private async sendOrders(orders: RunnerOrders): Promise<void> {
    const agent = this.agents.get(orders.endpointId);
    const isSent = (await agent?.link.send(orders)) ?? false;
    if (isSent) return;
    for (const {runId, itemId} of orders.starts) {
      this.scheduler.abandonStart(runId, itemId, this.readMs());
    }
    this.requestPlan();
  }
}

/** Waits until a job has a new result or has ended, at most for a time. */
function waitForResult(
  served: ServedJob,
  limitMs: number,
  signal: AbortSignal,
): Promise<void> {
  if (limitMs <= 0) return Promise.resolve();
  return new Promise(resolve => {
    const finish = () => {
      clearTimeout(timer);
      served.waiters.delete(finish);
      signal.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, limitMs);
    served.waiters.add(finish);
    signal.addEventListener('abort', finish, {once: true});
  });
}

function limitAnswer(results: ResultsAnswer['results']) {
  const limited: ResultsAnswer['results'] = [];
  let characters = 0;
  for (const result of results) {
    characters += result.text.length;
    if (characters > MAX_ANSWER_CHARACTERS && limited.length > 0) break;
    limited.push(result);
  }
  return limited;
}
