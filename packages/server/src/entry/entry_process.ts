/** The entry: composition of its parts, start and graceful stop. */
import {randomUUID} from 'node:crypto';
import {createCallerRoutes} from '@sassafrasspan/callers';
import {
  BurnBook,
  FleetView,
  Quarantine,
  RulesHolder,
} from '@sassafrasspan/core';
import {EntryHeartbeat, NodeServer} from '@sassafrasspan/nodes';
import {ObjectClient, VmListClient} from '@sassafrasspan/platform';
import {
  DEFAULT_HTTP_LIMITS,
  DecisionLog,
  HttpServer,
  LatencyHistograms,
  ListenAddress,
  Metrics,
  SYSTEM_CLOCK,
  createEventLog,
  waitMs,
} from '@sassafrasspan/runtime';
import {ScoringClient, ScoringService} from '@sassafrasspan/scoring';
import {TrainerBackend, createTrainerRoutes} from '@sassafrasspan/trainers';
import {HeartbeatStreams} from '../shared/heartbeat_streams';
import type {NodeAddresses} from '../shared/node_addresses';
import {createOperatorsRoutes} from '../shared/operators_routes';
import {RulesFeed, createRulesReply} from '../shared/rules_feed';
import type {EntrySettings} from '../shared/settings_schemas';
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
const BALANCER_NOTICE_MS = 1_000;
const DRAIN_POLL_MS = 50;
/** Longest wait for callers that read their finished answers slowly. */
const READER_LIMIT_MS = 60_000;
/** Longest wait for calls that other entries have forwarded. */
const PEER_LIMIT_MS = 25_000;

/** Addresses in use by a started entry. */
export interface EntryAddresses extends NodeAddresses {
  readonly callers: ListenAddress;
}

/** A running entry. */
export class EntryProcess {
  private readonly incarnation = randomUUID();
  private readonly log: DecisionLog;
  private readonly metrics = Metrics.create();
  private readonly rules = RulesHolder.create();
  private readonly quarantine = Quarantine.create();
  private readonly fleet = FleetView.create();
  private readonly burn = BurnBook.create(() => this.rules.getBook());
  private readonly latencies = LatencyHistograms.create();
  private readonly measured = MeasuredBackends.create({
    burn: this.burn,
    latencies: this.latencies,
    rules: this.rules,
    fleet: this.fleet,
    clock: SYSTEM_CLOCK,
  });
  private readonly store: ObjectClient;
  private readonly feed: RulesFeed;
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
  private stopping: Promise<void> | undefined;

  private constructor(private readonly settings: EntrySettings) {
    const {name, log} = settings;
    this.log = DecisionLog.create({
      log: createEventLog({node: name, role: 'entry', level: log.level}),
      clock: SYSTEM_CLOCK,
    });
    this.store = ObjectClient.create(settings.platform.objectsUrl);
    this.feed = RulesFeed.create({
      store: this.store,
      holder: this.rules,
      clock: SYSTEM_CLOCK,
      random: Math.random,
      log: this.log,
    });
    this.rules.addListener(() => this.heartbeats.sendNow());
    this.scoring = new Map(
      settings.scoring.map(item => [item.name, ScoringClient.create(item.url)]),
    );
    this.directory = this.createDirectory();
    this.dispatcher = this.createDispatcher();
    this.steps = this.createSteps();
    this.publisher = VersionPublisher.create({
      store: this.store,
      rules: this.rules,
      clock: SYSTEM_CLOCK,
      log: this.log,
    });
    this.callers = EntryCallers.create({
      dispatcher: this.dispatcher,
      rules: this.rules,
      log: this.log,
      metrics: this.metrics,
      ...settings.limits,
    });
    this.peerServer = NodeServer.createEntry({
      watch: (request, writer) => {
        this.feed.recordPeer(request.rulesRevision);
        this.heartbeats.addWatcher(writer);
      },
      fetchRules: request => createRulesReply(this.rules, request.newerThan),
      forwardStep: call => this.steps.answerForwarded(call),
    });
    this.callersServer = HttpServer.create(
      [
        ...createCallerRoutes(
          this.measured.measureCallers(this.callers),
          settings.limits,
        ),
        ...createTrainerRoutes(
          this.measured.measureTrainers(this.createTrainerBackend()),
          settings.limits,
        ),
      ],
      settings.limits,
    );
    this.operatorsServer = HttpServer.create(
      createOperatorsRoutes({
        metrics: this.metrics,
        node: name,
        decisions: this.log,
        isReady: () => this.isReady(),
        describeStatus: () => this.describeStatus(),
        describeBurn: () => ({
          promises: this.burn.listPromises(SYSTEM_CLOCK.readWallMs()),
          latencies: this.latencies.encodeAll(),
        }),
      }),
      DEFAULT_HTTP_LIMITS,
    );
  }

