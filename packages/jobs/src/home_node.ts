/**
 * The home of batch jobs with its I/O: takes calls of entries, carries out what
 * the scheduler plans, and writes results to the store. Everything that lasts
 * is in the store, so that another node can take over at any moment.
 */
import {
  BatchJob,
  BoundsFinder,
  Clock,
  HomeScheduler,
  JobProgress,
  JobState,
  RouteBurnTracker,
  ServiceError,
  createError,
  restoreProgress,
} from '@sassafrasspan/core';
import type {PeerClient} from '@sassafrasspan/peers';
import {EventLog, Metrics, waitMs} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {AgentEntry, AgentLinks} from './agent_links';
import type {JobHeader, JobLedger, KeptJob} from './job_ledger';
import type {ItemCall, ReadCall, ResultsAnswer} from './job_messages';
import {JobWriter} from './job_writer';
import {selectForgotten} from './job_memory';
import {ProgressWriter} from './progress_writer';
import {ServedJob} from './served_job';

/** Time between plans when nothing happens, in ms. */
const PLAN_INTERVAL_MS = 50;
/** Time before an end that the store did not take is written again, in ms. */
const END_RETRY_MS = 500;
/** Time for agents to answer orders before an end is confirmed, in ms: they
 * answer within 5 ms, and what they start later they are told to stop. */
const ORDERS_WAIT_MS = 250;
/** Time between looks for jobs that need not be kept, in ms. */
const SWEEP_INTERVAL_MS = 2_000;
/** Age of ended jobs that a new home still learns from, in ms: trainers have
 * two jobs under way. */
const LEARN_AGE_MS = 20_000;
/** Jobs of a model that a new home learns from. */
const LEARNT_JOBS = 2;

/** What a home is built from. */
export interface HomeNodeOptions {
  readonly name: string;
  readonly epoch: number;
  readonly incarnation: string;
  readonly ledger: JobLedger;
  readonly peers: PeerClient;
  readonly findBounds: BoundsFinder;
  /** Returns the time from acceptance for which results can be read, in ms. */
  readonly findKeepMs: () => number;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly burn: RouteBurnTracker;
  /** Hears that a later home has taken over. */
  readonly onSuperseded: (detail: string) => void;
}

/** Result of a call. */
type HomeAnswer<T> = Promise<Result<T, ServiceError>>;

/** The home of batch jobs. */
export class HomeNode {
  private readonly scheduler: HomeScheduler;
  private readonly links: AgentLinks;
  private readonly progress: ProgressWriter;
  private readonly jobs = new Map<string, ServedJob>();
  /** Jobs whose objects are in the store, with their time of acceptance. */
  private readonly kept = new Map<string, number>();
  private readonly opening = new Map<string, HomeAnswer<object>>();
  /** Jobs whose end the store does not know yet. */
  private readonly unkeptEnds = new Set<string>();
  private isStopped = false;
  private runCount = 0;
  private isPlanned = false;
  private timers: NodeJS.Timeout[] = [];

  private constructor(private readonly options: HomeNodeOptions) {
    this.scheduler = HomeScheduler.create({
      findBounds: options.findBounds,
      epoch: options.epoch,
      createRunId: () => `${options.epoch}.${(this.runCount += 1)}`,
    });
    const {name, epoch, peers, clock, log, onSuperseded} = options;
    this.progress = ProgressWriter.create({
      listJobs: () => this.scheduler.listOpenJobs(),
      ledger: options.ledger,
      clock: options.clock,
    });
    this.links = AgentLinks.create({
      name,
      epoch,
      scheduler: this.scheduler,
      peers,
      clock,
      log,
      onSuperseded,
      onChanged: () => this.requestPlan(),
    });
  }

  /** Builds a home that has not started. */
  static create(options: HomeNodeOptions): HomeNode {
    return new HomeNode(options);
  }

