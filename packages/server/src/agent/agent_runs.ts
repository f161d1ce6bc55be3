/**
 * The runs of an agent: takes dispatches, queues them, hands them to their
 * endpoints and keeps the answers until their entries have them.
 */
import {
  Admission,
  LeaveState,
  PauseDetector,
  Revocation,
  RunFailure,
  RunRecord,
  RunSink,
  RunStatus,
  RunTable,
  ServiceError,
  IsolationQueue,
  Work,
  createError,
  formatRunKey,
} from '@sassafrasspan/core';
import {
  AcknowledgeRequest,
  MessageWriter,
  ResumeRequest,
  RunFrame,
  RunRequest,
  decodeWork,
  encodeRefusal,
} from '@sassafrasspan/nodes';
import {Result, err, ok} from 'neverthrow';
import type {AgentRunsOptions} from './agent_runs_options';
import {sendFailure, streamAnswer} from './answer_stream';
import type {EndpointUnit} from './endpoint_unit';
import {createConditionRefusal} from './condition_refusals';
import {CrashWatch} from './crash_watch';
import {KeyClaims} from './key_claims';

const LATE = 'the deadline passed while the request waited';
const MISSED_DEADLINE = createError('deadline-unmeetable', LATE);

/** Work of a run that waits for its slot. */
interface PendingWork {
  readonly work: Work;
  readonly priority: number;
}

/** All runs of one agent. */
export class AgentRuns {
  private readonly table: RunTable;
  private readonly keys: KeyClaims;
  private readonly crashes: CrashWatch;
  private readonly lanes = new Map<string, IsolationQueue>();
  private readonly pending = new Map<string, PendingWork>();
  private readonly leaves = LeaveState.create();
  private readonly pauses: PauseDetector;

  private constructor(private readonly options: AgentRunsOptions) {
    const {incarnation} = options;
    this.table = options.table ?? RunTable.create({incarnation});
    this.pauses = options.pauses ?? PauseDetector.create();
    const {clock, getRulesRevision, getHomes} = options;
    const units = [...options.units.values()];
    const services = units.map(unit => unit.settings.service);
    this.crashes = CrashWatch.create({...options, table: this.table});
    this.keys = KeyClaims.create({
      clock,
      services,
      getRulesRevision,
      getHomes,
      table: options.keyTable,
    });
  }

  /** Builds the runs of a new life of an agent. */
  static create(options: AgentRunsOptions): AgentRuns {
    return new AgentRuns(options);
  }

  /** Takes a dispatch and streams its answer. */
  runRequest(request: RunRequest, writer: MessageWriter<RunFrame>): void {
    const admitted = this.admitRequest(request);
    if (admitted.isErr()) {
      return this.refuseRun(request, admitted.error, writer);
    }
    const admission = admitted.value;
    if (admission.type === 'forgotten') {
      return sendFailure(request, admission.error, writer);
    }
    const {record} = admission;
    const {attempt} = request;
    streamAnswer({...this.options, record, attempt, fromOffset: 0, writer});
    this.startWaiting(request.endpoint);
  }

  private refuseRun(
    request: RunRequest,
    error: ServiceError,
    writer: MessageWriter<RunFrame>,
  ): void {
    const {kind, detail} = error;
    const {requestId} = request;
    this.options.metrics.addCount('runs_refused_total', {kind});
    this.options.log.writeEvent('run-refused', {requestId, kind, detail});
    writer.send(encodeRefusal(request, error));
    writer.end();
  }

  private admitRequest(request: RunRequest): Result<Admission, ServiceError> {
    const unit = this.options.units.get(request.endpoint);
    if (unit === undefined) {
      const detail = `no endpoint ${request.endpoint} here`;
      return err(createError('no-endpoint', detail));
    }
    this.crashes.adoptCrash(request.fingerprint, request.crashId);
    const work = decodeWork(request.work);
    if (work === undefined) return err(createError('bad-request', 'no work'));
    const admitted = this.table.admitDispatch(request, {
      rulesRevision: this.options.getRulesRevision(),
      nowMs: this.options.clock.readMonotonicMs(),
      refusal: this.keys.isMaybeUsed(request)
        ? undefined
        : this.findRefusal(request, unit),
    });
    return admitted.andThen(admission => {
      if (admission.type !== 'new') return ok(admission);
      return this.takeNew(request, admission, unit, work);
    });
  }

