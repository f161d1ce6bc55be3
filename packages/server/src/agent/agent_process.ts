/** The agent: composition of its parts, start and graceful stop. */
import {
  ANSWER_RETENTION_MS,
  PUBLISHED_VERSION_SCHEMA,
  createError,
  formatVersionKey,
} from '@sassafrasspan/core';
import {
  AgentHandlers,
  AgentHeartbeat,
  MessageWriter,
  NodeServer,
  RunFrame,
  RunRequest,
  encodeRunStatus,
  encodeRefusal,
} from '@sassafrasspan/nodes';
import {
  DEFAULT_HTTP_LIMITS,
  HttpServer,
  SYSTEM_CLOCK,
  SYSTEM_SCHEDULER,
  createOperatorsRoutes,
  waitMs,
} from '@sassafrasspan/runtime';
import {HeartbeatStreams} from '../shared/heartbeat_streams';
import type {NodeAddresses} from '../shared/node_addresses';
import {ObjectWatch} from '../shared/object_watch';
import {NodeParts, createNodeParts} from '../shared/node_parts';
import {createRulesReply} from '../shared/rules_feed';
import type {AgentSettings} from '../shared/settings_schemas';
import {AgentRuns} from './agent_runs';
import {EndpointUnit} from './endpoint_unit';
import {WeightParts} from './weight_parts';

const SWEEP_INTERVAL_MS = 100;
const LOAD_INTERVAL_MS = 250;
const DRAIN_POLL_MS = 50;
const LINGER_MS = 1_000;
/** Longest wait for answers that entries still read. */
const PEER_LIMIT_MS = 5_000;
const RULES_POLL_INTERVAL_MS = 60_000;

/** A running agent. */
export class AgentProcess {
  private readonly parts: NodeParts;
  private readonly units: ReadonlyMap<string, EndpointUnit>;
  private readonly weights: WeightParts;
  private readonly watches: readonly ObjectWatch[];
  private readonly runs: AgentRuns;
  private readonly peerServer: NodeServer;
  private readonly operatorsServer: HttpServer;
  private readonly heartbeats = HeartbeatStreams.create(() =>
    this.createHeartbeat(),
  );
  private readonly timers: NodeJS.Timeout[] = [];
  private isLeaving = false;
  private stopping: Promise<void> | undefined;

  private constructor(private readonly settings: AgentSettings) {
    this.parts = createNodeParts(settings, RULES_POLL_INTERVAL_MS);
    this.parts.rules.addListener(() => this.heartbeats.sendNow());
    this.parts.rules.addListener(() => this.applyShares());
    this.units = new Map(
      settings.endpoints.map(item => [
        item.name,
        EndpointUnit.create(item, SYSTEM_CLOCK),
      ]),
    );
    this.weights = this.createWeights();
    this.watches = this.createVersionWatches();
    this.runs = AgentRuns.create({
      incarnation: this.parts.incarnation,
      units: this.units,
      quarantine: this.parts.quarantine,
      clock: SYSTEM_CLOCK,
      scheduler: SYSTEM_SCHEDULER,
      log: this.parts.log,
      metrics: this.parts.metrics,
      getRulesRevision: () => this.parts.rules.getRevisionNumber(),
      getHomes: service =>
        this.parts.rules.getRuleSet()?.findPool(service)?.endpoints ?? [],
    });
    this.peerServer = NodeServer.createAgent(this.createHandlers());
    this.operatorsServer = HttpServer.create(
      createOperatorsRoutes({
        metrics: this.parts.metrics,
        node: settings.name,
        decisions: this.parts.log,
        isReady: () => this.isReady(),
        describeStatus: () => ({
          role: 'agent',
          ...this.createHeartbeat(),
        }),
      }),
      DEFAULT_HTTP_LIMITS,
    );
  }

  /** Builds an agent from checked settings. */
  static create(settings: AgentSettings): AgentProcess {
    return new AgentProcess(settings);
  }

  /** Starts to listen and to work. */
  async start(): Promise<NodeAddresses> {
    const peers = await this.peerServer.listen(this.settings.peers);
    const operators = await this.operatorsServer.listen(
      this.settings.operators,
    );
    await this.weights.start();
    this.parts.feed.start();
    this.parts.quarantine.subscribe(() => this.heartbeats.sendNow());
    for (const watch of this.watches) void watch.run();
    this.addTimer(SWEEP_INTERVAL_MS, () => this.runs.sweep());
    this.addTimer(LOAD_INTERVAL_MS, () => this.refreshUnits());
    this.refreshUnits();
    this.parts.log.writeEvent('process-started', {
      incarnation: this.parts.incarnation,
      peers: `${peers.host}:${peers.port}`,
    });
    return {peers, operators};
  }

  /**
   * Takes no new work, finishes what runs, hands over the answers, then
   * stops. Asked again, it goes on with the stop that is under way.
   */
  stop(): Promise<void> {
    this.stopping ??= this.finishAndStop();
    return this.stopping;
  }

  private async finishAndStop(): Promise<void> {
    this.parts.log.writeEvent('process-draining');
    this.startLeaving();
    while (!this.runs.isIdle()) await waitMs(DRAIN_POLL_MS);
    await this.waitForAcknowledgements();
    await waitMs(LINGER_MS);
    for (const timer of this.timers) clearInterval(timer);
    for (const watch of this.watches) watch.stop();
    this.parts.feed.stop();
    this.weights.stop();
    this.heartbeats.close();
    await Promise.race([this.peerServer.close(), waitMs(PEER_LIMIT_MS)]);
    this.peerServer.destroy();
    this.operatorsServer.destroy();
    await this.parts.store.close();
    this.parts.log.writeEvent('process-stopped');
  }