  /** Takes up the jobs that the store keeps. */
  async start(): HomeAnswer<void> {
    const [headers, checkpoint] = await Promise.all([
      this.options.ledger.listJobs(),
      this.options.ledger.readProgress(),
    ]);
    if (headers.isErr()) return err(headers.error);
    const sorted = [...headers.value].sort(
      (a, b) => a.acceptedAtMs - b.acceptedAtMs,
    );
    for (const {id, acceptedAtMs} of sorted) this.kept.set(id, acceptedAtMs);
    const open = sorted.filter(header => !header.isEnded);
    const jobs = await Promise.all(
      open.map(header => this.options.ledger.readJob(header.id)),
    );
    const read = Result.combine(jobs);
    if (read.isErr()) return err(read.error);
    const progress = this.acceptCheckpoint(checkpoint);
    for (const job of read.value) {
      if (job === undefined) continue;
      const {state} = this.serveJob(job);
      restoreProgress(state, progress);
    }
    this.scheduler.startTakeover(this.readMs());
    this.timers = [
      setInterval(() => this.planNow(), PLAN_INTERVAL_MS),
      setInterval(() => this.sweepJobs(), SWEEP_INTERVAL_MS),
    ];
    void this.learnEnded(sorted);
    return ok(undefined);
  }

  /** Without its checkpoint a home begins some texts anew; waiting for it would
   * hold all of them up. */
  private acceptCheckpoint(
    checkpoint: Result<JobProgress[], ServiceError>,
  ): JobProgress[] {
    if (checkpoint.isOk()) return checkpoint.value;
    const {detail} = checkpoint.error;
    this.options.log.writeEvent('checkpoint-unread', {detail});
    return [];
  }

  /** Learns from the last ended jobs which items later ones may have again. */
  private async learnEnded(headers: readonly JobHeader[]): Promise<void> {
    const sinceMs = this.options.clock.readWallMs() - LEARN_AGE_MS;
    const counts = new Map<string, number>();
    for (const header of [...headers].reverse()) {
      if (!header.isEnded || header.acceptedAtMs < sinceMs) continue;
      const count = counts.get(header.model) ?? 0;
      if (count >= LEARNT_JOBS || this.isStopped) continue;
      counts.set(header.model, count + 1);
      await this.findJob(header.id);
    }
  }

  /** Stops at once; runs go on at the agents. */
  stop(): void {
    this.isStopped = true;
    for (const timer of this.timers) clearInterval(timer);
    this.links.stop();
    for (const job of this.jobs.values()) {
      job.writer.stop();
      job.wakeReaders();
    }
  }

  /** Returns the epoch. */
  getEpoch(): number {
    return this.options.epoch;
  }

  /** Sets the agents and their endpoints. */
  setAgents(entries: readonly AgentEntry[]): void {
    this.links.setAgents(entries);
  }

  /** Notes the newest version that a trainer has named. */
  setNewest(model: string, version: number): void {
    this.scheduler.setNewest(model, version, this.readMs());
    this.requestPlan();
  }

  /** Accepts a job: once, and only when the store keeps it. */
  submit(job: BatchJob): HomeAnswer<object> {
    const known = this.opening.get(job.id);
    if (known !== undefined) return known;
    const opened = this.open(job).finally(() => this.opening.delete(job.id));
    this.opening.set(job.id, opened);
    return opened;
  }

  private async open(job: BatchJob): HomeAnswer<object> {
    if (this.jobs.has(job.id)) return ok({});
    const {ledger, log, epoch} = this.options;
    const {id: requestId, step, minVersion} = job;
    const created = await ledger.createJob(job);
    if (created.isErr()) {
      const {kind, detail} = created.error;
      log.writeEvent('job-refused', {requestId, kind, detail});
      return err(created.error);
    }
    if (!created.value) {
      const served = await this.findJob(job.id);
      return served.map(() => ({}));
    }
    const items = job.items.length;
    const fields = {requestId, items, step, minVersion, epoch};
    log.writeEvent('job-accepted', fields);
    this.serveJob({job, records: [], isEnded: false});
    this.planNow();
    return ok({});
  }

  /** Reads results from a position on; may wait for the first. */
  async read(call: ReadCall, signal: AbortSignal): HomeAnswer<ResultsAnswer> {
    const {jobId, after, waitMs: limitMs} = call;
    const served = await this.findJob(jobId);
    if (served.isErr()) return err(served.error);
    await served.value.waitForResult(after, limitMs, signal);
    const results = served.value.listResults(after);
    return ok({total: served.value.state.items.size, results});
  }

  /** Reads the body of an item. */
  async readItem(call: ItemCall): HomeAnswer<object> {
    const served = await this.findJob(call.jobId);
    if (served.isErr()) return err(served.error);
    const item = served.value.state.items.get(call.itemId);
    if (item === undefined) {
      return err(createError('not-found', `no item ${call.itemId}`));
    }
    return ok({body: item.item.body});
  }

