/**
 * A node that can be the home of batch jobs, without its wire formats: it takes
 * part in the election, and follows the deployment only while it is the home.
 */
import {
  BatchJob,
  Clock,
  CoordinatorRecord,
  JobBounds,
  RandomSource,
  RouteBurnTracker,
  RunnerRegistration,
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
import type {AgentEntry} from './agent_links';
import {HomeElectionRunner} from './home_election_runner';
import {HomeNode} from './home_node';
import type {JobLedger} from './job_ledger';
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
export interface HomeRoleOptions {
  readonly name: string;
  /** Name of this life of the process. */
  readonly incarnation: string;
  /** `host:port` for other nodes. */
  readonly address: string;
  readonly cluster: ClusterWatch;
  readonly store: ObjectCollections;
  readonly ledger: JobLedger;
  readonly peers: PeerClient;
  readonly source: FleetSource;
  /** Returns the time from acceptance for which results can be read, in ms. */
  readonly findKeepMs: () => number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly burn: RouteBurnTracker;
}

/** Result of a call to the home. */
type HomeAnswer = Promise<Result<unknown, ServiceError>>;

/** A node that can be the home. */
export class HomeRole {
  private readonly election: HomeElectionRunner;
  private readonly fleet: FleetState;
  private watches: RunnableWatch[] = [];
  private home: HomeNode | undefined;
  private isServing = false;

  private constructor(private readonly options: HomeRoleOptions) {
    const {clock, log} = options;
    this.fleet = FleetState.create({
      clock,
      log,
      onRoutes: () => this.applyAgents(),
      onEndpoints: () => this.applyAgents(),
    });
    this.election = HomeElectionRunner.create({
      ...options,
      onElected: record => void this.startHome(record),
    });
  }

  /** Builds a node that takes no part yet. */
  static create(options: HomeRoleOptions): HomeRole {
    return new HomeRole(options);
  }

  /** Takes part in the election. */
  start(): void {
    void this.election.run();
  }

  /** Hands over if this node is the home, and claims nothing any more. */
  async stop(): Promise<void> {
    this.election.startDraining();
    if (this.home === undefined) return;
    const next = await this.election.handOver();
    this.stopHome(`handed to ${next}`);
  }

  /** Takes note that nodes or the home have changed. */
  applyCluster(): void {
    const epoch = this.options.cluster.getHome()?.record.epoch ?? 0;
    if (this.home !== undefined && epoch > this.home.getEpoch()) {
      this.stopHome(`epoch ${epoch} has another home`);
    }
    this.applyAgents();
  }

  /** Returns the calls that other nodes make. */
  createRoutes(): PeerRoutes {
    return {
      [JOB_PATHS.takeOver]: createHandler(z.unknown(), async () =>
        ok({isDone: await this.election.takeOver()}),
      ),
      [JOB_PATHS.ping]: createHandler(z.unknown(), () =>
        ok({
          epoch: this.home?.getEpoch() ?? 0,
          home: this.options.cluster.getHome(),
        }),
      ),
      [JOB_PATHS.submit]: createHandler(SUBMIT_SCHEMA, ({job}) =>
        this.askHome(home => home.submit(job)),
      ),
      [JOB_PATHS.read]: createHandler(READ_SCHEMA, (call, context) =>
        this.askHome(home => home.read(call, context.signal)),
      ),
      [JOB_PATHS.item]: createHandler(ITEM_SCHEMA, call =>
        this.askHome(home => home.readItem(call)),
      ),
      [JOB_PATHS.end]: createHandler(END_SCHEMA, ({jobId}) =>
        this.askHome(home => home.end(jobId)),
      ),
    };
  }

  private askHome(call: (home: HomeNode) => HomeAnswer): HomeAnswer {
    if (this.home === undefined || !this.isServing) {
      const detail = `${this.options.name} is not the home`;
      return Promise.resolve(err(createError('not-home', detail)));
    }
    return call(this.home);
  }

  /** Becomes the home of an epoch that this node has won. */
  private async startHome(record: CoordinatorRecord): Promise<void> {
    this.stopHome('won again');
    const {options} = this;
    const home = HomeNode.create({
      ...options,
      epoch: record.epoch,
      findBounds: job => this.findBounds(job),
      onSuperseded: detail => {
        if (this.home === home) this.stopHome(detail);
      },
    });
    this.home = home;
    this.startWatches(home);
    while (this.home === home) {
      const started = await home.start();
      if (started.isOk()) break;
      const {detail} = started.error;
      options.log.writeEvent('platform-down', {detail});
      await waitMs(START_RETRY_MS);
    }
    if (this.home !== home) return home.stop();
    this.isServing = true;
    this.applyAgents();
  }

  private stopHome(detail: string): void {
    if (this.home === undefined) return;
    this.options.log.writeEvent('home-lost', {detail});
    this.home.stop();
    this.home = undefined;
    this.isServing = false;
    this.fleet.stop();
    for (const watch of this.watches) watch.stop();
    this.watches = [];
  }

  private startWatches(home: HomeNode): void {
    const {source} = this.options;
    this.fleet.follow(source);
    this.watches = [
      source.createVersionWatch((model, version) => {
        this.options.log.writeEvent('version-published', {model, version});
        home.setNewest(model, version);
      }),
      source.createRetirementWatch(vm => void this.settleRetirement(vm)),
    ];
    for (const watch of this.watches) void watch.run();
  }

  /**
   * Meets a request to empty a storage VM. Nothing that lasts is on its disk,
   * so that only the home itself has something to do first: it hands over, and
   * the next home states that the VM is empty.
   */
  private async settleRetirement(vm: string): Promise<void> {
    const {name, log, source} = this.options;
    if (vm === name) {
      this.election.startDraining();
      const next = await this.election.handOver();
      if (next !== undefined) {
        return this.stopHome(`retires, handed to ${next}`);
      }
    }
    const isDone = await source.finishRetirement(vm);
    if (isDone) log.writeEvent('vm-retired', {vm});
  }

  private applyAgents(): void {
    if (this.home === undefined || !this.isServing) return;
    const entries = this.options.cluster
      .listNodes('agent')
      .map(node => this.describeAgent(node.address, node.engine ?? ''))
      .filter(entry => entry !== undefined);
    this.home.setAgents(entries);
  }

  private describeAgent(
    address: string,
    engine: string,
  ): AgentEntry | undefined {
    const peer = parseAddress(address);
    const endpoint = this.fleet.endpoints.findByAddress(engine);
    if (peer === undefined || endpoint === undefined) return undefined;
    const table = this.fleet.getTable();
    const description = table?.findService(endpoint.service)?.engine;
    const registration: RunnerRegistration = {
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