  private takeNew(
    request: RunRequest,
    admission: Extract<Admission, {type: 'new'}>,
    unit: EndpointUnit,
    work: Work,
  ): Result<Admission, ServiceError> {
    const {record} = admission;
    const claim = this.keys.claimKey(request, record);
    if (claim.isErr()) {
      record.answer.fail(claim.error);
    }
    if (record.answer.hasEnded()) {
      this.table.markFinished(record, record.admittedAtMs);
      return ok(admission);
    }
    const refusal = this.queueRun(request, record, unit, work);
    return refusal === undefined ? ok(admission) : err(refusal);
  }

  private findRefusal(
    request: RunRequest,
    unit: EndpointUnit,
  ): ServiceError | undefined {
    if (this.options.quarantine.isQuarantined(request.fingerprint)) {
      return createError('quarantined', 'this request crashes endpoints');
    }
    if (this.pauses.isWaking(this.options.clock.readMonotonicMs())) {
      return createError('stale-dispatch', 'the agent has just woken');
    }
    return createConditionRefusal(unit.getCondition());
  }

  private queueRun(
    request: RunRequest,
    record: RunRecord,
    unit: EndpointUnit,
    work: Work,
  ): ServiceError | undefined {
    const {priority} = request;
    const deadlineTick = record.admittedAtMs + request.budgetMs;
    if (this.options.quarantine.isSuspect(request.fingerprint)) {
      this.pending.set(record.key, {work, priority});
      this.getLane(request.endpoint).addSuspect({
        key: record.key,
        deadlineAtMs: deadlineTick,
      });
      return undefined;
    }
    const refusal = unit.queue.offerWork({
      requestId: record.key,
      customer: request.customer,
      priority,
      expectedTokens: request.expectedTokens,
      deadlineAtMs: deadlineTick,
    });
    if (refusal !== undefined) {
      const detail = 'the queue of the endpoint is too long';
      const error = createError(refusal, detail);
      this.table.refuseQueued(record, error, record.admittedAtMs);
      return error;
    }
    this.pending.set(record.key, {work, priority});
    return undefined;
  }

  private getLane(endpoint: string): IsolationQueue {
    const lane = this.lanes.get(endpoint) ?? IsolationQueue.create();
    this.lanes.set(endpoint, lane);
    return lane;
  }

  /** Hands waiting work to an endpoint while it has free slots. */
  private startWaiting(endpoint: string): void {
    const unit = this.options.units.get(endpoint);
    if (unit === undefined || unit.getCondition() === 'down') return;
    const tick = this.options.clock.readMonotonicMs();
    const isOverdue = this.leaves.isPastStartGrace(endpoint, tick);
    if (isOverdue || this.pauses.isWaking(tick)) return;
    const lane = this.getLane(endpoint);
    if (lane.isOccupied()) return this.startSuspect(unit, lane);
    for (;;) {
      const next = unit.queue.takeNext();
      if (next === undefined) return;
      this.startRun(unit, next.requestId, next.deadlineAtMs);
    }
  }

  /** Starts a suspect once nothing else runs. */
  private startSuspect(unit: EndpointUnit, lane: IsolationQueue): void {
    if (unit.handles.size > 0) return;
    const next = lane.takeNext();
    if (next !== undefined) this.startRun(unit, next.key, next.deadlineAtMs);
  }

  private startRun(
    unit: EndpointUnit,
    key: string,
    deadlineTick: number,
  ): void {
    const record = this.table.findByKey(key);
    const pending = this.pending.get(key);
    this.pending.delete(key);
    if (record === undefined || pending === undefined) {
      this.getLane(unit.settings.name).releaseSuspect(key);
      unit.queue.releaseSlot(key);
      return;
    }
    const {requestId} = record.dispatch;
    const leftMs = deadlineTick - this.options.clock.readMonotonicMs();
    const budgetMs = Math.max(1, leftMs);
    this.table.markRunning(record);
    this.options.log.writeEvent('run-started', {requestId});
    const run = {requestId, budgetMs, ...pending};
    const handle = unit.driver.startRun(run, this.createSink(unit, record));
    if (record.state === 'running') unit.handles.set(key, handle);
  }

  private createSink(unit: EndpointUnit, record: RunRecord): RunSink {
    const {answer, dispatch} = record;
    return {
      setHead: head => answer.setHead(head),
      appendData: (data, version, tokens) =>
        answer.appendData(data, version, tokens),
      finish: report => {
        answer.finish(report);
        this.options.quarantine.clear(dispatch.fingerprint);
        this.endRun(unit, record);
      },
      fail: failure => this.failRun(unit, record, failure),
    };
  }

  private failRun(
    unit: EndpointUnit,
    record: RunRecord,
    failure: RunFailure,
  ): void {
    const crashId = failure.isCrash
      ? this.crashes.recordCrash(unit, record.key)
      : undefined;
    record.answer.fail({...failure.error, crashId});
    this.endRun(unit, record);
  }

