/**
 * The runs of an agent: admits dispatches, queues them, starts them on their
 * endpoints and retains the answers until the entries have received them.
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
import type {ManagedEndpoint} from './managed_endpoint';
import {createConditionRefusal} from './condition_refusals';
import {CrashTracker} from './crash_tracker';
import {IdempotencyKeys} from './idempotency_keys';

const MISSED_DEADLINE = createError(
  'deadline-unmeetable',
  'the deadline passed while the request was queued',
);

/** Work of a run that is queued for a slot. */
interface PendingWork {
  readonly work: Work;
  readonly priority: number;
}

export class AgentRuns {
  private readonly table: RunTable;
  private readonly idempotencyKeys: IdempotencyKeys;
  private readonly crashTracker: CrashTracker;
  private readonly isolationQueues = new Map<string, IsolationQueue>();
  private readonly pendingWork = new Map<string, PendingWork>();
  private readonly leaveState = LeaveState.create();
  private readonly pauseDetector: PauseDetector;

  private constructor(private readonly options: AgentRunsOptions) {
    const {incarnation} = options;
    this.table = options.table ?? RunTable.create({incarnation});
    this.pauseDetector = options.pauseDetector ?? PauseDetector.create();
    const {clock, getRulesRevision, getKeyOwners} = options;
    const endpoints = [...options.endpoints.values()];
    const services = endpoints.map(endpoint => endpoint.settings.service);
    this.crashTracker = CrashTracker.create({...options, table: this.table});
    this.idempotencyKeys = IdempotencyKeys.create({
      clock,
      services,
      getRulesRevision,
      getKeyOwners,
      table: options.keyTable,
    });
  }

  static create(options: AgentRunsOptions): AgentRuns {
    return new AgentRuns(options);
  }

