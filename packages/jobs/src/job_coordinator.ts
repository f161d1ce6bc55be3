/**
 * The home of batch jobs with its I/O: takes calls of entries, carries out what
 * the scheduler plans, and writes results to the store. Everything that lasts
 * is in the store, so that another node can take over at any moment.
 */
import {
  BatchJob,
  BoundsFinder,
  Clock,
  BatchScheduler,
  JobProgress,
  JobState,
  RouteBurn,
  ServiceError,
  createError,
  restoreProgress,
} from '@sassafrasspan/core';
import type {PeerClient} from '@sassafrasspan/peers';
import {EventLog, Metrics, waitMs} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {AgentDescription, AgentLinks} from './agent_links';
import type {JobHeader, JobStore, StoredJob} from './job_store';
import type {ItemCall, ReadCall, ResultsAnswer} from './job_messages';
import {JobWriter} from './job_writer';
import {selectEvictions} from './job_eviction';
import {CheckpointWriter} from './checkpoint_writer';
import {ServedJob} from './served_job';

/** Time between plans when nothing happens, in ms. */
const PLAN_INTERVAL_MS = 50;
/** Time before an end that the store did not take is written again, in ms. */
const END_RETRY_MS = 500;
/** Time for agents to answer orders before an end is confirmed, in ms: they
 * answer within 5 ms, and what they start later they are told to stop. */
const ORDERS_WAIT_MS = 250;
/** Time between looks for jobs that need not be kept, in ms. */
const CLEANUP_INTERVAL_MS = 2_000;
/** Age of ended jobs that a new home still learns from, in ms: trainers have
 * two jobs under way. */
const MAX_LOADED_AGE_MS = 20_000;
/** Jobs of a model that a new home learns from. */
const MAX_LOADED_JOBS = 2;

/** What a home is built from. */
export interface JobCoordinatorOptions {
  readonly name: string;
  readonly epoch: number;
  readonly incarnation: string;
  readonly jobStore: JobStore;
  readonly peers: PeerClient;
  readonly findBounds: BoundsFinder;
  /** Returns the time from acceptance for which results can be read, in ms. */
  readonly findRetentionMs: () => number;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly burn: RouteBurn;
  /** Hears that a later home has taken over. */
  readonly onSuperseded: (detail: string) => void;
}

/** Result of a call. */
type CallResult<T> = Promise<Result<T, ServiceError>>;

/** The home of batch jobs. */
export class JobCoordinator {
  private readonly scheduler: BatchScheduler;
  private readonly links: AgentLinks;
  private readonly checkpoint: CheckpointWriter;
  private readonly jobs = new Map<string, ServedJob>();
  /** Jobs whose objects are in the store, with their time of acceptance. */
  private readonly storedJobs = new Map<string, number>();
  private readonly submissions = new Map<string, CallResult<object>>();
  /** Jobs whose end the store does not know yet. */
  private readonly unsavedEnds = new Set<string>();
  private isStopped = false;
  private runCount = 0;
  private isPlanRequested = false;
  private timers: NodeJS.Timeout[] = [];

