/**
 * A node that can be the home of batch jobs, without its wire formats: it takes
 * part in the election, and follows the deployment only while it is the home.
 */
import {
  BatchJob,
  Clock,
  HomeRecord,
  JobBounds,
  RandomSource,
  RouteBurn,
  BatchEndpointRegistration,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
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
  END_SCHEMA,
  ITEM_SCHEMA,
  JOB_PATHS,
  READ_SCHEMA,
  SUBMIT_SCHEMA,
} from './job_messages';

/** Time before another try to read the jobs from the store, in ms. */
const START_RETRY_MS = 150;

/** What the role is built from. */
export interface CoordinatorRoleOptions {
  readonly name: string;
  /** Name of this life of the process. */
  readonly incarnation: string;
  /** `host:port` for other nodes. */
  readonly address: string;
  readonly cluster: ClusterWatch;
  readonly store: ObjectCollections;
  readonly jobStore: JobStore;
  readonly peers: PeerClient;
  readonly source: FleetSource;
  /** Returns the time from acceptance for which results can be read, in ms. */
  readonly findRetentionMs: () => number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly burn: RouteBurn;
}

/** Result of a call to the home. */
type CallAnswer = Promise<Result<unknown, ServiceError>>;

/** A node that can be the home. */
export class CoordinatorRole {
  private readonly election: CoordinatorElection;
  private readonly fleet: FleetState;
  private watches: RunnableWatch[] = [];
  private coordinator: JobCoordinator | undefined;
  private isServing = false;

  private constructor(private readonly options: CoordinatorRoleOptions) {
    const {clock, log} = options;
    this.fleet = FleetState.create({
      clock,
      log,
      onRoutes: () => this.updateAgents(),
      onEndpoints: () => this.updateAgents(),
    });
    this.election = CoordinatorElection.create({
      ...options,
      onElected: record => void this.startCoordinator(record),
    });
  }

  /** Builds a node that takes no part yet. */
  static create(options: CoordinatorRoleOptions): CoordinatorRole {
    return new CoordinatorRole(options);
  }

  /** Takes part in the election. */
  start(): void {
    void this.election.run();
  }

  /** Hands over if this node is the home, and claims nothing any more. */
  async stop(): Promise<void> {
    this.election.startDraining();
    if (this.coordinator === undefined) return;
    const next = await this.election.handOver();
    this.stopCoordinator(`handed to ${next}`);
  }

  /** Takes note that nodes or the home have changed. */
  handleClusterChange(): void {
    const epoch = this.options.cluster.getCoordinator()?.record.epoch ?? 0;
    if (this.coordinator !== undefined && epoch > this.coordinator.getEpoch()) {
      this.stopCoordinator(`epoch ${epoch} has another home`);
    }
    this.updateAgents();
  }

  /** Returns the calls that other nodes make. */
  createRoutes(): PeerRoutes {
    return {
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
        this.callCoordinator(home => home.submit(job)),
      ),
      [JOB_PATHS.read]: createHandler(READ_SCHEMA, (call, context) =>
        this.callCoordinator(home => home.read(call, context.signal)),
      ),
      [JOB_PATHS.item]: createHandler(ITEM_SCHEMA, call =>
        this.callCoordinator(home => home.readItem(call)),
      ),
      [JOB_PATHS.end]: createHandler(END_SCHEMA, ({jobId}) =>
        this.callCoordinator(home => home.end(jobId)),
      ),
    };
  }

  private callCoordinator(
    call: (home: JobCoordinator) => CallAnswer,
  ): CallAnswer {
    if (this.coordinator === undefined || !this.isServing) {
      const detail = `${this.options.name} is not the home`;
      return Promise.resolve(err(createError('not-home', detail)));
    }
    return call(this.coordinator);
  }

  /** Becomes the home of an epoch that this node has won. */
  private async startCoordinator(record: HomeRecord): Promise<void> {
    this.stopCoordinator('won again');
    const {options} = this;
    const home = JobCoordinator.create({
      ...options,
      epoch: record.epoch,
      findBounds: job => this.findBounds(job),
      onSuperseded: detail => {
        if (this.coordinator === home) this.stopCoordinator(detail);
      },
    });
    this.coordinator = home;
    this.startWatches(home);
    while (this.coordinator === home) {
      const started = await home.start();
      if (started.isOk()) break;
      const {detail} = started.error;
      options.log.writeEvent('platform-down', {detail});
      await waitMs(START_RETRY_MS);
    }
    if (this.coordinator !== home) return home.stop();
    this.isServing = true;
    this.updateAgents();
  }

  private stopCoordinator(detail: string): void {
    if (this.coordinator === undefined) return;
    this.options.log.writeEvent('home-lost', {detail});
    this.coordinator.stop();
    this.coordinator = undefined;
    this.isServing = false;
    this.fleet.stop();
    for (const watch of this.watches) watch.stop();
    this.watches = [];
  }

  private startWatches(home: JobCoordinator): void {
    const {source} = this.options;
    this.fleet.follow(source);
    this.watches = [
      source.createVersionWatch((model, version) => {
        this.options.log.writeEvent('version-published', {model, version});
        home.setNewestVersion(model, version);
      }),
      source.createRetirementWatch(vm => void this.handleRetirement(vm)),
    ];
    for (const watch of this.watches) void watch.run();
  }

  /**
   * Meets a request to empty a storage VM. Nothing that lasts is on its disk,
   * so that only the home itself has something to do first: it hands over, and
   * the next home states that the VM is empty.
   */
  private async handleRetirement(vm: string): Promise<void> {
    const {name, log, source} = this.options;
    if (vm === name) {
      this.election.startDraining();
      const next = await this.election.handOver();
      if (next !== undefined) {
        return this.stopCoordinator(`retires, handed to ${next}`);
      }
    }
    const isDone = await source.finishRetirement(vm);
    if (isDone) log.writeEvent('vm-retired', {vm});
  }

  private updateAgents(): void {
    if (this.coordinator === undefined || !this.isServing) return;
    const entries = this.options.cluster
      .listNodes('agent')
      .map(node => this.describeAgent(node.address, node.engine ?? ''))
      .filter(entry => entry !== undefined);
    this.coordinator.setAgents(entries);
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
      slots: endpoint.slots,
      memoryTokens: description?.memoryTokens ?? Infinity,
      tokensPerEvent: description?.tokensPerEvent ?? 1,
      versions: endpoint.versions,
      isDraining: endpoint.isDraining,
    };
    return {address: peer, registration};
  }

  private findBounds(job: BatchJob): JobBounds | undefined {
    const route = this.fleet.getTable()?.findRoute(job.host, job.path);
    const service = route?.targets[0]?.service;
    if (route === undefined || service === undefined) return undefined;
    const {maxAttempts, retentionMs, runDeadlineMs} = route;
    return {service, maxAttempts, retentionMs, runDeadlineMs};
  }
}
