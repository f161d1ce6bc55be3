/**
 * The agent process: creates its components, serves entries and operators, and
 * shuts down gracefully.
 */
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
import {NodeComponents, createNodeComponents} from '../shared/node_components';
import {createPortGuard} from '../shared/port_guards';
import {createRulesReply} from '../shared/rules_feed';
import type {AgentSettings} from '../shared/settings_schemas';
import {AgentRuns} from './agent_runs';
import {ManagedEndpoint} from './managed_endpoint';
import {AgentWeights} from './agent_weights';

const MAINTENANCE_INTERVAL_MS = 100;
const LOAD_POLL_INTERVAL_MS = 250;
const DRAIN_POLL_MS = 50;
/** Time between the last acknowledged answer and closing the servers. */
const SHUTDOWN_DELAY_MS = 1_000;
/** Longest wait on shutdown for entries that still read answers. */
const PEER_CLOSE_TIMEOUT_MS = 5_000;
const RULES_POLL_INTERVAL_MS = 60_000;

export class AgentProcess {
  private readonly components: NodeComponents;
  private readonly endpoints: ReadonlyMap<string, ManagedEndpoint>;
  private readonly weights: AgentWeights;
  private readonly versionWatches: readonly ObjectWatch[];
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
    this.components = createNodeComponents(settings, RULES_POLL_INTERVAL_MS);
    this.components.rules.addListener(() => this.heartbeats.sendNow());
    this.components.rules.addListener(() => this.applyShares());
    this.endpoints = new Map(
      settings.endpoints.map(endpoint => [
        endpoint.name,
        ManagedEndpoint.create(endpoint, SYSTEM_CLOCK),
      ]),
    );
    this.weights = this.createWeights();
    this.versionWatches = this.createVersionWatches();
    this.runs = AgentRuns.create({
      incarnation: this.components.incarnation,
      endpoints: this.endpoints,
      quarantine: this.components.quarantine,
      clock: SYSTEM_CLOCK,
      scheduler: SYSTEM_SCHEDULER,
      log: this.components.log,
      metrics: this.components.metrics,
      getRulesRevision: () => this.components.rules.getRevisionNumber(),
      getKeyOwners: service =>
        this.components.rules.getRuleSet()?.findPool(service)?.endpoints ?? [],
    });
    this.peerServer = NodeServer.createAgent(this.createHandlers());
    const {log, metrics} = this.components;
    this.operatorsServer = HttpServer.create(
      createOperatorsRoutes({
        metrics: this.components.metrics,
        node: settings.name,
        decisions: this.components.log,
        isReady: () => this.isReady(),
        describeStatus: () => ({
          role: 'agent',
          ...this.createHeartbeat(),
        }),
      }),
      {
        ...DEFAULT_HTTP_LIMITS,
        guard: createPortGuard('operators', log, metrics),
      },
    );
  }

  static create(settings: AgentSettings): AgentProcess {
    return new AgentProcess(settings);
  }

  /** Starts the servers, the rules feed and the periodic tasks. */
  async start(): Promise<NodeAddresses> {
    const peers = await this.peerServer.listen(this.settings.peers);
    const operators = await this.operatorsServer.listen(
      this.settings.operators,
    );
    await this.weights.start();
    this.components.feed.start();
    this.components.quarantine.subscribe(() => this.heartbeats.sendNow());
    for (const watch of this.versionWatches) void watch.run();
    this.addTimer(MAINTENANCE_INTERVAL_MS, () => this.runs.runMaintenance());
    this.addTimer(LOAD_POLL_INTERVAL_MS, () => this.refreshEndpoints());
    this.refreshEndpoints();
    this.components.log.writeEvent('process-started', {
      incarnation: this.components.incarnation,
      peers: `${peers.host}:${peers.port}`,
    });
    return {peers, operators};
  }

  /**
   * Refuses new work, finishes running work, waits until entries have
   * acknowledged their answers, then stops. Further calls return the same
   * promise.
   */
  stop(): Promise<void> {
    this.stopping ??= this.finishAndStop();
    return this.stopping;
  }

  private async finishAndStop(): Promise<void> {
    this.components.log.writeEvent('process-draining');
    this.startLeaving();
    while (!this.runs.isIdle()) await waitMs(DRAIN_POLL_MS);
    await this.waitForAcknowledgements();
    await waitMs(SHUTDOWN_DELAY_MS);
    for (const timer of this.timers) clearInterval(timer);
    for (const watch of this.versionWatches) watch.stop();
    this.components.feed.stop();
    this.weights.stop();
    this.heartbeats.close();
    await Promise.race([
      this.peerServer.close(),
      waitMs(PEER_CLOSE_TIMEOUT_MS),
    ]);
    this.peerServer.destroy();
    this.operatorsServer.destroy();
    await this.components.store.close();
    this.components.log.writeEvent('process-stopped');
  }

  /**
   * Waits until entries have acknowledged all answers, for at most the
   * retention time.
   */
  private async waitForAcknowledgements(): Promise<void> {
    const startedMs = SYSTEM_CLOCK.readMonotonicMs();
    while (this.runs.countRetained() > 0) {
      const waitedMs = SYSTEM_CLOCK.readMonotonicMs() - startedMs;
      if (waitedMs >= ANSWER_RETENTION_MS) return;
      await waitMs(DRAIN_POLL_MS);
    }
  }

  private startLeaving(): void {
    this.isLeaving = true;
    for (const endpoint of this.endpoints.values()) endpoint.markLeaving();
    this.heartbeats.sendNow();
  }

  private isReady(): boolean {
    return this.components.feed.isReady() && !this.isLeaving;
  }

  private addTimer(intervalMs: number, task: () => void): void {
    this.timers.push(setInterval(task, intervalMs));
  }

  private refreshEndpoints(): void {
    for (const endpoint of this.endpoints.values()) void endpoint.refreshLoad();
    this.weights.advance();
  }

  private listEngines(): ManagedEndpoint[] {
    return [...this.endpoints.values()].filter(
      endpoint => endpoint.settings.kind === 'engine',
    );
  }

  private createWeights(): AgentWeights {
    return AgentWeights.create({
      settings: this.settings,
      holder: `${this.settings.name}/${this.components.incarnation}`,
      engines: this.listEngines(),
      store: this.components.store,
      rules: this.components.rules,
      clock: SYSTEM_CLOCK,
      log: this.components.log,
    });
  }

  /** Sets the customers' shares of each pool on the queues of its endpoints. */
  private applyShares(): void {
    const ruleSet = this.components.rules.getRuleSet();
    if (ruleSet === undefined) return;
    for (const {queue, settings} of this.endpoints.values()) {
      queue.setShares(ruleSet.listShares(settings.service));
    }
  }

  private createVersionWatches(): ObjectWatch[] {
    const services = new Set(
      this.listEngines().map(endpoint => endpoint.settings.service),
    );
    return [...services].map(service =>
      ObjectWatch.create({
        store: this.components.store,
        key: formatVersionKey(service),
        random: Math.random,
        log: this.components.log,
        listener: async object => this.applyVersion(object.value),
      }),
    );
  }

  private applyVersion(value: unknown): boolean {
    const parsed = PUBLISHED_VERSION_SCHEMA.safeParse(value);
    if (!parsed.success) return true;
    this.weights.setPublishedVersion(parsed.data);
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
          incarnation: this.components.incarnation,
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
        this.components.feed.recordPeerRevision(request.rulesRevision);
        this.heartbeats.addWatcher(writer);
      },
      fetchRules: request =>
        createRulesReply(this.components.rules, request.newerThan),
      fetchWeights: (request, writer) =>
        void this.weights.sendBlock(request, writer),
      offerRules: offer => this.components.feed.acceptOffer(offer),
      drain: request => this.drainEndpoint(request.endpoint),
    };
  }

  private drainEndpoint(name: string) {
    const endpoints = [...this.endpoints.values()].filter(
      endpoint => name === '' || endpoint.settings.name === name,
    );
    for (const endpoint of endpoints) this.markLeaving(endpoint);
    this.heartbeats.sendNow();
    const running = endpoints.map(endpoint => endpoint.queue.countRunning());
    const queued = endpoints.map(endpoint => endpoint.queue.countWaiting());
    return {running: sumAll(running), queued: sumAll(queued)};
  }

  private markLeaving(endpoint: ManagedEndpoint): void {
    if (endpoint.getCondition() === 'leaving') return;
    endpoint.markLeaving();
    const {name} = endpoint.settings;
    this.components.log.writeEvent('endpoint-leaving', {endpoint: name});
  }

  /** Refuses requests dispatched under newer rules than this agent has. */
  private runRequest(
    request: RunRequest,
    writer: MessageWriter<RunFrame>,
  ): void {
    const ownRevision = this.components.rules.getRevisionNumber();
    if (request.rulesRevision <= ownRevision) {
      return this.runs.runRequest(request, writer);
    }
    const detail =
      `the request needs rules revision ${request.rulesRevision}, ` +
      `the agent has ${ownRevision}`;
    const {requestId} = request;
    const error = createError('stale-rules', detail);
    this.components.log.writeEvent('run-refused', {
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
      incarnation: this.components.incarnation,
      tick: SYSTEM_CLOCK.readMonotonicMs(),
      rulesRevision: this.components.rules.getRevisionNumber(),
      endpoints: [...this.endpoints.values()].map(endpoint =>
        endpoint.createReport(),
      ),
      quarantined: this.components.quarantine.listQuarantined(),
      leaving: this.isLeaving,
      versionHeads: [],
      suspicions: this.components.quarantine
        .listSuspicions()
        .map(suspicion => ({
          fingerprint: suspicion.fingerprint,
          crashIds: [...suspicion.crashIds],
        })),
    };
  }
}

function sumAll(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