  private constructor(private readonly options: JobCoordinatorOptions) {
    this.scheduler = BatchScheduler.create({
      findBounds: options.findBounds,
      epoch: options.epoch,
      createRunId: () => `${options.epoch}.${(this.runCount += 1)}`,
    });
    const {name, epoch, peers, clock, log, onSuperseded} = options;
    this.checkpoint = CheckpointWriter.create({
      listJobs: () => this.scheduler.listOpenJobs(),
      jobStore: options.jobStore,
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

  static create(options: JobCoordinatorOptions): JobCoordinator {
    return new JobCoordinator(options);
  }

  /** Takes up the jobs that the store keeps. */
  async start(): CallResult<void> {
    const [headers, checkpoint] = await Promise.all([
      this.options.jobStore.listJobs(),
      this.options.jobStore.readCheckpoint(),
    ]);
    if (headers.isErr()) return err(headers.error);
    const sorted = [...headers.value].sort(
      (a, b) => a.acceptedAtMs - b.acceptedAtMs,
    );
    for (const {id, acceptedAtMs} of sorted) {
      this.storedJobs.set(id, acceptedAtMs);
    }
    const open = sorted.filter(header => !header.isEnded);
    const jobs = await Promise.all(
      open.map(header => this.options.jobStore.readJob(header.id)),
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
      setInterval(() => this.removeOldJobs(), CLEANUP_INTERVAL_MS),
    ];
    void this.loadEndedJobs(sorted);
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
  private async loadEndedJobs(headers: readonly JobHeader[]): Promise<void> {
    const sinceMs = this.options.clock.readWallMs() - MAX_LOADED_AGE_MS;
    const counts = new Map<string, number>();
    for (const header of [...headers].reverse()) {
      if (!header.isEnded || header.acceptedAtMs < sinceMs) continue;
      const count = counts.get(header.model) ?? 0;
      if (count >= MAX_LOADED_JOBS || this.isStopped) continue;
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

  getEpoch(): number {
    return this.options.epoch;
  }

  /** Sets the agents and their endpoints. */
  setAgents(entries: readonly AgentDescription[]): void {
    this.links.setAgents(entries);
  }

  /** Notes the newest version that a trainer has named. */
  setNewestVersion(model: string, version: number): void {
    this.scheduler.setNewestVersion(model, version, this.readMs());
    this.requestPlan();
  }

  /** Accepts a job: once, and only when the store keeps it. */
  submit(job: BatchJob): CallResult<object> {
    const known = this.submissions.get(job.id);
    if (known !== undefined) return known;
    const opened = this.acceptJob(job).finally(() =>
      this.submissions.delete(job.id),
    );
    this.submissions.set(job.id, opened);
    return opened;
  }

  private async acceptJob(job: BatchJob): CallResult<object> {
    if (this.jobs.has(job.id)) return ok({});
    const {jobStore, log, epoch} = this.options;
    const {id: requestId, step, minVersion} = job;
    const created = await jobStore.createJob(job);
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
  async read(call: ReadCall, signal: AbortSignal): CallResult<ResultsAnswer> {
    const {jobId, after, waitMs: limitMs} = call;
    const served = await this.findJob(jobId);
    if (served.isErr()) return err(served.error);
    await served.value.waitForResult(after, limitMs, signal);
    const results = served.value.listResults(after);
    return ok({total: served.value.state.items.size, results});
  }

  /** Reads the body of an item. */
  async readItem(call: ItemCall): CallResult<object> {
    const served = await this.findJob(call.jobId);
    if (served.isErr()) return err(served.error);
    const item = served.value.state.items.get(call.itemId);
    if (item === undefined) {
      return err(createError('not-found', `no item ${call.itemId}`));
    }
    return ok({body: item.item.body});
  }

  /** Ends a job; confirmed when the store and the agents know it. */
  async end(jobId: string): CallResult<object> {
    const served = await this.findJob(jobId);
    if (served.isErr()) return err(served.error);
    if (!served.value.state.isEnded) {
      this.scheduler.endJob(jobId, this.readMs());
      this.handleEnd(served.value);
      this.planNow();
    }
    if (served.value.isEndConfirmed) return ok({});
    const [ended] = await Promise.all([
      this.options.jobStore.endJob(jobId),
      this.links.waitForOrders(ORDERS_WAIT_MS),
    ]);
    if (ended.isErr()) void this.retryEnd(jobId);
    else served.value.isEndConfirmed = true;
    return ended.map(() => ({}));
  }

  /** Marks an end in the store until that is done, whoever asked for it. */
  private async retryEnd(jobId: string): Promise<void> {
    if (this.unsavedEnds.has(jobId)) return;
    this.unsavedEnds.add(jobId);
    while (!this.isStopped) {
      await waitMs(END_RETRY_MS);
      const ended = await this.options.jobStore.endJob(jobId);
      if (ended.isOk() || ended.error.kind === 'not-found') break;
    }
    this.unsavedEnds.delete(jobId);
  }

  private readMs(): number {
    return this.options.clock.readMonotonicMs();
  }

  /** Finds a job here or in the store. */
  private async findJob(id: string): CallResult<ServedJob> {
    const known = this.jobs.get(id);
    if (known !== undefined) {
      known.lastUsedAtMs = this.readMs();
      return ok(known);
    }
    const kept = await this.options.jobStore.readJob(id);
    if (kept.isErr()) return err(kept.error);
    if (kept.value === undefined) {
      return err(createError('not-found', `no batch job ${id}`));
    }
    const served = this.jobs.get(id) ?? this.serveJob(kept.value);
    this.requestPlan();
    return ok(served);
  }

  private serveJob(kept: StoredJob): ServedJob {
    const {job, records, isEnded} = kept;
    const {clock, jobStore, log, name, incarnation, findBounds} = this.options;
    const ageMs = Math.max(0, clock.readWallMs() - job.acceptedAtMs);
    const acceptedAtMs = this.readMs() - ageMs;
    const results = records.map(record => record.results);
    const state = isEnded
      ? this.scheduler.restoreEnded(job, acceptedAtMs, results)
      : this.scheduler.openJob(job, acceptedAtMs, results);
    const writer = JobWriter.create({
      state,
      jobStore,
      writer: `${name}/${incarnation}`,
      findRunDeadline: () => findBounds(job)?.runDeadlineMs ?? Infinity,
      clock,
      log,
      onListed: listed => {
        this.recordResults(state, listed.length);
        this.links.releaseItems(listed.map(result => result.itemId));
        served.wakeReaders();
      },
    });
    const served: ServedJob = ServedJob.create(state, writer);
    served.lastUsedAtMs = this.readMs();
    served.isEndConfirmed = isEnded;
    this.jobs.set(job.id, served);
    this.storedJobs.set(job.id, job.acceptedAtMs);
    if (records.length > 0) {
      const fields = {requestId: job.id, results: state.results.length};
      log.writeEvent('job-adopted', {...fields, isEnded});
    }
    return served;
  }

  private recordResults(state: JobState, count: number): void {
    const {burn, clock, findBounds} = this.options;
    const bounds = findBounds(state.job);
    if (bounds === undefined) return;
    const tookMs = this.readMs() - state.acceptedAtMs;
    const {runDeadlineMs} = bounds;
    const {route} = state.job;
    burn.recordResults(route, runDeadlineMs, tookMs, count, clock.readWallMs());
  }

  private handleEnd(served: ServedJob): void {
    const {state} = served;
    this.links.releaseItems(state.items.keys());
    this.options.log.writeEvent('job-ended', {
      requestId: state.job.id,
      results: state.results.length,
      groups: state.countCompleteGroups(),
    });
    served.wakeReaders();
  }

  /** Lets ended jobs go, from memory and later from the store. */
  private removeOldJobs(): void {
    const nowMs = this.readMs();
    const ended = [...this.jobs.values()]
      .filter(({state}) => state.isEnded)
      .map(job => job.describeEnded());
    for (const id of selectEvictions(ended, nowMs)) this.jobs.delete(id);
    const endMs =
      this.options.clock.readWallMs() - this.options.findRetentionMs();
    for (const [id, acceptedAtMs] of this.storedJobs) {
      if (acceptedAtMs >= endMs) continue;
      // A trainer that never ended its job will not read it any more.
      this.scheduler.endJob(id, nowMs);
      this.jobs.delete(id);
      void this.removeJob(id);
    }
  }

  private async removeJob(id: string): Promise<void> {
    const acceptedAtMs = this.storedJobs.get(id) ?? 0;
    this.storedJobs.delete(id);
    const removed = await this.options.jobStore.removeJob(id);
    if (removed.isErr()) this.storedJobs.set(id, acceptedAtMs);
    else this.options.log.writeEvent('job-removed', {requestId: id});
  }

  private requestPlan(): void {
    if (this.isPlanRequested) return;
    this.isPlanRequested = true;
    setImmediate(() => this.planNow());
  }

  private planNow(): void {
    this.isPlanRequested = false;
    if (this.isStopped) return;
    for (const {state, writer} of this.jobs.values()) {
      if (!state.isEnded) writer.schedule();
    }
    void this.checkpoint.writeIfDue();
    for (const orders of this.scheduler.plan(this.readMs())) {
      void this.links.send(orders);
    }
  }
}