  /** Builds an entry from checked settings. */
  static create(settings: EntrySettings): EntryProcess {
    return new EntryProcess(settings);
  }

  /** Starts to listen and to work. */
  async start(): Promise<EntryAddresses> {
    const peers = await this.peerServer.listen(this.settings.peers);
    const operators = await this.operatorsServer.listen(
      this.settings.operators,
    );
    const callers = await this.callersServer.listen(this.settings.callers);
    this.feed.start();
    this.quarantine.subscribe(() => this.heartbeats.sendNow());
    this.directory.start();
    void this.directory.refresh();
    this.addTimer(VM_LIST_INTERVAL_MS, () => void this.directory.refresh());
    this.addTimer(STEP_INTERVAL_MS, () => this.steps.advance());
    this.addTimer(STEP_INTERVAL_MS, () => this.measured.advance());
    this.log.writeEvent('process-started', {
      incarnation: this.incarnation,
      callers: `${callers.host}:${callers.port}`,
    });
    return {peers, operators, callers};
  }

  /**
   * Fails readiness, lets the balancer notice, finishes, then stops. Asked
   * again, it goes on with the stop that is under way.
   */
  stop(): Promise<void> {
    this.stopping ??= this.finishAndStop();
    return this.stopping;
  }

  private async finishAndStop(): Promise<void> {
    this.isLeaving = true;
    this.log.writeEvent('process-draining');
    this.heartbeats.sendNow();
    this.callersServer.startDraining();
    this.steps.stop();
    await waitMs(BALANCER_NOTICE_MS);
    const closed = this.callersServer.close();
    while (this.dispatcher.countOpen() > 0) await waitMs(DRAIN_POLL_MS);
    await Promise.race([closed, waitMs(READER_LIMIT_MS)]);
    this.callersServer.destroy();
    for (const timer of this.timers) clearInterval(timer);
    this.feed.stop();
    this.heartbeats.close();
    await Promise.race([this.peerServer.close(), waitMs(PEER_LIMIT_MS)]);
    this.directory.stop();
    this.peerServer.destroy();
    this.operatorsServer.destroy();
    await this.store.close();
    this.log.writeEvent('process-stopped');
  }

  private addTimer(intervalMs: number, task: () => void): void {
    this.timers.push(setInterval(task, intervalMs));
  }

  private isReady(): boolean {
    return this.feed.isSettled() && !this.isLeaving;
  }

  private createDirectory(): NodeDirectory {
    const {settings} = this;
    return NodeDirectory.create({
      self: settings.name,
      seeds: settings.seeds,
      vmList: VmListClient.create(settings.platform.vmsUrl),
      fleet: this.fleet,
      rules: this.rules,
      feed: this.feed,
      quarantine: this.quarantine,
      clock: SYSTEM_CLOCK,
      random: Math.random,
      log: this.log,
    });
  }

  private createDispatcher(): Dispatcher {
    return Dispatcher.create({
      entry: this.settings.name,
      failureDomain: this.settings.failureDomain,
      fleet: this.fleet,
      directory: this.directory,
      rules: this.rules,
      quarantine: this.quarantine,
      clock: SYSTEM_CLOCK,
      random: Math.random,
      log: this.log,
      metrics: this.metrics,
    });
  }

  private createSteps(): StepService {
    return StepService.create({
      entry: this.settings.name,
      incarnation: this.incarnation,
      directory: this.directory,
      dispatcher: this.dispatcher,
      store: this.store,
      rules: this.rules,
      clock: SYSTEM_CLOCK,
      log: this.log,
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
      incarnation: this.incarnation,
      rulesRevision: this.rules.getRevisionNumber(),
      ready: this.isReady(),
      leaving: this.isLeaving,
      demand: [],
      digests: [],
      quarantined: this.quarantine.listQuarantined(),
      versionHeads: [],
      suspicions: this.quarantine.listSuspicions().map(item => ({
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
      rulesRevision: this.rules.getRevisionNumber(),
      openRequests: this.dispatcher.countOpen(),
      agents: this.fleet.listAgents(nowMs),
    };
  }
}
