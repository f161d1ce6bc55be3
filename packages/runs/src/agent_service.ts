/**
 * An agent: runs items of batch jobs on its local engine for the coordinator
 * (`home` on the wire), and keeps each run with its events until the
 * coordinator has released it. The coordinator may change at any time; runs
 * continue meanwhile.
 */
import {
  AGENT_COMMANDS_SCHEMA,
  AgentCommands,
  Clock,
  EngineState,
  ErrorKind,
  RunRegistry,
  RunEnd,
  RunOrder,
  SYNC_CALL_SCHEMA,
  SyncAnswer,
  SyncCall,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
import type {EngineRates} from '@sassafrasspan/limits';
import {EventLog, Metrics, Waiters, waitMs} from '@sassafrasspan/runtime';
import {PeerContext, PeerRoutes, createHandler} from '@sassafrasspan/peers';
import {Result, err, ok} from 'neverthrow';
import * as z from 'zod/mini';
import type {EngineControl, EngineReport, ItemRunner} from './engine_ports';
import {KnownCoordinator} from './known_coordinator';
import {SyncOrder} from './sync_order';
import type {WeightLoader} from './weight_loader';

/** Age by the agent's clock beyond which starts and loads are refused. */
const MAX_COMMAND_AGE_MS = 1_500;
/** Time for the coordinator to fetch remaining updates while stopping. */
const DRAIN_TIMEOUT_MS = 1_000;
const DRAIN_CHECK_INTERVAL_MS = 20;
/** Time between engine reports while runs are active. */
const ACTIVE_REPORT_INTERVAL_MS = 200;
/** Time between engine reports while a load is pending. */
const LOADING_REPORT_INTERVAL_MS = 50;
/** Time between engine reports while nothing is active. */
const IDLE_REPORT_INTERVAL_MS = 1_000;

const UNREACHABLE_ENGINE: EngineState = {
  isReachable: false,
  versions: {},
  isBusy: false,
  running: 0,
  waiting: 0,
  memoryUsed: 0,
};

export interface AgentServiceOptions {
  /** Identifies this incarnation of the process. */
  readonly incarnation: string;
  readonly runner: ItemRunner;
  readonly control: EngineControl;
  readonly loader: WeightLoader;
  /**
   * Returns the epoch of the newest coordinator by the store, 0 if there was none
   * yet; undefined until the store was read since the process started.
   */
  readonly findEpoch: () => number | undefined;
  /** Keeps the limit that the engine states. */
  readonly rates: EngineRates;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** Serves the coordinator's calls and manages the runs of one engine. */
export class AgentService {
  private readonly runs = RunRegistry.create();
  /** Functions that stop active runs at the engine, by run ID. */
  private readonly cancels = new Map<string, () => void>();
  private coordinator = KnownCoordinator.create();
  private readonly syncOrder = SyncOrder.create();
  private engine = UNREACHABLE_ENGINE;
  /** Whether the engine's state has changed since it was last sent. */
  private hasEngineChanged = true;
  /** Sync calls of coordinators that wait for updates. */
  private readonly syncWaiters = Waiters.create();
  /** Ends the wait for the next engine report. */
  private wakeReporter: () => void = () => undefined;
  private isStopped = false;

  private constructor(private readonly options: AgentServiceOptions) {}

  static create(options: AgentServiceOptions): AgentService {
    return new AgentService(options);
  }

  /** Returns the handlers of the coordinators' calls. */
  createRoutes(): PeerRoutes {
    return {
      ...this.options.rates.createRoutes(),
      '/agent/sync': createHandler(SYNC_CALL_SCHEMA, (call, context) =>
        this.answerSync(call, context),
      ),
      '/agent/commands': createHandler(AGENT_COMMANDS_SCHEMA, commands =>
        this.applyCommands(commands),
      ),
      '/agent/home': createHandler(z.unknown(), () =>
        ok(this.coordinator.report(this.readMs())),
      ),
    };
  }

  /**
   * Polls the engine, advances loads, stops orphaned runs and removes expired
   * ones until the agent is stopped.
   */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await this.readEngine();
      this.stopOrphanedRuns();
      this.runs.removeExpired(this.readMs());
      const delayMs = this.chooseReportDelay();
      await Promise.race([waitMs(delayMs), this.waitForReportRequest()]);
    }
  }

  /**
   * Stops all runs and waits, for a limited time, until the coordinator has
   * acknowledged all updates.
   */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.recordEngine(UNREACHABLE_ENGINE);
    for (const run of this.runs.listActive()) {
      this.stopRun(run.order.runId, 'stopped');
    }
    const endsAtMs = this.readMs() + DRAIN_TIMEOUT_MS;
    while (!this.runs.isAllAcknowledged() && this.readMs() < endsAtMs) {
      await waitMs(DRAIN_CHECK_INTERVAL_MS);
    }
  }

  /** Returns the engine's last known state. */
  getEngine(): EngineState {
    return this.engine;
  }

  /** Returns whether the agent is stopping and refuses new runs. */
  isStopping(): boolean {
    return this.isStopped;
  }

  private waitForReportRequest(): Promise<void> {
    return new Promise(resolve => {
      this.wakeReporter = resolve;
    });
  }

  private chooseReportDelay(): number {
    if (this.options.loader.isPending()) return LOADING_REPORT_INTERVAL_MS;
    return this.runs.listActive().length > 0
      ? ACTIVE_REPORT_INTERVAL_MS
      : IDLE_REPORT_INTERVAL_MS;
  }

  private readMs(): number {
    return this.options.clock.readMonotonicMs();
  }

  private async readEngine(): Promise<void> {
    const report = await this.options.control.readReport();
    if (this.isStopped) return;
    const state = report.isOk()
      ? selectState(report.value)
      : UNREACHABLE_ENGINE;
    this.recordEngine(state);
    if (report.isOk()) this.advanceLoads(report.value);
  }

  /**
   * Sends the next order, once the newest epoch is known: an earlier process of
   * this agent may have obeyed a later coordinator than this one has met.
   */
  private advanceLoads(report: EngineReport): void {
    const {loader, findEpoch} = this.options;
    const epoch = findEpoch();
    if (epoch === undefined) return;
    loader.startEpoch(epoch);
    void loader.advance(report);
  }

  private recordEngine(state: EngineState): void {
    const previous = this.engine;
    this.engine = {...state, limit: this.options.rates.getLimit()};
    const isUnchanged =
      previous.limit === this.engine.limit &&
      previous.isReachable === state.isReachable &&
      previous.isLeaving === state.isLeaving &&
      previous.isBusy === state.isBusy &&
      JSON.stringify(previous.versions) === JSON.stringify(state.versions);
    if (isUnchanged) return;
    this.hasEngineChanged = true;
    this.syncWaiters.wakeAll();
  }

  private stopOrphanedRuns(): void {
    if (!this.coordinator.isLost(this.readMs())) return;
    for (const run of this.runs.listActive()) {
      this.stopRun(run.order.runId, 'stopped');
    }
  }

  /**
   * Records contact with a coordinator; returns an error if one with a higher
   * epoch is known. A new coordinator is sent all updates again.
   */
  private acceptCoordinator(
    name: string,
    epoch: number,
  ): ServiceError | undefined {
    if (epoch < this.coordinator.epoch) {
      const detail = `epoch ${this.coordinator.epoch} is newer than ${epoch}`;
      return createError('not-home', detail);
    }
    if (epoch > this.coordinator.epoch) {
      this.coordinator = KnownCoordinator.createSuccessor(epoch, this.readMs());
      this.runs.resetAcknowledgements();
      this.options.loader.startEpoch(epoch);
      this.hasEngineChanged = true;
      this.options.log.writeEvent('home-changed', {home: name, epoch});
      this.syncWaiters.wakeAll();
    }
    this.coordinator.recordContact(this.readMs());
    return undefined;
  }

  private async answerSync(
    call: SyncCall,
    context: PeerContext,
  ): Promise<Result<SyncAnswer, ServiceError>> {
    const refusal =
      this.acceptCoordinator(call.home, call.epoch) ?? this.acceptSync(call);
    if (refusal !== undefined) return err(refusal);
    if (call.isAnew) this.runs.resetAcknowledgements();
    else this.runs.acknowledge(call.after);
    this.runs.release(call.releases);
    await this.waitForUpdates(call, context.signal);
    if (call.epoch < this.coordinator.epoch) {
      return err(createError('not-home', 'another coordinator has taken over'));
    }
    if (!this.syncOrder.isLatest(call)) {
      return err(this.createOvertakenError(call));
    }
    if (context.signal.aborted) {
      this.coordinator.recordClosedCall();
      return err(createError('cancelled', 'the coordinator closed the call'));
    }
    this.coordinator.recordContact(this.readMs());
    this.hasEngineChanged = false;
    return ok({
      epoch: this.coordinator.epoch,
      incarnation: this.options.incarnation,
      tick: this.readMs(),
      ...this.runs.takeUpdates(),
      engine: this.engine,
    });
  }

  /** Ends the wait of earlier calls; returns an error if a later one is known. */
  private acceptSync(call: SyncCall): ServiceError | undefined {
    if (!this.syncOrder.accept(call)) return this.createOvertakenError(call);
    this.syncWaiters.wakeAll();
    return undefined;
  }

  private createOvertakenError({epoch, after}: SyncCall): ServiceError {
    this.options.log.writeEvent('sync-overtaken', {epoch, after});
    return createError('cancelled', 'a later call of the coordinator is known');
  }

  /** Waits until there is something to send, or for the time in the call. */
  private async waitForUpdates(call: SyncCall, signal: AbortSignal) {
    const endsAtMs = this.readMs() + call.waitMs;
    for (;;) {
      const nowMs = this.readMs();
      const isSuperseded =
        call.epoch < this.coordinator.epoch || !this.syncOrder.isLatest(call);
      if (this.hasEngineChanged || signal.aborted || isSuperseded) return;
      const remainingMs = Math.min(
        endsAtMs - nowMs,
        this.runs.computeAnswerDelayMs(nowMs),
      );
      if (remainingMs <= 0) return;
      await this.syncWaiters.wait(remainingMs, signal);
    }
  }

  private applyCommands(commands: AgentCommands): Result<object, ServiceError> {
    const refusal = this.acceptCoordinator(commands.home, commands.epoch);
    if (refusal !== undefined) return err(refusal);
    for (const runId of commands.stops) this.stopRun(runId, 'stopped');
    const ageMs = this.readMs() - commands.tick;
    if (ageMs > MAX_COMMAND_AGE_MS) {
      return err(createError('stale-dispatch', `sent ${ageMs} ms ago`));
    }
    if (this.isStopped) {
      return err(createError('draining', 'the agent is stopping'));
    }
    for (const order of commands.starts) this.startRun(order);
    for (const order of commands.loads) this.options.loader.request(order);
    if (commands.loads.length > 0) this.wakeReporter();
    return ok({});
  }

  /** Returns the kind of error for which a run must not start; undefined if it may. */
  private findRefusal(endpointId: string): ErrorKind | undefined {
    if (this.engine.isLeaving) return 'draining';
    return this.options.rates.admitRun(endpointId) ? undefined : 'rate-limited';
  }

  private startRun(order: RunOrder): void {
    if (!this.runs.add(order, this.readMs())) return;
    const {runId, itemId, endpointId, jobId} = order;
    const {log, metrics, runner, rates} = this.options;
    const refusal = this.findRefusal(endpointId);
    if (refusal !== undefined) {
      this.runs.end(runId, 'not-run', this.readMs());
      const fields = {requestId: itemId, run: runId, endpoint: endpointId};
      log.writeEvent('run-refused', {...fields, kind: refusal});
      return this.syncWaiters.wakeAll();
    }
    log.writeEvent('run-started', {
      requestId: itemId,
      job: jobId,
      run: runId,
      endpoint: endpointId,
      firstEvent: order.prior.length,
      epoch: this.coordinator.epoch,
    });
    const startedAtMs = this.readMs();
    const cancel = runner.startRun(order, {
      onReply: ({limit, isLeaving}) => {
        const answer = {endpointId, limit, sentAtMs: startedAtMs};
        const hasChanged = rates.recordAnswer(answer) || isLeaving;
        const state = isLeaving ? {isLeaving} : {};
        if (hasChanged) this.recordEngine({...this.engine, ...state});
      },
      onEvent: generated => {
        const event = {...generated, software: order.software};
        const isFirstUnsent = this.runs.addEvent(runId, event, this.readMs());
        if (isFirstUnsent) this.syncWaiters.wakeAll();
      },
      onEnd: (end, detail) => {
        this.cancels.delete(runId);
        if (!this.runs.end(runId, end, this.readMs())) return;
        const tookMs = this.readMs() - startedAtMs;
        metrics.recordMs('run_ms', {}, tookMs);
        metrics.addCount('runs_ended_total', {end});
        const events = this.runs.find(runId)?.events.length;
        const fields = {
          requestId: itemId,
          run: runId,
          end,
          detail,
          tookMs,
          events,
        };
        log.writeEvent('run-ended', fields);
        if (end === 'not-run' || end === 'broken') this.wakeReporter();
        this.syncWaiters.wakeAll();
      },
    });
    if (this.runs.find(runId)?.end === undefined) {
      this.cancels.set(runId, cancel);
    }
  }

  private stopRun(runId: string, end: RunEnd): void {
    const cancel = this.cancels.get(runId);
    this.cancels.delete(runId);
    if (!this.runs.end(runId, end, this.readMs())) return;
    cancel?.();
    this.options.log.writeEvent('run-stopped', {run: runId, end});
    this.syncWaiters.wakeAll();
  }
}

function selectState(report: EngineReport): EngineState {
  const {isReachable, versions, isBusy, running, waiting, memoryUsed} = report;
  const {isLeaving} = report;
  return {
    isReachable,
    versions,
    isBusy,
    running,
    waiting,
    memoryUsed,
    isLeaving,
  };
}
