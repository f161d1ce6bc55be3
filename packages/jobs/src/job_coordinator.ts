/**
 * The batch-job coordinator with its I/O: handles calls from entries, sends the
 * scheduler's orders (to start and stop runs and load weights) to agents, and
 * writes results to the store. All persistent state is in the store, so another
 * node can take over at any moment. In logs the request id is the job id.
 */
import {
  BatchJob,
  BatchScheduler,
  JobProgress,
  JobState,
  ServiceError,
  createError,
  restoreProgress,
} from '@sassafrasspan/core';
import {Result, err, ok} from 'neverthrow';
import {AgentDescription, AgentLinks} from './agent_links';
import {JobHeader, StoredJob, createOwnerConflict} from './job_store';
import type {EndCall, ItemCall, ReadCall, ResultsAnswer} from './job_messages';
import type {JobCoordinatorOptions} from './job_coordinator_options';
import {JobWriter} from './job_writer';
import {selectEndedJobs, selectEvictions} from './job_eviction';
import {CheckpointWriter} from './checkpoint_writer';
import {JobEndWriter} from './job_end_writer';
import {ItemCrashGuard} from './item_crash_guard';
import {JobExpiry} from './job_expiry';
import {JobScorer} from './job_scorer';
import {reportScarcity} from './scarcity_report';
import {ServedJob} from './served_job';

/** Maximum time between two plans, in ms; changes are planned at once. */
const PLAN_INTERVAL_MS = 50;
/** Time to wait for agents to answer orders before the end of a job is
 * confirmed, in ms. Agents answer within 5 ms, and are ordered to stop whatever
 * they start later. */
const ORDERS_WAIT_MS = 250;
/** Interval at which jobs are evicted and expired jobs removed, in ms. */
const CLEANUP_INTERVAL_MS = 2_000;

type CallResult<T> = Promise<Result<T, ServiceError>>;

/** The coordinator in one epoch; must be started before it is called. */
export class JobCoordinator {
  private readonly scheduler: BatchScheduler;
  private readonly guard: ItemCrashGuard;
  private readonly links: AgentLinks;
  private readonly checkpoint: CheckpointWriter;
  private readonly scorer: JobScorer;
  /** Served jobs, which are those in memory, by id. */
  private readonly jobs = new Map<string, ServedJob>();
  private readonly expiry: JobExpiry;
  /** Submissions in progress, by job id. */
  private readonly submissions = new Map<string, CallResult<object>>();
  private readonly endWriter: JobEndWriter;
  private isStopped = false;
  private runCount = 0;
  private isPlanRequested = false;
  private timers: NodeJS.Timeout[] = [];

  private constructor(private readonly options: JobCoordinatorOptions) {
    this.guard = ItemCrashGuard.create(options);
    this.scheduler = BatchScheduler.create({
      ...options,
      onRunEnded: (...run) => this.guard.recordRunEnd(...run),
      createRunId: () => `${options.epoch}.${(this.runCount += 1)}`,
    });
    const {jobStore, clock} = options;
    this.checkpoint = CheckpointWriter.create({
      listJobs: () => this.scheduler.listOpenJobs(),
      ...{jobStore, clock},
    });
    this.endWriter = JobEndWriter.create(options.jobStore);
    this.expiry = JobExpiry.create(options);
    this.scorer = JobScorer.create({
      ...options,
      scheduler: this.scheduler,
      caller: options.scoringCaller,
      findMaxFailures: ({job}) => options.findBounds(job)?.maxAttempts ?? 0,
      onChanged: () => this.requestPlan(),
    });
    this.links = AgentLinks.create({
      ...options,
      scheduler: this.scheduler,
      onChanged: () => this.requestPlan(),
    });
  }

  static create(options: JobCoordinatorOptions): JobCoordinator {
    return new JobCoordinator(options);
  }