  private endRun(unit: EndpointUnit, record: RunRecord): void {
    const {requestId} = record.dispatch;
    const tick = this.options.clock.readMonotonicMs();
    unit.handles.delete(record.key);
    this.crashes.removeRun(record.key);
    this.getLane(unit.settings.name).releaseSuspect(record.key);
    unit.queue.releaseSlot(record.key);
    this.table.markFinished(record, tick);
    this.options.metrics.addCount('runs_ended_total', {
      endpoint: unit.settings.name,
    });
    const durationMs = tick - record.admittedAtMs;
    this.options.metrics.recordMs('run_ms', {}, durationMs);
    this.options.log.writeEvent('run-ended', {requestId, durationMs});
    this.startWaiting(unit.settings.name);
  }

  /** Streams a kept answer from an offset; never that of another run. */
  resumeRun(request: ResumeRequest, writer: MessageWriter<RunFrame>): void {
    const own = this.options.incarnation;
    const isOther = (request.incarnation ?? own) !== own;
    const record = isOther ? undefined : this.table.findRecord(request);
    const attempt = request.attempt ?? record?.dispatch.attempt ?? 0;
    if (record !== undefined) {
      record.entries.add(request.entry);
      const {fromOffset} = request;
      const stream = {record, attempt, fromOffset, writer};
      return streamAnswer({...this.options, ...stream});
    }
    const error = createError('agent-lost', 'the agent holds no such run');
    sendFailure({requestId: request.requestId, attempt}, error, writer);
  }

  /** Makes sure that a dispatch does not start, or tells its state. */
  revokeRun(revocation: Revocation): RunStatus {
    const tick = this.options.clock.readMonotonicMs();
    const status = this.table.revokeRun(revocation, tick);
    if (status === 'not-run') {
      this.removeWaiting(
        formatRunKey(revocation.requestId, revocation.attempt),
      );
    }
    return status;
  }

  /** Releases a kept answer, or cancels work that nobody waits for. */
  acknowledgeRun(request: AcknowledgeRequest): boolean {
    const record = this.table.findRecord(request);
    if (record === undefined) return false;
    const isUnfollowed = this.table.releaseRun(record, request.entry ?? '');
    if (!isUnfollowed || !request.cancel) return true;
    const tick = this.options.clock.readMonotonicMs();
    const error = createError('revoked', 'the request was given up');
    this.removeWaiting(record.key);
    this.table.refuseQueued(record, error, tick);
    const unit = this.options.units.get(record.dispatch.endpoint);
    unit?.handles.get(record.key)?.cancel();
    return true;
  }

  private removeWaiting(key: string): void {
    this.pending.delete(key);
    for (const unit of this.options.units.values()) {
      unit.queue.removeWaiting(key);
      this.getLane(unit.settings.name).removeSuspect(key);
    }
  }

  /** Lists the kept runs whose request id begins with a prefix. */
  listRuns(prefix: string): RunRecord[] {
    return this.table.listRecords(prefix);
  }

  /** Ends what has waited past its deadline and forgets what has expired. */
  sweep(): void {
    const tick = this.options.clock.readMonotonicMs();
    this.pauses.observeTime(tick);
    for (const unit of this.options.units.values()) {
      for (const work of unit.queue.takeExpired(tick)) {
        this.refuseWaiting(work.requestId, MISSED_DEADLINE, tick);
      }
      this.refuseLeft(unit, tick);
      this.startWaiting(unit.settings.name);
    }
    this.table.removeExpired(tick);
    this.keys.sweep();
  }

  /** Refuses what still waits for an endpoint whose time is over. */
  private refuseLeft(unit: EndpointUnit, tick: number): void {
    const {name} = unit.settings;
    this.leaves.observeEndpoint(name, unit.getCondition(), tick);
    if (!this.leaves.isPastStartGrace(name, tick)) return;
    const error = createError('draining', 'the endpoint is leaving');
    for (const work of unit.queue.takeExpired(Infinity)) {
      this.refuseWaiting(work.requestId, error, tick);
    }
  }

  private refuseWaiting(key: string, error: ServiceError, tick: number): void {
    this.pending.delete(key);
    const record = this.table.findByKey(key);
    if (record !== undefined) this.table.refuseQueued(record, error, tick);
  }

  /** Returns how many answers are kept for entries that need them. */
  countKept(): number {
    return this.table.countRecords();
  }

  /** Tells whether every run has ended. */
  isIdle(): boolean {
    const units = [...this.options.units.values()];
    return units.every(
      unit =>
        unit.queue.countRunning() + unit.queue.countWaiting() === 0 &&
        !this.getLane(unit.settings.name).isOccupied(),
    );
  }
}
