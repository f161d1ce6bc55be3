/** Composes the entry process, starts it and stops it gracefully. */
import {createCallerRoutes} from '@sassafrasspan/callers';
import {BurnTracker, CustomerLimiter, FleetView} from '@sassafrasspan/core';
import {EntryHeartbeat, NodeServer} from '@sassafrasspan/nodes';
import {VmListClient} from '@sassafrasspan/platform';
import {
  DEFAULT_HTTP_LIMITS,
  HttpServer,
  LatencyHistograms,
  ListenAddress,
  SYSTEM_CLOCK,
  createOperatorsRoutes,
  waitMs,
} from '@sassafrasspan/runtime';
import {ScoringClient, ScoringService} from '@sassafrasspan/scoring';
import {TrainerBackend, createTrainerRoutes} from '@sassafrasspan/trainers';
import {HeartbeatStreams} from '../shared/heartbeat_streams';
import type {NodeAddresses} from '../shared/node_addresses';
import {NodeComponents, createNodeComponents} from '../shared/node_components';
import {createPortGuard} from '../shared/port_guards';
import {createRulesReply} from '../shared/rules_feed';
import type {EntrySettings} from '../shared/settings_schemas';
import {encodeDemand, listPeerDemand} from './demand_reports';
import {Dispatcher} from './dispatcher';
import {EntryCallers} from './entry_callers';
import {MeasuredBackends} from './measured_backends';
import {NodeDirectory} from './node_directory';
import {createMissingScoring} from './step_runner';
import {StepPool} from './step_pool';
import {StepService} from './step_service';
import {VersionPublisher} from './version_publisher';

const VM_LIST_INTERVAL_MS = 1_000;
const STEP_INTERVAL_MS = 100;
/** Time for the load balancer to notice that readiness fails. */
const BALANCER_DELAY_MS = 1_000;
const DRAIN_POLL_MS = 50;
/** Longest wait at stop for callers that read finished answers slowly. */
const SLOW_READER_LIMIT_MS = 60_000;
/** Longest wait at stop for calls that other entries forwarded. */
const FORWARDED_CALL_LIMIT_MS = 25_000;

/** Addresses that a started entry listens on. */
export interface EntryAddresses extends NodeAddresses {
  readonly callers: ListenAddress;
}

export class EntryProcess {
  private readonly components: NodeComponents;
  private readonly limiter = CustomerLimiter.create();
  private readonly fleet = FleetView.create();
  private readonly burn = BurnTracker.create(() =>
    this.components.rules.getRuleSet(),
  );
  private readonly latencies = LatencyHistograms.create();
  private readonly measuredBackends: MeasuredBackends;
  private readonly directory: NodeDirectory;
  private readonly dispatcher: Dispatcher;
  private readonly steps: StepService;
  private readonly publisher: VersionPublisher;
  private readonly callers: EntryCallers;
  private readonly peerServer: NodeServer;
  private readonly callersServer: HttpServer;
  private readonly operatorsServer: HttpServer;
  private readonly scoring: ReadonlyMap<string, ScoringService>;
  private readonly heartbeats = HeartbeatStreams.create(() =>
    this.createHeartbeat(),
  );
  private readonly timers: NodeJS.Timeout[] = [];
  private isLeaving = false;
  private stopPromise: Promise<void> | undefined;

  private constructor(private readonly settings: EntrySettings) {
    this.components = createNodeComponents(settings);
    this.measuredBackends = MeasuredBackends.create({
      burn: this.burn,
      latencies: this.latencies,
      rules: this.components.rules,
      fleet: this.fleet,
      clock: SYSTEM_CLOCK,
    });
    this.components.rules.addListener(() => this.heartbeats.sendNow());
    this.scoring = new Map(
      settings.scoring.map(item => [item.name, ScoringClient.create(item.url)]),
    );
    this.directory = this.createDirectory();
    this.dispatcher = this.createDispatcher();
    this.steps = this.createStepService();
    this.publisher = VersionPublisher.create({
      store: this.components.store,
      rules: this.components.rules,
      clock: SYSTEM_CLOCK,
      log: this.components.log,
    });
    this.callers = EntryCallers.create({
      dispatcher: this.dispatcher,
      rules: this.components.rules,
      log: this.components.log,
      metrics: this.components.metrics,
      ...settings.limits,
      clock: SYSTEM_CLOCK,
      limiter: this.limiter,
      listPeerDemand: () => listPeerDemand(this.directory.listEntries()),
    });
    this.peerServer = NodeServer.createEntry({
      watch: (request, writer) => {
        this.components.feed.recordPeerRevision(request.rulesRevision);
        this.heartbeats.addWatcher(writer);
      },
      fetchRules: request =>
        createRulesReply(this.components.rules, request.newerThan),
      forwardStep: call => this.steps.answerForwarded(call),
    });
    const {log, metrics} = this.components;
    this.callersServer = HttpServer.create(
      [
        ...createCallerRoutes(
          this.measuredBackends.measureCallers(this.callers),
          settings.limits,
        ),
        ...createTrainerRoutes(
          this.measuredBackends.measureTrainers(this.createTrainerBackend()),
          settings.limits,
        ),
      ],
      {
        ...settings.limits,
        guard: createPortGuard('callers', log, metrics),
      },
    );
    this.operatorsServer = HttpServer.create(
      createOperatorsRoutes({
        metrics: this.components.metrics,
        node: settings.name,
        decisions: this.components.log,
        isReady: () => this.isReady(),
        describeStatus: () => this.describeStatus(),
        describeBurn: () => ({
          promises: this.burn.listPromises(SYSTEM_CLOCK.readWallMs()),
          latencies: this.latencies.encodeAll(),
        }),
      }),
      {
        ...DEFAULT_HTTP_LIMITS,
        guard: createPortGuard('operators', log, metrics),
      },
    );
  }