  /** Admits a dispatch and streams its answer, or refuses it. */
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
    this.startQueuedRuns(request.endpoint);
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
    const endpoint = this.options.endpoints.get(request.endpoint);
    if (endpoint === undefined) {
      const detail = `this agent has no endpoint ${request.endpoint}`;
      return err(createError('no-endpoint', detail));
    }
    this.crashTracker.recordReportedCrash(request.fingerprint, request.crashId);
    const work = decodeWork(request.work);
    if (work === undefined) return err(createError('bad-request', 'no work'));
    const admitted = this.table.admitDispatch(request, {
      rulesRevision: this.options.getRulesRevision(),
      nowMs: this.options.clock.readMonotonicMs(),
      refusal: this.idempotencyKeys.isPossiblyUsed(request)
        ? undefined
        : this.findRefusal(request, endpoint),
    });
    return admitted.andThen(admission => {
      if (admission.type !== 'new') return ok(admission);
      return this.acceptRun(request, admission, endpoint, work);
    });
  }

  private acceptRun(
    request: RunRequest,
    admission: Extract<Admission, {type: 'new'}>,
    endpoint: ManagedEndpoint,
    work: Work,
  ): Result<Admission, ServiceError> {
    const {record} = admission;
    const claim = this.idempotencyKeys.claimKey(request, record);
    if (claim.isErr()) {
      record.answer.fail(claim.error);
    }
    if (record.answer.hasEnded()) {
      this.table.markFinished(record, record.admittedAtMs);
      return ok(admission);
    }
    const refusal = this.queueRun(request, record, endpoint, work);
    return refusal === undefined ? ok(admission) : err(refusal);
  }

  private findRefusal(
    request: RunRequest,
    endpoint: ManagedEndpoint,
  ): ServiceError | undefined {
    if (this.options.quarantine.isQuarantined(request.fingerprint)) {
      return createError('quarantined', 'this request crashes endpoints');
    }
    if (this.pauseDetector.isWaking(this.options.clock.readMonotonicMs())) {
      return createError('stale-dispatch', 'the agent resumed from a pause');
    }
    return createConditionRefusal(endpoint.getCondition());
  }

  private queueRun(
    request: RunRequest,
    record: RunRecord,
    endpoint: ManagedEndpoint,
    work: Work,
  ): ServiceError | undefined {
    const {priority} = request;
    const deadlineAtMs = record.admittedAtMs + request.budgetMs;
    if (this.options.quarantine.isSuspect(request.fingerprint)) {
      this.pendingWork.set(record.key, {work, priority});
      this.getIsolationQueue(request.endpoint).addSuspect({
        key: record.key,
        deadlineAtMs,
      });
      return undefined;
    }
    const refusal = endpoint.queue.offerWork({
      requestId: record.key,
      customer: request.customer,
      priority,
      expectedTokens: request.expectedTokens,
      deadlineAtMs,
    });
    if (refusal !== undefined) {
      const detail = 'the queue is full or too long for the deadline';
      const error = createError(refusal, detail);
      this.table.refuseQueued(record, error, record.admittedAtMs);
      return error;
    }
    this.pendingWork.set(record.key, {work, priority});
    return undefined;
  }

  private getIsolationQueue(endpointName: string): IsolationQueue {
    const queue =
      this.isolationQueues.get(endpointName) ?? IsolationQueue.create();
    this.isolationQueues.set(endpointName, queue);
    return queue;
  }

  /** Starts queued runs in free slots; suspect runs go first, each alone. */
  private startQueuedRuns(endpointName: string): void {
    const endpoint = this.options.endpoints.get(endpointName);
    if (endpoint === undefined || endpoint.getCondition() === 'down') return;
    const nowMs = this.options.clock.readMonotonicMs();
    const isPastGrace = this.leaveState.isPastStartGrace(endpointName, nowMs);
    if (isPastGrace || this.pauseDetector.isWaking(nowMs)) return;
    const queue = this.getIsolationQueue(endpointName);
    if (queue.isOccupied()) return this.startSuspect(endpoint, queue);
    for (;;) {
      const next = endpoint.queue.takeNext();
      if (next === undefined) return;
      this.startRun(endpoint, next.requestId, next.deadlineAtMs);
    }
  }

  /** Starts a suspect run if nothing else runs on the endpoint. */
  private startSuspect(endpoint: ManagedEndpoint, queue: IsolationQueue): void {
    if (endpoint.handles.size > 0) return;
    const next = queue.takeNext();
    if (next !== undefined) {
      this.startRun(endpoint, next.key, next.deadlineAtMs);
    }
  }

  private startRun(
    endpoint: ManagedEndpoint,
    key: string,
    deadlineAtMs: number,
  ): void {
    const record = this.table.findByKey(key);
    const pending = this.pendingWork.get(key);
    this.pendingWork.delete(key);
    if (record === undefined || pending === undefined) {
      this.getIsolationQueue(endpoint.settings.name).releaseSuspect(key);
      endpoint.queue.releaseSlot(key);
      return;
    }
    const {requestId} = record.dispatch;
    const remainingMs = deadlineAtMs - this.options.clock.readMonotonicMs();
    const budgetMs = Math.max(1, remainingMs);
    this.table.markRunning(record);
    this.options.log.writeEvent('run-started', {requestId});
    const run = {requestId, budgetMs, ...pending};
    const sink = this.createSink(endpoint, record);
    const handle = endpoint.driver.startRun(run, sink);
    if (record.state === 'running') endpoint.handles.set(key, handle);
  }

  private createSink(endpoint: ManagedEndpoint, record: RunRecord): RunSink {
    const {answer, dispatch} = record;
    return {
      setHead: head => answer.setHead(head),
      appendData: (data, version, tokens) =>
        answer.appendData(data, version, tokens),
      finish: report => {
        answer.finish(report);
        this.options.quarantine.clear(dispatch.fingerprint);
        this.endRun(endpoint, record);
      },
      fail: failure => this.failRun(endpoint, record, failure),
    };
  }

  private failRun(
    endpoint: ManagedEndpoint,
    record: RunRecord,
    failure: RunFailure,
  ): void {
    const crashId = failure.isCrash
      ? this.crashTracker.recordCrash(endpoint, record.key)
      : undefined;
    record.answer.fail({...failure.error, crashId});
    this.endRun(endpoint, record);
  }

  private endRun(endpoint: ManagedEndpoint, record: RunRecord): void {
    const {requestId} = record.dispatch;
    const nowMs = this.options.clock.readMonotonicMs();
    endpoint.handles.delete(record.key);
    this.crashTracker.removeRun(record.key);
    this.getIsolationQueue(endpoint.settings.name).releaseSuspect(record.key);
    endpoint.queue.releaseSlot(record.key);
    this.table.markFinished(record, nowMs);
    this.options.metrics.addCount('runs_ended_total', {
      endpoint: endpoint.settings.name,
    });
    const durationMs = nowMs - record.admittedAtMs;
    this.options.metrics.recordMs('run_ms', {}, durationMs);
    this.options.log.writeEvent('run-ended', {requestId, durationMs});
    this.startQueuedRuns(endpoint.settings.name);
  }

  /** Streams a retained answer; `agent-lost` if this incarnation lacks it. */
  resumeRun(request: ResumeRequest, writer: MessageWriter<RunFrame>): void {
    const {incarnation} = this.options;
    const isOther = (request.incarnation ?? incarnation) !== incarnation;
    const record = isOther ? undefined : this.table.findRecord(request);
    const attempt = request.attempt ?? record?.dispatch.attempt ?? 0;
    if (record !== undefined) {
      record.entries.add(request.entry);
      const {fromOffset} = request;
      const stream = {record, attempt, fromOffset, writer};
      return streamAnswer({...this.options, ...stream});
    }
    const error = createError('agent-lost', 'the agent does not have this run');
    sendFailure({requestId: request.requestId, attempt}, error, writer);
  }

  /** Prevents a dispatch from starting; returns its state if it has. */
  revokeRun(revocation: Revocation): RunStatus {
    const nowMs = this.options.clock.readMonotonicMs();
    const status = this.table.revokeRun(revocation, nowMs);
    if (status === 'not-run') {
      this.removeQueued(formatRunKey(revocation.requestId, revocation.attempt));
    }
    return status;
  }

  /**
   * Releases a run for an entry. If no entry uses it any more and the request
   * says so, cancels it. Returns false if the run is unknown.
   */
  acknowledgeRun(request: AcknowledgeRequest): boolean {
    const record = this.table.findRecord(request);
    if (record === undefined) return false;
    const isUnused = this.table.releaseRun(record, request.entry ?? '');
    if (!isUnused || !request.cancel) return true;
    const nowMs = this.options.clock.readMonotonicMs();
    const error = createError('revoked', 'the request was cancelled');
    this.removeQueued(record.key);
    this.table.refuseQueued(record, error, nowMs);
    const endpoint = this.options.endpoints.get(record.dispatch.endpoint);
    endpoint?.handles.get(record.key)?.cancel();
    return true;
  }

  private removeQueued(key: string): void {
    this.pendingWork.delete(key);
    for (const endpoint of this.options.endpoints.values()) {
      endpoint.queue.removeWaiting(key);
      this.getIsolationQueue(endpoint.settings.name).removeSuspect(key);
    }
  }

  /** Lists the retained runs whose request id begins with a prefix. */
  listRuns(prefix: string): RunRecord[] {
    return this.table.listRecords(prefix);
  }

  /** Refuses overdue queued runs, evicts expired records; run periodically. */
  runMaintenance(): void {
    const nowMs = this.options.clock.readMonotonicMs();
    this.pauseDetector.observeTime(nowMs);
    for (const endpoint of this.options.endpoints.values()) {
      for (const work of endpoint.queue.takeExpired(nowMs)) {
        this.refuseQueued(work.requestId, MISSED_DEADLINE, nowMs);
      }
      this.refuseLeavingQueue(endpoint, nowMs);
      this.startQueuedRuns(endpoint.settings.name);
    }
    this.table.removeExpired(nowMs);
    this.idempotencyKeys.removeExpired();
  }

  /** Refuses the queue of an endpoint that has been leaving for too long. */
  private refuseLeavingQueue(endpoint: ManagedEndpoint, nowMs: number): void {
    const {name} = endpoint.settings;
    this.leaveState.observeEndpoint(name, endpoint.getCondition(), nowMs);
    if (!this.leaveState.isPastStartGrace(name, nowMs)) return;
    const error = createError('draining', 'the endpoint is leaving');
    for (const work of endpoint.queue.takeExpired(Infinity)) {
      this.refuseQueued(work.requestId, error, nowMs);
    }
  }

  private refuseQueued(key: string, error: ServiceError, nowMs: number): void {
    this.pendingWork.delete(key);
    const record = this.table.findByKey(key);
    if (record !== undefined) this.table.refuseQueued(record, error, nowMs);
  }

  /** Returns the number of runs whose answers entries may still need. */
  countRetained(): number {
    return this.table.countRecords();
  }

  /** Returns whether no run is queued or running. */
  isIdle(): boolean {
    const endpoints = [...this.options.endpoints.values()];
    return endpoints.every(
      endpoint =>
        endpoint.queue.countRunning() + endpoint.queue.countWaiting() === 0 &&
        !this.getIsolationQueue(endpoint.settings.name).isOccupied(),
    );
  }
}