  /** Keeps answers for entries that have not got them whole yet. */
  private async waitForAcknowledgements(): Promise<void> {
    const startedMs = SYSTEM_CLOCK.readMonotonicMs();
    while (this.runs.countKept() > 0) {
      const waitedMs = SYSTEM_CLOCK.readMonotonicMs() - startedMs;
      if (waitedMs >= ANSWER_RETENTION_MS) return;
      await waitMs(DRAIN_POLL_MS);
    }
  }

  private startLeaving(): void {
    this.isLeaving = true;
    for (const unit of this.units.values()) unit.markLeaving();
    this.heartbeats.sendNow();
  }

  private isReady(): boolean {
    return this.parts.feed.isSettled() && !this.isLeaving;
  }

  private addTimer(intervalMs: number, task: () => void): void {
    this.timers.push(setInterval(task, intervalMs));
  }

  private refreshUnits(): void {
    for (const unit of this.units.values()) void unit.refreshLoad();
    this.weights.advance();
  }

  private listEngines(): EndpointUnit[] {
    return [...this.units.values()].filter(
      unit => unit.settings.kind === 'engine',
    );
  }

  private createWeights(): WeightParts {
    return WeightParts.create({
      settings: this.settings,
      holder: `${this.settings.name}/${this.parts.incarnation}`,
      engines: this.listEngines(),
      store: this.parts.store,
      rules: this.parts.rules,
      clock: SYSTEM_CLOCK,
      log: this.parts.log,
    });
  }

  /** Hands the customers' shares of each pool to its queues. */
  private applyShares(): void {
    const book = this.parts.rules.getRuleSet();
    if (book === undefined) return;
    for (const {queue, settings} of this.units.values()) {
      queue.setShares(book.listShares(settings.service));
    }
  }

  private createVersionWatches(): ObjectWatch[] {
    const services = new Set(
      this.listEngines().map(unit => unit.settings.service),
    );
    return [...services].map(service =>
      ObjectWatch.create({
        store: this.parts.store,
        key: formatVersionKey(service),
        random: Math.random,
        log: this.parts.log,
        listener: async object => this.applyVersion(object.value),
      }),
    );
  }

  private applyVersion(value: unknown): boolean {
    const parsed = PUBLISHED_VERSION_SCHEMA.safeParse(value);
    if (!parsed.success) return true;
    this.weights.setHead(parsed.data);
    return true;
  }

  private createHandlers(): AgentHandlers {
    return {
      run: (request, writer) => this.runRequest(request, writer),
      resume: (request, writer) => this.runs.resumeRun(request, writer),
      revoke: request => {
        const status = this.runs.revokeRun(request);
        return {
          state: encodeRunStatus(status),
          incarnation: this.parts.incarnation,
        };
      },
      acknowledge: request => ({
        found: this.runs.acknowledgeRun(request),
      }),
      listAnswers: request => ({
        answers: this.runs.listRuns(request.prefix).map(record => ({
          requestId: record.dispatch.requestId,
          state:
            record.state === 'finished'
              ? encodeRunStatus('finished')
              : encodeRunStatus('running'),
          totalLength: record.answer.getLength(),
        })),
      }),
      watch: (request, writer) => {
        this.parts.feed.recordPeer(request.rulesRevision);
        this.heartbeats.addWatcher(writer);
      },
      fetchRules: request =>
        createRulesReply(this.parts.rules, request.newerThan),
      fetchWeights: (request, writer) =>
        void this.weights.sendBlock(request, writer),
      offerRules: offer => this.parts.feed.acceptOffer(offer),
      drain: request => this.drainEndpoint(request.endpoint),
    };
  }

  private drainEndpoint(endpoint: string) {
    const units = [...this.units.values()].filter(
      unit => endpoint === '' || unit.settings.name === endpoint,
    );
    for (const unit of units) this.markLeaving(unit);
    this.heartbeats.sendNow();
    const running = units.map(unit => unit.queue.countRunning());
    const queued = units.map(unit => unit.queue.countWaiting());
    return {running: sumAll(running), queued: sumAll(queued)};
  }

  private markLeaving(unit: EndpointUnit): void {
    if (unit.getCondition() === 'leaving') return;
    unit.markLeaving();
    const endpoint = unit.settings.name;
    this.parts.log.writeEvent('endpoint-leaving', {endpoint});
  }

  /** Refuses work that was decided under rules that are not here yet. */
  private runRequest(
    request: RunRequest,
    writer: MessageWriter<RunFrame>,
  ): void {
    const held = this.parts.rules.getRevisionNumber();
    if (request.rulesRevision <= held) {
      return this.runs.runRequest(request, writer);
    }
    const detail = `rules ${request.rulesRevision}, here ${held}`;
    const {requestId} = request;
    const error = createError('stale-rules', detail);
    this.parts.log.writeEvent('run-refused', {
      requestId,
      kind: error.kind,
      detail,
    });
    writer.send(encodeRefusal(request, error));
    writer.end();
  }

  private createHeartbeat(): AgentHeartbeat {
    return {
      agent: this.settings.name,
      failureDomain: this.settings.failureDomain,
      incarnation: this.parts.incarnation,
      tick: SYSTEM_CLOCK.readMonotonicMs(),
      rulesRevision: this.parts.rules.getRevisionNumber(),
      endpoints: [...this.units.values()].map(unit => unit.createReport()),
      quarantined: this.parts.quarantine.listQuarantined(),
      leaving: this.isLeaving,
      versionHeads: [],
      suspicions: this.parts.quarantine.listSuspicions().map(item => ({
        fingerprint: item.fingerprint,
        crashIds: [...item.crashIds],
      })),
    };
  }
}

function sumAll(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