  static create(settings: EntrySettings): EntryProcess {
    return new EntryProcess(settings);
  }

  /** Listens on all addresses, then starts the watches and timers. */
  async start(): Promise<EntryAddresses> {
    const peers = await this.peerServer.listen(this.settings.peers);
    const operators = await this.operatorsServer.listen(
      this.settings.operators,
    );
    const callers = await this.callersServer.listen(this.settings.callers);
    this.components.feed.start();
    this.components.quarantine.subscribe(() => this.heartbeats.sendNow());
    this.directory.start();
    void this.directory.refresh();
    this.addTimer(VM_LIST_INTERVAL_MS, () => void this.directory.refresh());
    this.addTimer(STEP_INTERVAL_MS, () => this.steps.advance());
    this.addTimer(STEP_INTERVAL_MS, () => this.measuredBackends.advance());
    this.components.log.writeEvent('process-started', {
      incarnation: this.components.incarnation,
      callers: `${callers.host}:${callers.port}`,
    });
    return {peers, operators, callers};
  }

  /**
   * Fails the readiness check, waits until the balancer has noticed, finishes
   * open requests and stops. Further calls return the same promise.
   */
  stop(): Promise<void> {
    this.stopPromise ??= this.drainAndStop();
    return this.stopPromise;
  }

  private async drainAndStop(): Promise<void> {
    this.isLeaving = true;
    this.components.log.writeEvent('process-draining');
    this.heartbeats.sendNow();
    this.callersServer.startDraining();
    this.steps.stop();
    await waitMs(BALANCER_DELAY_MS);
    const closed = this.callersServer.close();
    while (this.dispatcher.countOpen() > 0) await waitMs(DRAIN_POLL_MS);
    await Promise.race([closed, waitMs(SLOW_READER_LIMIT_MS)]);
    this.callersServer.destroy();
    for (const timer of this.timers) clearInterval(timer);
    this.components.feed.stop();
    this.heartbeats.close();
    await Promise.race([
      this.peerServer.close(),
      waitMs(FORWARDED_CALL_LIMIT_MS),
    ]);
    this.directory.stop();
    this.peerServer.destroy();
    this.operatorsServer.destroy();
    await this.components.store.close();
    this.components.log.writeEvent('process-stopped');
  }

  private addTimer(intervalMs: number, task: () => void): void {
    this.timers.push(setInterval(task, intervalMs));
  }

  private isReady(): boolean {
    return this.components.feed.isReady() && !this.isLeaving;
  }

  private createDirectory(): NodeDirectory {
    const {settings} = this;
    return NodeDirectory.create({
      self: settings.name,
      seeds: settings.seeds,
      vmList: VmListClient.create(settings.platform.vmsUrl),
      fleet: this.fleet,
      rules: this.components.rules,
      feed: this.components.feed,
      quarantine: this.components.quarantine,
      clock: SYSTEM_CLOCK,
      random: Math.random,
      log: this.components.log,
    });
  }

  private createDispatcher(): Dispatcher {
    return Dispatcher.create({
      entry: this.settings.name,
      failureDomain: this.settings.failureDomain,
      fleet: this.fleet,
      directory: this.directory,
      rules: this.components.rules,
      quarantine: this.components.quarantine,
      clock: SYSTEM_CLOCK,
      random: Math.random,
      log: this.components.log,
      metrics: this.components.metrics,
    });
  }

  private createStepService(): StepService {
    return StepService.create({
      entry: this.settings.name,
      incarnation: this.components.incarnation,
      directory: this.directory,
      dispatcher: this.dispatcher,
      store: this.components.store,
      rules: this.components.rules,
      clock: SYSTEM_CLOCK,
      log: this.components.log,
      pool: StepPool.create({fleet: this.fleet, clock: SYSTEM_CLOCK}),
      findScoring: name => this.scoring.get(name) ?? createMissingScoring(name),
    });
  }

  private createTrainerBackend(): TrainerBackend {
    return {
      authenticate: keySha256 => this.callers.authenticate(keySha256),
      putStep: (name, description) => this.steps.putStep(name, description),
      pullSamples: (name, pull) => this.steps.pullSamples(name, pull),
      publishVersion: async item => {
        const published = await this.publisher.publishVersion(item);
        if (published.isErr()) return published;
        const {service, version} = published.value;
        await this.steps.publishVersion(service, version);
        return published;
      },
    };
  }

  private createHeartbeat(): EntryHeartbeat {
    return {
      entry: this.settings.name,
      failureDomain: this.settings.failureDomain,
      incarnation: this.components.incarnation,
      rulesRevision: this.components.rules.getRevisionNumber(),
      ready: this.isReady(),
      leaving: this.isLeaving,
      demand: encodeDemand(
        this.limiter.listDemand(SYSTEM_CLOCK.readMonotonicMs()),
      ),
      digests: [],
      quarantined: this.components.quarantine.listQuarantined(),
      versionHeads: [],
      suspicions: this.components.quarantine.listSuspicions().map(item => ({
        fingerprint: item.fingerprint,
        crashIds: [...item.crashIds],
      })),
    };
  }

  private describeStatus() {
    const nowMs = SYSTEM_CLOCK.readMonotonicMs();
    return {
      node: this.settings.name,
      role: 'entry',
      failureDomain: this.settings.failureDomain,
      leaving: this.isLeaving,
      rulesRevision: this.components.rules.getRevisionNumber(),
      openRequests: this.dispatcher.countOpen(),
      agents: this.fleet.listAgents(nowMs),
    };
  }
}
