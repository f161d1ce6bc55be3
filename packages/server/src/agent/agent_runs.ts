/**
 * The runs of an agent: takes dispatches, queues them, hands them to their
 * endpoints and keeps the answers until their entries have them.
 */
import {
  Clock,
  Dispatch,
  EndpointCondition,
  ErrorKind,
  Quarantine,
  RunFailure,
  RunRecord,
  RunSink,
  RunStatus,
  RunTable,
  ServiceError,
  Work,
  createError,
} from '@sassafrasspan/core';
import {
  ALIVE_INTERVAL_MS,
  MessageWriter,
  ResumeRequest,
  RunFrame,
  RunRequest,
  decodeWork,
  encodeFailure,
  encodeFrame,
  encodeRefusal,
} from '@sassafrasspan/nodes';
import type {EventLog, Metrics} from '@sassafrasspan/runtime';
import type {EndpointUnit} from './endpoint_unit';

/** Refusal for each condition in which an endpoint takes no work. */
const REFUSALS: Record<Exclude<EndpointCondition, 'serving'>, ErrorKind> = {
  down: 'endpoint-refused',
  leaving: 'draining',
  swapping: 'overloaded',
  'unknown-version': 'version-unknown',
};

/** What the runs of an agent are built from. */
export interface AgentRunsOptions {
  readonly incarnation: string;
  readonly units: ReadonlyMap<string, EndpointUnit>;
  readonly quarantine: Quarantine;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  getRulesRevision(): number;
}

/** Work of a run that waits for its slot. */
interface PendingWork {
  readonly work: Work;
  readonly priority: number;
}

/** All runs of one agent. */
export class AgentRuns {
  private readonly table: RunTable;
  private readonly pending = new Map<string, PendingWork>();
  private isDraining = false;

  private constructor(private readonly options: AgentRunsOptions) {
    this.table = RunTable.create({incarnation: options.incarnation});
  }

  /** Builds the runs of a new life of an agent. */
  static create(options: AgentRunsOptions): AgentRuns {
    return new AgentRuns(options);
  }

  /** Takes a dispatch and streams its answer. */
  runRequest(request: RunRequest, writer: MessageWriter<RunFrame>): void {
    const record = this.admitRequest(request);
    if ('kind' in record) {
      this.options.metrics.addCount('runs_refused_total', {kind: record.kind});
      this.options.log.writeEvent('run-refused', {
        requestId: request.requestId,
        kind: record.kind,
        detail: record.detail,
      });
      writer.send(encodeRefusal(request, record));
      return writer.end();
    }
    this.streamAnswer(record, request.attempt, 0, writer);
    this.startWaiting(request.endpoint);
  }

  private admitRequest(request: RunRequest): RunRecord | ServiceError {
    const unit = this.options.units.get(request.endpoint);
    if (unit === undefined) {
      return createError('no-endpoint', `no endpoint ${request.endpoint} here`);
    }
    const work = decodeWork(request.work);
    if (work === undefined) return createError('bad-request', 'no work');
    const refusal = this.findRefusal(request, unit);
    if (refusal !== undefined) return refusal;
    const tick = this.options.clock.readMonotonicMs();
    const dispatch: Dispatch = request;
    const revision = this.options.getRulesRevision();
    const admitted = this.table.admitDispatch(dispatch, revision, tick);
    if (admitted.isErr()) return admitted.error;
    const {record, isNew} = admitted.value;
    if (!isNew) return record;
    return this.queueRun(request, record, unit, work);
  }

  private findRefusal(
    request: RunRequest,
    unit: EndpointUnit,
  ): ServiceError | undefined {
    if (this.options.quarantine.isQuarantined(request.fingerprint)) {
      return createError('quarantined', 'this request crashes endpoints');
    }
    if (this.isDraining) return createError('draining', 'the agent is leaving');
    const condition = unit.getCondition();
    if (condition === 'serving') return undefined;
    return createError(REFUSALS[condition], `the endpoint is ${condition}`);
  }

  private queueRun(
    request: RunRequest,
    record: RunRecord,
    unit: EndpointUnit,
    work: Work,
  ): RunRecord | ServiceError {
    const isQueued = unit.queue.offerWork({
      requestId: request.requestId,
      customer: request.customer,
      priority: request.priority,
      expectedTokens: request.expectedTokens,
      deadlineTick: record.admittedAtTick + request.budgetMs,
    });
    if (!isQueued) {
      this.table.removeQueued(request.requestId);
      return createError('overloaded', 'the queue of the endpoint is full');
    }
    const {priority} = request;
    this.pending.set(request.requestId, {work, priority});
    return record;
  }

  /** Hands waiting work to an endpoint while it has free slots. */
  private startWaiting(endpoint: string): void {
    const unit = this.options.units.get(endpoint);
    if (unit === undefined || unit.getCondition() === 'down') return;
    for (;;) {
      const next = unit.queue.takeNext();
      if (next === undefined) return;
      this.startRun(unit, next.requestId, next.deadlineTick);
    }
  }

  private startRun(
    unit: EndpointUnit,
    requestId: string,
    deadlineTick: number,
  ): void {
    const record = this.table.findRecord(requestId);
    const pending = this.pending.get(requestId);
    this.pending.delete(requestId);
    if (record === undefined || pending === undefined) {
      unit.queue.releaseSlot(requestId);
      return;
    }
    const budgetMs = deadlineTick - this.options.clock.readMonotonicMs();
    this.table.markRunning(record);
    this.options.log.writeEvent('run-started', {requestId});
    const run = {requestId, budgetMs, ...pending};
    const sink = this.createSink(unit, record);
    unit.handles.set(requestId, unit.driver.startRun(run, sink));
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
    if (failure.isCrash) this.recordCrash(unit);
    record.answer.fail(failure.error);
    this.endRun(unit, record);
  }

