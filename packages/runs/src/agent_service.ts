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
const COMMAND_LIFE_MS = 1_500;
/** Time for the home to take what there is before the agent ends, in ms. */
const DRAIN_MS = 1_000;
const DRAIN_CHECK_MS = 20;
/** Silence of every home after which runs are broken off, in ms. */
const ORPHAN_MS = 8_000;
/** Time between reports of the engine while something is under way, in ms. */
const REPORT_MS = 200;
/** Time between reports during a load, in ms. */
const LOADING_REPORT_MS = 50;
/** Time between reports of an idle engine, in ms. */
const IDLE_REPORT_MS = 1_000;

const UNREACHABLE: EngineState = {
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
interface KnownHome {
  readonly name: string;
  readonly epoch: number;
  contactAtMs: number;
}

/** An agent. */
export class AgentService {
  private readonly book = RunRegistry.create();
  private readonly cancels = new Map<string, () => void>();
  private home: KnownHome = {name: '', epoch: 0, contactAtMs: -Infinity};
  private engine = UNREACHABLE;
  private hasEngineNews = true;
  /** Calls of homes that wait for news. */
  private readonly syncs = Waiters.create();
  private wakeReport: () => void = () => undefined;
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
          epoch: this.home.epoch,
          agoMs: Math.min(1e9, this.readMs() - this.home.contactAtMs),
        }),
      ),
    };
  }

  /** Reports the engine and drops what nobody asks for, until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await this.readEngine();
      this.dropOrphans();
      this.book.removeExpired(this.readMs());
      const delayMs = this.chooseReportDelay();
      await Promise.race([waitMs(delayMs), this.waitReportWake()]);
    }
  }

  /** Breaks off every run, and waits until the home has what there is. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.recordEngine(UNREACHABLE);
    for (const run of this.book.listActive()) {
      this.breakRun(run.order.runId, 'stopped');
    }
    const endsAtMs = this.readMs() + DRAIN_MS;
    while (!this.book.isAllAcknowledged() && this.readMs() < endsAtMs) {
      await waitMs(DRAIN_CHECK_MS);
    }
  }

  /** Returns the engine's state as it was last read. */
  getEngine(): EngineState {
    return this.engine;
  }

  /** Tells whether the agent takes no new runs. */
  isLeaving(): boolean {
    return this.isStopped;
  }

  private waitReportWake(): Promise<void> {
    return new Promise(resolve => {
      this.wakeReport = resolve;
    });
  }

  private chooseReportDelay(): number {
    if (this.options.loader.isPending()) return LOADING_REPORT_MS;
    return this.book.listActive().length > 0 ? REPORT_MS : IDLE_REPORT_MS;
  }

  private readMs(): number {
    return this.options.clock.readMonotonicMs();
  }

  private async readEngine(): Promise<void> {
    const report = await this.options.control.readReport();
    if (this.isStopped) return;
    const state = report.isOk() ? selectState(report.value) : UNREACHABLE;
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
    this.hasEngineNews = true;
    this.syncs.wakeAll();
  }

  private dropOrphans(): void {
    if (this.readMs() - this.home.contactAtMs < ORPHAN_MS) return;
    for (const run of this.book.listActive()) {
      this.breakRun(run.order.runId, 'stopped');
    }
  }

  /** Takes a home's word if no later home is known. */
  private acceptHome(name: string, epoch: number): ServiceError | undefined {
    if (epoch < this.home.epoch) {
      const detail = `epoch ${this.home.epoch} is newer than ${epoch}`;
      return createError('not-home', detail);
    }
    if (epoch > this.home.epoch) {
      this.home = {name, epoch, contactAtMs: this.readMs()};
      this.book.resetAcknowledgements();
      this.hasEngineNews = true;
      this.options.log.writeEvent('home-changed', {home: name, epoch});
      this.syncs.wakeAll();
    }
    this.home.contactAtMs = this.readMs();
    return undefined;
  }

  private async answerSync(
    call: SyncCall,
    context: PeerContext,
  ): Promise<Result<SyncAnswer, ServiceError>> {
    const refusal = this.acceptHome(call.home, call.epoch);
    if (refusal !== undefined) return err(refusal);
    if (call.isAnew) this.book.resetAcknowledgements();
    else this.book.acknowledge(call.after);
    this.book.release(call.releases);
    await this.waitForNews(call, context.signal);
    if (context.signal.aborted) {
      this.home.contactAtMs = -Infinity;
      return err(createError('cancelled', 'the home has gone'));
    }
    if (call.epoch < this.home.epoch) {
      return err(createError('not-home', 'another home has taken over'));
    }
    this.home.contactAtMs = this.readMs();
    this.hasEngineNews = false;
    return ok({
      epoch: this.home.epoch,
      incarnation: this.options.incarnation,
      tick: this.readMs(),
      ...this.book.takeUpdates(),
      engine: this.engine,
    });
  }

  private async waitForNews(call: SyncCall, signal: AbortSignal) {
    const endsAtMs = this.readMs() + call.waitMs;
    for (;;) {
      const nowMs = this.readMs();
      const isSuperseded = call.epoch < this.home.epoch;
      if (this.hasEngineNews || signal.aborted || isSuperseded) return;
      const restMs = Math.min(
        endsAtMs - nowMs,
        this.book.computeAnswerDelayMs(nowMs),
      );
      if (restMs <= 0) return;
      await this.syncs.wait(restMs, signal);
    }
  }

  private applyCommands(commands: AgentCommands): Result<object, ServiceError> {
    const refusal = this.acceptHome(commands.home, commands.epoch);
    if (refusal !== undefined) return err(refusal);
    for (const runId of commands.stops) this.breakRun(runId, 'stopped');
    const ageMs = this.readMs() - commands.tick;
    if (ageMs > COMMAND_LIFE_MS) {
      return err(createError('stale-dispatch', `sent ${ageMs} ms ago`));
    }
    if (this.isStopped) {
      return err(createError('draining', 'the agent is stopping'));
    }
    for (const order of commands.starts) this.startRun(order);
    for (const order of commands.loads) this.options.loader.request(order);
    if (commands.loads.length > 0) this.wakeReport();
    return ok({});
  }

  private startRun(order: RunOrder): void {
    if (!this.book.add(order, this.readMs())) return;
    const {runId, itemId, endpointId, jobId} = order;
    const {log, metrics, runner} = this.options;
    log.writeEvent('run-started', {
      requestId: itemId,
      job: jobId,
      run: runId,
      endpoint: endpointId,
      firstEvent: order.prior.length,
      epoch: this.home.epoch,
    });
    const startedAtMs = this.readMs();
    const cancel = runner.startRun(order, {
      onEvent: event => {
        const isNews = this.book.addEvent(runId, event, this.readMs());
        if (isNews) this.syncs.wakeAll();
      },
      onEnd: (end, detail) => {
        this.cancels.delete(runId);
        if (!this.book.end(runId, end, this.readMs())) return;
        const tookMs = this.readMs() - startedAtMs;
        metrics.recordMs('run_ms', {}, tookMs);
        metrics.addCount('runs_ended_total', {end});
        const events = this.book.find(runId)?.events.length;
        const fields = {
          requestId: itemId,
          run: runId,
          end,
          detail,
          tookMs,
          events,
        };
        log.writeEvent('run-ended', fields);
        if (end === 'not-run' || end === 'broken') this.wakeReport();
        this.syncs.wakeAll();
      },
    });
    if (this.book.find(runId)?.end === undefined) {
      this.cancels.set(runId, cancel);
    }
  }

  private breakRun(runId: string, end: RunEnd): void {
    const cancel = this.cancels.get(runId);
    this.cancels.delete(runId);
    if (!this.book.end(runId, end, this.readMs())) return;
    cancel?.();
    this.options.log.writeEvent('run-stopped', {run: runId, end});
    this.syncs.wakeAll();
  }
}

function selectState(report: EngineReport): EngineState {
  const {isReachable, versions, isBusy, running, waiting, memoryUsed} = report;
  return {isReachable, versions, isBusy, running, waiting, memoryUsed};
}
