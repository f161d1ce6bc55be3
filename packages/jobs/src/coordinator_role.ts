/**
 * A node that can be the batch-job coordinator (`home` on the wire and in
 * settings), apart from wire formats. It takes part in the election, and
 * watches routes, endpoints and versions only while it is the coordinator.
 */
import {
  CallForwarder,
  CapacitySharing,
  CrashWatch,
  EndpointCaller,
  EndpointProber,
} from '@sassafrasspan/calls';
import {
  BatchJob,
  CapacityMode,
  Clock,
  CoordinatorRecord,
  DEFAULT_POLICY,
  EndpointSelector,
  JobBounds,
  POLICY_WITHOUT_SCARCITY,
  RandomSource,
  RouteBurnTracker,
  BatchEndpointRegistration,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
import {EndpointRates} from '@sassafrasspan/limits';
import {
  ClusterWatch,
  PeerClient,
  PeerRoutes,
  createHandler,
} from '@sassafrasspan/peers';
import {
  FleetSource,
  FleetState,
  ObjectCollections,
  RunnableWatch,
} from '@sassafrasspan/platform';
import {EventLog, Metrics, parseAddress, waitMs} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import * as z from 'zod/mini';
import type {AgentDescription} from './agent_links';
import {CoordinatorElection} from './coordinator_election';
import {JobCoordinator} from './job_coordinator';
import type {JobStore} from './job_store';
import {
  RoutedScoringCaller,
  ScoringCaller,
  ScoringFormat,
} from './scoring_caller';
import {
  END_SCHEMA,
  ITEM_SCHEMA,
  JOB_PATHS,
  READ_SCHEMA,
  SUBMIT_SCHEMA,
} from './job_messages';

/** Delay before a failed read of the stored jobs is retried, in ms. */
const START_RETRY_MS = 150;

export interface CoordinatorRoleOptions {
  readonly name: string;
  /** Unique for each start of the process. */
  readonly incarnation: string;
  /** `host:port` for other nodes. */
  readonly address: string;
  readonly failureDomain: string;
  readonly cluster: ClusterWatch;
  readonly store: ObjectCollections;
  readonly jobStore: JobStore;
  readonly peers: PeerClient;
  readonly source: FleetSource;
  /** Sends scoring calls to endpoints. */
  readonly caller: EndpointCaller & EndpointProber;
  readonly scoringFormat: ScoringFormat;
  /** Returns how long after acceptance results can be read, in ms. */
  readonly findRetentionMs: () => number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly burn: RouteBurnTracker;
  /** Undefined if there are none. */
  readonly duties?: RoleDuties;
  /** Whether whole groups go first while capacity is short; false if absent. */
  readonly plansForScarcity?: boolean;
  /** Whether learned capacity decides on the endpoints of scoring calls; off if absent. */
  readonly capacityEstimates?: CapacityMode;
}

type CallAnswer = Promise<Result<unknown, ServiceError>>;

/** Duties that are performed with the role of coordinator. */
export interface RoleDuties {
  start(): void;
  stop(): void;
  /** Stops and lets the next coordinator begin sooner. */
  release(): Promise<void>;
  setCustomers(names: readonly string[]): void;
}

/** A candidate for the role of coordinator, and the coordinator if elected. */
export class CoordinatorRole {
  private readonly election: CoordinatorElection;
  private readonly fleet: FleetState;
  private readonly rates: EndpointRates;
  private readonly capacity: CapacitySharing;
  private readonly crashes: CrashWatch;
  private watches: RunnableWatch[] = [];
  private coordinator: JobCoordinator | undefined;
  /** Whether the coordinator has loaded the stored jobs. */
  private isServing = false;

  private constructor(private readonly options: CoordinatorRoleOptions) {
    const {clock, log} = options;
    this.fleet = FleetState.create({
      clock,
      log,
      onRoutesChanged: table => {
        const customers = table.configuration.customers ?? [];
        options.duties?.setCustomers(customers.map(({name}) => name));
        this.updateAgents();
      },
      onEndpointsChanged: () => {
        const endpoints = this.fleet.endpoints.listAll();
        this.rates.removeUnregistered(endpoints);
        this.capacity.removeUnregistered(new Set(endpoints.map(({id}) => id)));
        this.crashes.setEndpoints(endpoints);
        this.updateAgents();
      },
    });
    this.rates = EndpointRates.create(options);
    this.capacity = CapacitySharing.create(options);
    this.crashes = CrashWatch.create({...options, prober: options.caller});
    this.election = CoordinatorElection.create({
      ...options,
      onElected: record => void this.startCoordinator(record),
    });
  }

  static create(options: CoordinatorRoleOptions): CoordinatorRole {
    return new CoordinatorRole(options);
  }

  /** Joins the election. */
  start(): void {
    this.crashes.start();
    void this.election.run();
  }

  /** Makes no further claims, and hands over the role if this node has it. */
  async stop(): Promise<void> {
    this.election.startDraining();
    if (this.coordinator === undefined) return;
    await this.options.duties?.release();
    const next = await this.election.handOver();
    this.stopCoordinator(`handed over to ${next}`);
  }

  /** Must be called when registered nodes or the coordinator have changed. */
  handleClusterChange(): void {
    const epoch = this.options.cluster.getCoordinator()?.record.epoch ?? 0;
    if (this.coordinator !== undefined && epoch > this.coordinator.getEpoch()) {
      this.stopCoordinator(`another node is the coordinator in epoch ${epoch}`);
    }
    this.updateAgents();
  }

  /** Returns handlers for the calls of other nodes. */
  createRoutes(): PeerRoutes {
    return {
      ...this.rates.createRoutes(),
      ...this.capacity.createRoutes(),
      ...this.crashes.createRoutes(),
      [JOB_PATHS.takeOver]: createHandler(z.unknown(), async () =>
        ok({isDone: await this.election.takeOver()}),
      ),
      [JOB_PATHS.ping]: createHandler(z.unknown(), () =>
        ok({
          epoch: this.coordinator?.getEpoch() ?? 0,
          home: this.options.cluster.getCoordinator(),
        }),
      ),
      [JOB_PATHS.submit]: createHandler(SUBMIT_SCHEMA, ({job}) =>
        this.callCoordinator(coordinator => coordinator.submit(job)),
      ),
      [JOB_PATHS.read]: createHandler(READ_SCHEMA, (call, context) =>
        this.callCoordinator(coordinator =>
          coordinator.read(call, context.signal),
        ),
      ),
      [JOB_PATHS.item]: createHandler(ITEM_SCHEMA, call =>
        this.callCoordinator(coordinator => coordinator.readItem(call)),
      ),
      [JOB_PATHS.end]: createHandler(END_SCHEMA, call =>
        this.callCoordinator(coordinator => coordinator.end(call)),
      ),
    };
  }

  /** Calls the coordinator. The answer counts only if the role was not lost in the
   * meantime: the state that it is taken from is no longer that of the jobs. */
  private async callCoordinator(
    call: (coordinator: JobCoordinator) => CallAnswer,
  ): CallAnswer {
    const {coordinator} = this;
    const detail = `${this.options.name} is not the coordinator`;
    if (coordinator === undefined || !this.isServing) {
      return err(createError('not-home', detail));
    }
    const answer = await call(coordinator);
    if (this.coordinator === coordinator) return answer;
    return err(createError('not-home', detail, {outcome: 'unknown'}));
  }

  /** Reads from the store whether this node is still the coordinator in an epoch. */
  private async verifyEpoch(
    epoch: number,
  ): Promise<Result<void, ServiceError>> {
    const {cluster} = this.options;
    if (!(await cluster.readCoordinator())) {
      return err(
        createError('platform-down', 'the coordinator is not readable'),
      );
    }
    const newest = cluster.getCoordinator()?.record.epoch ?? 0;
    if (newest <= epoch) return ok(undefined);
    const detail = `another node is the coordinator in epoch ${newest}`;
    if (this.coordinator?.getEpoch() === epoch) this.stopCoordinator(detail);
    return err(createError('not-home', detail, {outcome: 'unknown'}));
  }

  /** Becomes the coordinator after this node has won an epoch. */
  private async startCoordinator(record: CoordinatorRecord): Promise<void> {
    this.stopCoordinator('elected again');
    const {options} = this;
    const coordinator = JobCoordinator.create({
      ...options,
      epoch: record.epoch,
      policy: options.plansForScarcity
        ? DEFAULT_POLICY
        : POLICY_WITHOUT_SCARCITY,
      scoringCaller: this.createScoringCaller(),
      findBounds: job => this.findBounds(job),
      crashes: this.crashes,
      findEndpoint: id => this.fleet.endpoints.find(id),
      verifyEpoch: () => this.verifyEpoch(record.epoch),
      onSuperseded: detail => {
        if (this.coordinator === coordinator) this.stopCoordinator(detail);
      },
    });
    this.coordinator = coordinator;
    this.startWatches(coordinator);
    options.duties?.start();
    while (this.coordinator === coordinator) {
      const started = await coordinator.start();
      if (started.isOk()) break;
      const {detail} = started.error;
      options.log.writeEvent('platform-down', {detail});
      await waitMs(START_RETRY_MS);
    }
    if (this.coordinator !== coordinator) return coordinator.stop();
    this.isServing = true;
    this.updateAgents();
  }

  private createScoringCaller(): ScoringCaller {
    const {failureDomain, random} = this.options;
    const {endpoints} = this.fleet;
    return RoutedScoringCaller.create({
      forwarder: CallForwarder.create({
        ...this.options,
        endpoints,
        rateGate: this.rates.gate,
        crashes: this.crashes,
        pool: EndpointSelector.create(
          failureDomain,
          random,
          this.capacity.getPusher(),
        ),
      }),
      endpoints,
      getTable: () => this.fleet.getTable(),
      format: this.options.scoringFormat,
      clock: this.options.clock,
    });
  }

  private stopCoordinator(detail: string): void {
    if (this.coordinator === undefined) return;
    this.options.log.writeEvent('home-lost', {detail});
    this.coordinator.stop();
    this.options.duties?.stop();
    this.coordinator = undefined;
    this.isServing = false;
    this.fleet.stop();
    for (const watch of this.watches) watch.stop();
    this.watches = [];
  }

  private startWatches(coordinator: JobCoordinator): void {
    const {source} = this.options;
    this.fleet.start(source);
    this.rates.start();
    this.watches = [
      source.createVersionWatch((model, version) => {
        this.options.log.writeEvent('version-published', {model, version});
        coordinator.setNewestVersion(model, version);
      }),
      source.createRetirementWatch(vm => void this.handleRetirement(vm)),
    ];
    for (const watch of this.watches) void watch.run();
  }

  /**
   * Handles a request to empty a storage VM before its retirement. Its disk
   * holds no persistent data, so only a coordinator on that VM has work to do
   * first: it hands over, and the next coordinator reports the VM as empty.
   */
  private async handleRetirement(vm: string): Promise<void> {
    const {name, log, source} = this.options;
    if (vm === name) {
      this.election.startDraining();
      await this.options.duties?.release();
      const next = await this.election.handOver();
      if (next !== undefined) {
        return this.stopCoordinator(`VM retires, handed over to ${next}`);
      }
      if (this.coordinator !== undefined) this.options.duties?.start();
    }
    const isDone = await source.reportDrained(vm);
    if (isDone) log.writeEvent('vm-retired', {vm});
  }

  private updateAgents(): void {
    if (this.coordinator === undefined || !this.isServing) return;
    const agents = this.options.cluster
      .listNodes('agent')
      .map(node => this.describeAgent(node.address, node.engine ?? ''))
      .filter(agent => agent !== undefined);
    this.coordinator.setAgents(agents);
  }

  private describeAgent(
    address: string,
    engine: string,
  ): AgentDescription | undefined {
    const peer = parseAddress(address);
    const endpoint = this.fleet.endpoints.findByAddress(engine);
    if (peer === undefined || endpoint === undefined) return undefined;
    const table = this.fleet.getTable();
    const description = table?.findService(endpoint.service)?.engine;
    const registration: BatchEndpointRegistration = {
      endpointId: endpoint.id,
      service: endpoint.service,
      software: endpoint.software,
      slots: endpoint.slots,
      memoryTokens: description?.memoryTokens ?? Infinity,
      tokensPerEvent: description?.tokensPerEvent ?? 1,
      versions: endpoint.versions,
      isDraining: endpoint.isDraining,
    };
    return {address: peer, registration};
  }

  private findBounds(job: BatchJob): JobBounds | undefined {
    const table = this.fleet.getTable();
    const route = table?.findRoute(job.host, job.path);
    const service = route?.targets[0]?.service;
    if (route === undefined || service === undefined) return undefined;
    const {maxAttempts, retentionMs, runDeadlineMs} = route;
    const tokensPerEvent =
      table?.findService(service)?.engine?.tokensPerEvent ?? 1;
    return {service, maxAttempts, retentionMs, runDeadlineMs, tokensPerEvent};
  }
}