  /** Implicates every request that the endpoint was running. */
  private recordCrash(unit: EndpointUnit): void {
    if (unit.getCondition() === 'down') return;
    const fingerprints = [...unit.handles.keys()].flatMap(requestId => {
      const record = this.table.findRecord(requestId);
      return record === undefined ? [] : [record.dispatch.fingerprint];
    });
    unit.markCrashed();
    const endpoint = unit.settings.name;
    const running = fingerprints.length;
    this.options.log.writeEvent('endpoint-crashed', {endpoint, running});
    for (const fingerprint of this.options.quarantine.implicate(fingerprints)) {
      this.options.log.writeEvent('request-quarantined', {fingerprint});
    }
  }

  private endRun(unit: EndpointUnit, record: RunRecord): void {
    const {requestId} = record.dispatch;
    const tick = this.options.clock.readMonotonicMs();
    unit.handles.delete(requestId);
    unit.queue.releaseSlot(requestId);
    this.table.markFinished(record, tick);
    this.options.metrics.addCount('runs_ended_total', {
      endpoint: unit.settings.name,
    });
    const durationMs = tick - record.admittedAtTick;
    this.options.metrics.recordMs('run_ms', {}, durationMs);
    this.options.log.writeEvent('run-ended', {requestId, durationMs});
    this.startWaiting(unit.settings.name);
  }

  /** Streams a kept answer from an offset. */
  resumeRun(request: ResumeRequest, writer: MessageWriter<RunFrame>): void {
    const record = this.table.findRecord(request.requestId);
    if (record !== undefined) {
      const {attempt} = record.dispatch;
      return this.streamAnswer(record, attempt, request.fromOffset, writer);
    }
    const error = createError('agent-lost', 'the agent holds no such run');
    const identity = {requestId: request.requestId, attempt: 0};
    const value = encodeFailure(error);
    writer.send({...identity, frame: {$case: 'failed', value}});
    writer.end();
  }

  private streamAnswer(
    record: RunRecord,
    attempt: number,
    fromOffset: number,
    writer: MessageWriter<RunFrame>,
  ): void {
    const identity = {requestId: record.dispatch.requestId, attempt};
    const sendAlive = () => {
      const tick = this.options.clock.readMonotonicMs();
      const started = record.state !== 'queued';
      writer.send({
        ...identity,
        frame: {$case: 'alive', value: {tick, started}},
      });
    };
    const timer = setInterval(sendAlive, ALIVE_INTERVAL_MS);
    const unsubscribe = record.answer.subscribe(fromOffset, frame => {
      const tick = this.options.clock.readMonotonicMs();
      const {incarnation} = this.options;
      writer.send(encodeFrame(identity, frame, {incarnation, tick}));
      if (frame.type === 'end' || frame.type === 'failed') writer.end();
    });
    writer.addCloseListener(() => {
      clearInterval(timer);
      unsubscribe();
    });
  }

  /** Makes sure that a dispatch does not start, or tells its state. */
  revokeRun(
    requestId: string,
    attempt: number,
    incarnation: string,
    seenTick: number,
  ): RunStatus {
    const tick = this.options.clock.readMonotonicMs();
    const revocation = {requestId, attempt, incarnation, seenTick};
    const status = this.table.revokeRun(revocation, tick);
    if (status === 'not-run') this.removeWaiting(requestId);
    return status;
  }

  /** Releases a kept answer, or cancels work that nobody waits for. */
  acknowledgeRun(requestId: string, isCancel: boolean): boolean {
    const record = this.table.findRecord(requestId);
    if (record === undefined) return false;
    if (isCancel && record.state === 'queued') {
      this.removeWaiting(requestId);
      this.table.removeQueued(requestId);
    }
    const unit = this.options.units.get(record.dispatch.endpoint);
    if (isCancel) unit?.handles.get(requestId)?.cancel();
    this.table.releaseRun(requestId);
    return true;
  }

  private removeWaiting(requestId: string): void {
    this.pending.delete(requestId);
    for (const unit of this.options.units.values()) {
      unit.queue.removeWaiting(requestId);
    }
  }

  /** Lists the kept runs whose request id begins with a prefix. */
  listRuns(prefix: string): RunRecord[] {
    return this.table.listRecords(prefix);
  }

  /** Ends what has waited past its deadline and forgets what has expired. */
  sweep(): void {
    const tick = this.options.clock.readMonotonicMs();
    for (const unit of this.options.units.values()) {
      for (const work of unit.queue.takeExpired(tick)) {
        this.refuseExpired(work.requestId, tick);
      }
      this.startWaiting(unit.settings.name);
    }
    this.table.removeExpired(tick);
  }

  private refuseExpired(requestId: string, tick: number): void {
    this.pending.delete(requestId);
    const record = this.table.findRecord(requestId);
    if (record === undefined) return;
    const detail = 'the deadline passed while the request waited';
    record.answer.fail(createError('deadline-unmeetable', detail));
    this.table.markFinished(record, tick);
  }

  /** Takes no new work from now on. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Tells whether every run has ended. */
  isIdle(): boolean {
    const units = [...this.options.units.values()];
    return units.every(
      unit => unit.queue.countRunning() + unit.queue.countWaiting() === 0,
    );
  }
}