  /** Ends a job; confirmed when the store and the agents know it. */
  async end(jobId: string): HomeAnswer<object> {
    const served = await this.findJob(jobId);
    if (served.isErr()) return err(served.error);
    if (!served.value.state.isEnded) {
      this.scheduler.endJob(jobId, this.readMs());
      this.reportEnd(served.value);
      this.planNow();
    }
    if (served.value.isEndKept) return ok({});
    const [ended] = await Promise.all([
      this.options.ledger.endJob(jobId),
      this.links.waitForOrders(ORDERS_WAIT_MS),
    ]);
    if (ended.isErr()) void this.repeatEnd(jobId);
    else served.value.isEndKept = true;
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
  private async findJob(id: string): HomeAnswer<ServedJob> {
    const known = this.jobs.get(id);
    if (known !== undefined) {
      known.usedAtMs = this.readMs();
      return ok(known);
    }
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
    const {job, records, isEnded} = kept;
    const {clock, ledger, log, name, incarnation, findBounds} = this.options;
    const ageMs = Math.max(0, clock.readWallMs() - job.acceptedAtMs);
    const acceptedAtMs = this.readMs() - ageMs;
    const results = records.map(record => record.results);
    const state = isEnded
      ? this.scheduler.restoreEnded(job, acceptedAtMs, results)
      : this.scheduler.openJob(job, acceptedAtMs, results);
    const writer = JobWriter.create({
      state,
      ledger,
      writer: `${name}/${incarnation}`,
      findRunDeadline: () => findBounds(job)?.runDeadlineMs ?? Infinity,
      clock,
      log,
      onListed: listed => {
        this.countResults(state, listed.length);
        this.links.release(listed.map(result => result.itemId));
        served.wakeReaders();
      },
    });
    const served: ServedJob = ServedJob.create(state, writer);
    served.usedAtMs = this.readMs();
    served.isEndKept = isEnded;
    this.jobs.set(job.id, served);
    this.kept.set(job.id, job.acceptedAtMs);
    if (records.length > 0) {
      const fields = {requestId: job.id, results: state.results.length};
      log.writeEvent('job-adopted', {...fields, isEnded});
    }
    return served;
  }

  private countResults(state: JobState, count: number): void {
    const {burn, clock, findBounds} = this.options;
    const bounds = findBounds(state.job);
    if (bounds === undefined) return;
    const tookMs = this.readMs() - state.acceptedAtMs;
    const {runDeadlineMs} = bounds;
    const {route} = state.job;
    burn.recordResults(route, runDeadlineMs, tookMs, count, clock.readWallMs());
  }

  private reportEnd(served: ServedJob): void {
    const {state} = served;
    this.links.release(state.items.keys());
    this.options.log.writeEvent('job-ended', {
      requestId: state.job.id,
      results: state.results.length,
      groups: state.countWholeGroups(),
    });
    served.wakeReaders();
  }

  /** Lets ended jobs go, from memory and later from the store. */
  private sweepJobs(): void {
    const nowMs = this.readMs();
    const ended = [...this.jobs.values()]
      .filter(({state}) => state.isEnded)
      .map(job => job.describeEnded());
    for (const id of selectForgotten(ended, nowMs)) this.jobs.delete(id);
    const endMs = this.options.clock.readWallMs() - this.options.findKeepMs();
    for (const [id, acceptedAtMs] of this.kept) {
      if (acceptedAtMs >= endMs) continue;
      // A trainer that never ended its job will not read it any more.
      this.scheduler.endJob(id, nowMs);
      this.jobs.delete(id);
      void this.removeJob(id);
    }
  }

  private async removeJob(id: string): Promise<void> {
    const acceptedAtMs = this.kept.get(id) ?? 0;
    this.kept.delete(id);
    const removed = await this.options.ledger.removeJob(id);
    if (removed.isErr()) this.kept.set(id, acceptedAtMs);
    else this.options.log.writeEvent('job-removed', {requestId: id});
  }

  private requestPlan(): void {
    if (this.isPlanned) return;
    this.isPlanned = true;
    setImmediate(() => this.planNow());
  }

  private planNow(): void {
    this.isPlanned = false;
    if (this.isStopped) return;
    for (const {state, writer} of this.jobs.values()) {
      if (!state.isEnded) writer.schedule();
    }
    void this.progress.advance();
    for (const orders of this.scheduler.plan(this.readMs())) {
      void this.links.send(orders);
    }
  }
}
