/**
 * An agent: runs items at the engine beside it for the home of batch jobs, and
 * keeps what they generate until the home has it. The home may change at any
 * time; runs go on meanwhile.
 */
import {
  AGENT_COMMANDS_SCHEMA,
  AgentCommands,
  Clock,
  EngineState,
  RunRegistry,
  RunEnd,
  RunOrder,
  SYNC_CALL_SCHEMA,
  SyncAnswer,
  SyncCall,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
import {EventLog, Metrics, Waiters, waitMs} from '@sassafrasspan/runtime';
import {PeerContext, PeerRoutes, createHandler} from '@sassafrasspan/peers';
import {Result, err, ok} from 'neverthrow';
import * as z from 'zod/mini';
import type {EngineControl, EngineReport, ItemRunner} from './engine_ports';
import type {WeightLoader} from './weight_loader';

/** Age of a command by the agent's clock beyond which it is void, in ms. */
const MAX_COMMAND_AGE_MS = 1_500;
/** Time for the home to take what there is before the agent ends, in ms. */
const DRAIN_TIMEOUT_MS = 1_000;
const DRAIN_CHECK_INTERVAL_MS = 20;
/** Silence of every home after which runs are broken off, in ms. */
const COORDINATOR_TIMEOUT_MS = 8_000;
/** Time between reports of the engine while something is under way, in ms. */
const ACTIVE_REPORT_INTERVAL_MS = 200;
/** Time between reports during a load, in ms. */
const LOADING_REPORT_INTERVAL_MS = 50;
/** Time between reports of an idle engine, in ms. */
const IDLE_REPORT_INTERVAL_MS = 1_000;

const UNREACHABLE_ENGINE: EngineState = {
  isReachable: false,
  versions: {},
  isBusy: false,
  running: 0,
  waiting: 0,
  memoryUsed: 0,
};

/** What an agent is built from. */
export interface AgentServiceOptions {
  /** Name of this life of the process. */
  readonly incarnation: string;
  readonly runner: ItemRunner;
  readonly control: EngineControl;
  readonly loader: WeightLoader;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** The home that an agent works for. */
interface KnownCoordinator {
  readonly name: string;
  readonly epoch: number;
  lastContactAtMs: number;
}

/** An agent. */
export class AgentService {
  private readonly runs = RunRegistry.create();
  private readonly cancels = new Map<string, () => void>();
  private coordinator: KnownCoordinator = {
    name: '',
    epoch: 0,
    lastContactAtMs: -Infinity,
  };
  private engine = UNREACHABLE_ENGINE;
  private hasEngineChanged = true;
  /** Calls of homes that wait for news. */
  private readonly syncWaiters = Waiters.create();
  private wakeReporter: () => void = () => undefined;
  private isStopped = false;

  private constructor(private readonly options: AgentServiceOptions) {}

  /** Builds an agent without runs. */
  static create(options: AgentServiceOptions): AgentService {
    return new AgentService(options);
  }

  /** Returns the calls that homes make. */
  createRoutes(): PeerRoutes {
    return {
      '/agent/sync': createHandler(SYNC_CALL_SCHEMA, (call, context) =>
        this.answerSync(call, context),
      ),
      '/agent/commands': createHandler(AGENT_COMMANDS_SCHEMA, commands =>
        this.applyCommands(commands),
      ),
      '/agent/home': createHandler(z.unknown(), () =>
        ok({
          epoch: this.coordinator.epoch,
          agoMs: Math.min(
            1e9,
            this.readMs() - this.coordinator.lastContactAtMs,
          ),
        }),
      ),
    };
  }

  /** Reports the engine and drops what nobody asks for, until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await this.readEngine();
      this.stopOrphanedRuns();
      this.runs.removeExpired(this.readMs());
      const delayMs = this.chooseReportDelay();
      await Promise.race([waitMs(delayMs), this.waitForReportRequest()]);
    }
  }

  /** Breaks off every run, and waits until the home has what there is. */
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

  /** Returns the engine's state as it was last read. */
  getEngine(): EngineState {
    return this.engine;
  }

  /** Tells whether the agent takes no new runs. */
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
    if (report.isOk()) void this.options.loader.advance(report.value);
  }

  private recordEngine(state: EngineState): void {
    const before = this.engine;
    this.engine = state;
    const isSame =
      before.isReachable === state.isReachable &&
      before.isBusy === state.isBusy &&
      JSON.stringify(before.versions) === JSON.stringify(state.versions);
    if (isSame) return;
    this.hasEngineChanged = true;
    this.syncWaiters.wakeAll();
  }

  private stopOrphanedRuns(): void {
    if (
      this.readMs() - this.coordinator.lastContactAtMs <
      COORDINATOR_TIMEOUT_MS
    ) {
      return;
    }
    for (const run of this.runs.listActive()) {
      this.stopRun(run.order.runId, 'stopped');
    }
  }

  /** Takes a home's word if no later home is known. */
  private acceptCoordinator(
    name: string,
    epoch: number,
  ): ServiceError | undefined {
    if (epoch < this.coordinator.epoch) {
      const detail = `epoch ${this.coordinator.epoch} is newer than ${epoch}`;
      return createError('not-home', detail);
    }
    if (epoch > this.coordinator.epoch) {
      this.coordinator = {name, epoch, lastContactAtMs: this.readMs()};
      this.runs.resetAcknowledgements();
      this.hasEngineChanged = true;
      this.options.log.writeEvent('home-changed', {home: name, epoch});
      this.syncWaiters.wakeAll();
    }
    this.coordinator.lastContactAtMs = this.readMs();
    return undefined;
  }

  private async answerSync(
    call: SyncCall,
    context: PeerContext,
  ): Promise<Result<SyncAnswer, ServiceError>> {
    const refusal = this.acceptCoordinator(call.home, call.epoch);
    if (refusal !== undefined) return err(refusal);
    if (call.isAnew) this.runs.resetAcknowledgements();
    else this.runs.acknowledge(call.after);
    this.runs.release(call.releases);
    await this.waitForUpdates(call, context.signal);
    if (context.signal.aborted) {
      this.coordinator.lastContactAtMs = -Infinity;
      return err(createError('cancelled', 'the home has gone'));
    }
    if (call.epoch < this.coordinator.epoch) {
      return err(createError('not-home', 'another home has taken over'));
    }
    this.coordinator.lastContactAtMs = this.readMs();
    this.hasEngineChanged = false;
    return ok({
      epoch: this.coordinator.epoch,
      incarnation: this.options.incarnation,
      tick: this.readMs(),
      ...this.runs.takeUpdates(),
      engine: this.engine,
    });
  }

  private async waitForUpdates(call: SyncCall, signal: AbortSignal) {
    const endsAtMs = this.readMs() + call.waitMs;
    for (;;) {
      const nowMs = this.readMs();
      const isSuperseded = call.epoch < this.coordinator.epoch;
      if (this.hasEngineChanged || signal.aborted || isSuperseded) return;
      const restMs = Math.min(
        endsAtMs - nowMs,
        this.runs.computeAnswerDelayMs(nowMs),
      );
      if (restMs <= 0) return;
      await this.syncWaiters.wait(restMs, signal);
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

  private startRun(order: RunOrder): void {
    if (!this.runs.add(order, this.readMs())) return;
    const {runId, itemId, endpointId, jobId} = order;
    const {log, metrics, runner} = this.options;
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
      onEvent: event => {
        const isNews = this.runs.addEvent(runId, event, this.readMs());
        if (isNews) this.syncWaiters.wakeAll();
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
  return {isReachable, versions, isBusy, running, waiting, memoryUsed};
}