  /** Loads the open jobs from the store and resumes them. */
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
      this.expiry.add(id, acceptedAtMs);
    }
    const openHeaders = sorted.filter(header => !header.isEnded);
    const reads = await Promise.all(
      openHeaders.map(header => this.options.jobStore.readJob(header.id)),
    );
    const jobs = Result.combine(reads);
    if (jobs.isErr()) return err(jobs.error);
    const progress = this.useCheckpoint(checkpoint);
    for (const job of jobs.value) {
      if (job === undefined) continue;
      const {state} = this.serveJob(job);
      restoreProgress(state, progress, this.readMs());
    }
    // Items start once all agents have reported their runs, or after a timeout.
    this.scheduler.startTakeover(this.readMs());
    this.timers = [
      setInterval(() => this.planNow(), PLAN_INTERVAL_MS),
      setInterval(() => this.removeOldJobs(), CLEANUP_INTERVAL_MS),
    ];
    void this.loadEndedJobs(sorted);
    return ok(undefined);
  }

  /** Returns the saved progress, or none if it couldn't be read: restarting some items is better than
   * delaying all of them until the checkpoint can be read. */
  private useCheckpoint(
    checkpoint: Result<JobProgress[], ServiceError>,
  ): JobProgress[] {
    if (checkpoint.isOk()) return checkpoint.value;
    const {detail} = checkpoint.error;
    this.options.log.writeEvent('checkpoint-unread', {detail});
    return [];
  }

  /** Loads recently ended jobs, whose items later jobs may contain again. */
  private async loadEndedJobs(headers: readonly JobHeader[]): Promise<void> {
    const nowMs = this.options.clock.readWallMs();
    for (const {id} of selectEndedJobs(headers, nowMs)) {
      if (!this.isStopped) await this.findJob(id);
    }
  }

  /** Stops at once; runs continue at the agents. */
  stop(): void {
    this.isStopped = true;
    this.endWriter.stop();
    for (const timer of this.timers) clearInterval(timer);
    this.links.stop();
    this.scorer.stop();
    for (const job of this.jobs.values()) job.stop();
  }

  getEpoch(): number {
    return this.options.epoch;
  }

  setAgents(agents: readonly AgentDescription[]): void {
    this.links.setAgents(agents);
  }

  /** Sets the newest weight version that a trainer has published. */
  setNewestVersion(model: string, version: number): void {
    this.scheduler.setNewestVersion(model, version, this.readMs());
    this.requestPlan();
  }

  /** Accepts a job once it is stored; a repeated submission has no effect. */
  submit(job: BatchJob): CallResult<object> {
    const pending = this.submissions.get(job.id);
    if (pending !== undefined) return pending;
    const accepted = this.acceptJob(job).finally(() =>
      this.submissions.delete(job.id),
    );
    this.submissions.set(job.id, accepted);
    return accepted;
  }

  private async acceptJob(job: BatchJob): CallResult<object> {
    const known = this.jobs.get(job.id)?.state.job;
    if (known !== undefined) {
      if (known.customer === job.customer) return ok({});
      return err(createOwnerConflict(job.id));
    }
    const {jobStore, log, epoch} = this.options;
    const {id: requestId, step, minVersion, desiredGroups} = job;
    const created = await jobStore.createJob(job);
    if (created.isErr()) {
      const {kind, detail} = created.error;
      log.writeEvent('job-refused', {requestId, kind, detail});
      return err(created.error);
    }
    if (!created.value) {
      const served = await this.findJobOf(job.id, job.customer);
      return served.map(() => ({}));
    }
    const items = job.items.length;
    const fields = {requestId, items, step, minVersion, desiredGroups, epoch};
    log.writeEvent('job-accepted', fields);
    this.serveJob({job, records: [], isEnded: false});
    this.planNow();
    return ok({});
  }

  /** Reads the results after a position; waits until there is one. */
  async read(call: ReadCall, signal: AbortSignal): CallResult<ResultsAnswer> {
    const {jobId, customer, after, waitMs: limitMs} = call;
    const served = await this.findJobOf(jobId, customer);
    if (served.isErr()) return err(served.error);
    await served.value.waitForResult(after, limitMs, signal);
    const results = served.value.listResults(after);
    return ok({total: served.value.state.items.size, results});
  }

  async readItem(call: ItemCall): CallResult<object> {
    const served = await this.findJobOf(call.jobId, call.customer);
    if (served.isErr()) return err(served.error);
    const item = served.value.state.items.get(call.itemId);
    if (item === undefined) {
      return err(createError('not-found', `no item ${call.itemId}`));
    }
    return ok({body: item.item.body});
  }

  /** Ends a job; resolves when the end is stored and the agents have answered
   * the orders to stop, or had time to. A successor reads the stored jobs once, when
   * its epoch begins, so that only an end stored before that is known to it. */
  async end({jobId, customer}: EndCall): CallResult<object> {
    const served = await this.findJobOf(jobId, customer);
    if (served.isErr()) return err(served.error);
    if (!served.value.state.isEnded) {
      this.scheduler.endJob(jobId, this.readMs());
      this.handleEnd(served.value);
      this.planNow();
    }
    if (served.value.isEndConfirmed) return ok({});
    const [ended] = await Promise.all([
      this.endWriter.write(jobId),
      this.links.waitForOrders(ORDERS_WAIT_MS),
    ]);
    if (ended.isErr()) return err(ended.error);
    const confirmed = await this.options.verifyEpoch();
    if (confirmed.isErr()) {
      const {kind, detail} = confirmed.error;
      const fields = {
        requestId: jobId,
        epoch: this.options.epoch,
        kind,
        detail,
      };
      this.options.log.writeEvent('job-end-unconfirmed', fields);
      return err(confirmed.error);
    }
    served.value.isEndConfirmed = true;
    return ok({});
  }

  private readMs(): number {
    return this.options.clock.readMonotonicMs();
  }

  /** Returns a job of a customer; the jobs of others are not found. */
  private async findJobOf(
    id: string,
    customer: string | undefined,
  ): CallResult<ServedJob> {
    const served = await this.findJob(id);
    if (served.isErr()) return served;
    const owner = served.value.state.job.customer;
    if (owner === undefined || owner === customer) return served;
    return err(createError('not-found', `no batch job ${id} of the caller`));
  }

  /** Returns a job from memory, or loads it from the store. */
  private async findJob(id: string): CallResult<ServedJob> {
    const loaded = this.jobs.get(id);
    if (loaded !== undefined) {
      loaded.lastUsedAtMs = this.readMs();
      return ok(loaded);
    }
    const stored = await this.options.jobStore.readJob(id);
    if (stored.isErr()) return err(stored.error);
    if (stored.value === undefined) {
      return err(createError('not-found', `no batch job ${id}`));
    }
    const served = this.jobs.get(id) ?? this.serveJob(stored.value);
    this.requestPlan();
    return ok(served);
  }

  private serveJob(stored: StoredJob): ServedJob {
    const {job, records, isEnded} = stored;
    const {clock, jobStore, log, name, incarnation, findBounds} = this.options;
    const ageMs = Math.max(0, clock.readWallMs() - job.acceptedAtMs);
    const acceptedAtMs = this.readMs() - ageMs;
    const results = records.map(record => record.results);
    const state = isEnded
      ? this.scheduler.restoreEnded(job, acceptedAtMs, results)
      : this.scheduler.openJob(job, acceptedAtMs, results);
    if (!isEnded) this.guard.addJob(state);
    const writer = JobWriter.create({
      state,
      jobStore,
      writer: `${name}/${incarnation}`,
      findBounds: () => findBounds(job),
      clock,
      log,
      onListed: listed => {
        this.recordResults(state, listed.length);
        this.links.releaseItems(listed.map(result => result.itemId));
        served.wakeReaders();
      },
    });
    const served: ServedJob = ServedJob.create({
      ...{state, writer, clock},
      findTokensPerEvent: () => findBounds(job)?.tokensPerEvent,
    });
    served.lastUsedAtMs = this.readMs();
    served.isEndConfirmed = isEnded;
    this.jobs.set(job.id, served);
    this.expiry.add(job.id, job.acceptedAtMs);
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
    this.scorer.endJob(state.job.id);
    this.options.log.writeEvent('job-ended', {
      requestId: state.job.id,
      results: state.results.length,
      groups: state.countCompleteGroups(),
    });
    served.wakeReaders();
  }

  /** Evicts ended jobs from memory, and removes expired jobs from the store. */
  private removeOldJobs(): void {
    const nowMs = this.readMs();
    const ended = [...this.jobs.values()]
      .filter(({state}) => state.isEnded)
      .map(job => job.describeEnded());
    for (const id of selectEvictions(ended, nowMs)) this.jobs.delete(id);
    for (const id of this.expiry.removeExpired()) {
      // The trainer may not have ended the job, but won't read it any more.
      this.scheduler.endJob(id, nowMs);
      this.scorer.endJob(id);
      this.jobs.delete(id);
    }
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
    this.guard.update();
    for (const orders of this.scheduler.plan(this.readMs())) {
      void this.links.send(orders);
    }
    const {log, metrics} = this.options;
    reportScarcity(this.scheduler, log, metrics);
    this.scorer.startCalls();
  }
}
