/**
 * A candidate in the election of the batch-job coordinator (`home` on the wire
 * and in the store). It probes the coordinator, asks agents for contact reports
 * when the coordinator doesn't answer, and claims the role in the store.
 */
import {
  Clock,
  CoordinatorRecord,
  COORDINATOR_CONTACT_SCHEMA,
  CoordinatorContact,
  decideElection,
} from '@sassafrasspan/core';
import {
  CLUSTER_COLLECTION,
  ClusterWatch,
  COORDINATOR_OBJECT,
  PeerClient,
  VersionedCoordinator,
} from '@sassafrasspan/peers';
import type {ObjectCollections} from '@sassafrasspan/platform';
import {EventLog, parseAddress, waitMs} from '@sassafrasspan/runtime';
import {JOB_PATHS, PING_SCHEMA, TAKEN_OVER_SCHEMA} from './job_messages';

/** Time between probes of the coordinator, in ms. */
const PROBE_INTERVAL_MS = 200;
/** Timeout of a probe and of a request for a contact report, in ms. */
const PROBE_TIMEOUT_MS = 250;
/** Timeout of the request to another node to take over, in ms. */
const HAND_OVER_TIMEOUT_MS = 700;
/** Number of agents that are asked about a silent coordinator. */
const MAX_CONTACT_REPORTS = 5;

export interface CoordinatorElectionOptions {
  readonly name: string;
  readonly incarnation: string;
  /** `host:port` for other nodes. */
  readonly address: string;
  readonly cluster: ClusterWatch;
  readonly store: ObjectCollections;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Called when this node has become the coordinator. */
  readonly onElected: (record: CoordinatorRecord) => void;
}

/** Runs on every node that can be the coordinator. */
export class CoordinatorElection {
  private lastContactAtMs: number;
  private knownEpoch = -1;
  private isRefused = false;
  private isDraining = false;

  private constructor(private readonly options: CoordinatorElectionOptions) {
    this.lastContactAtMs = options.clock.readMonotonicMs();
  }

  static create(options: CoordinatorElectionOptions): CoordinatorElection {
    return new CoordinatorElection(options);
  }

  /** Runs election rounds until the process exits. */
  async run(): Promise<void> {
    for (;;) {
      await waitMs(PROBE_INTERVAL_MS);
      if (this.options.cluster.hasListed()) await this.runRound();
    }
  }

  /** Makes no further claims. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Claims the role at once; called when the coordinator hands it over. */
  async takeOver(): Promise<boolean> {
    return (
      !this.isDraining &&
      (await this.claim(this.options.cluster.getCoordinator()))
    );
  }

  /** Asks the other nodes in turn to take over; returns the one that did. */
  async handOver(): Promise<string | undefined> {
    const {cluster, peers, name} = this.options;
    for (const node of cluster.listNodes('home')) {
      const address = parseAddress(node.address);
      if (node.name === name || address === undefined) continue;
      const reply = await peers.call({
        address,
        path: JOB_PATHS.takeOver,
        body: {},
        schema: TAKEN_OVER_SCHEMA,
        timeoutMs: HAND_OVER_TIMEOUT_MS,
      });
      if (reply.isOk() && reply.value.isDone) return node.name;
    }
    return undefined;
  }

  /** Probes the coordinator, and claims its role if it is silent. */
  async runRound(): Promise<void> {
    const previous = this.options.cluster.getCoordinator();
    const coordinator = previous?.record;
    this.trackEpoch(coordinator);
    if (coordinator !== undefined && !this.isOwn(coordinator)) {
      await this.probe(coordinator);
    }
    let step = this.decide(coordinator, undefined);
    if (step === 'ask-witnesses') {
      step = this.decide(coordinator, await this.collectContactReports());
    }
    if (step !== 'claim') return;
    // A coordinator elected in the meantime gets its own time to answer.
    const newest = this.options.cluster.getCoordinator()?.record.epoch;
    if (newest === coordinator?.epoch) await this.claim(previous);
  }

  private isOwn(coordinator: CoordinatorRecord): boolean {
    return coordinator.node === this.options.name;
  }

  /** Starts the time to answer when a new coordinator is first known. */
  private trackEpoch(coordinator: CoordinatorRecord | undefined): void {
    const epoch = coordinator?.epoch ?? 0;
    if (epoch === this.knownEpoch) return;
    this.knownEpoch = epoch;
    this.lastContactAtMs = this.options.clock.readMonotonicMs();
    this.isRefused = false;
  }

  private decide(
    coordinator: CoordinatorRecord | undefined,
    contactReports: readonly CoordinatorContact[] | undefined,
  ) {
    const {name, incarnation, clock} = this.options;
    return decideElection({
      nowMs: clock.readMonotonicMs(),
      ownName: name,
      ownIncarnation: incarnation,
      coordinator: coordinator,
      lastContactAtMs: this.lastContactAtMs,
      isProbeRejected: this.isRefused,
      rank: this.computeRank(coordinator),
      isDraining: this.isDraining,
      contactReports: contactReports,
    });
  }

  private computeRank(coordinator: CoordinatorRecord | undefined): number {
    const names = this.options.cluster
      .listNodes('home')
      .map(node => node.name)
      .filter(name => name !== coordinator?.node);
    return Math.max(0, names.indexOf(this.options.name));
  }

  private async probe(coordinator: CoordinatorRecord): Promise<void> {
    const address = parseAddress(coordinator.address);
    if (address === undefined) return;
    const reply = await this.options.peers.call({
      address,
      path: JOB_PATHS.ping,
      body: {},
      schema: PING_SCHEMA,
      timeoutMs: PROBE_TIMEOUT_MS,
    });
    if (reply.isOk() && reply.value.epoch >= coordinator.epoch) {
      this.lastContactAtMs = this.options.clock.readMonotonicMs();
      this.isRefused = false;
      return;
    }
    // Nothing listens there, or the process no longer acts as coordinator.
    this.isRefused = reply.isOk() || reply.error.kind === 'peer-absent';
  }

  private async collectContactReports(): Promise<CoordinatorContact[]> {
    const {cluster, peers} = this.options;
    const agents = cluster.listNodes('agent');
    const first = Math.floor(Math.random() * agents.length);
    const rotated = [...agents.slice(first), ...agents.slice(0, first)];
    const replies = await Promise.all(
      rotated.slice(0, MAX_CONTACT_REPORTS).map(async agent => {
        const address = parseAddress(agent.address);
        if (address === undefined) return undefined;
        const reply = await peers.call({
          address,
          path: '/agent/home',
          body: {},
          schema: COORDINATOR_CONTACT_SCHEMA,
          timeoutMs: PROBE_TIMEOUT_MS,
        });
        return reply.isOk() ? reply.value : undefined;
      }),
    );
    return replies.filter(reply => reply !== undefined);
  }

  /** Claims the role of the given coordinator; undefined if there was none. */
  private async claim(
    previous: VersionedCoordinator | undefined,
  ): Promise<boolean> {
    const {name, incarnation, address, cluster, store, log} = this.options;
    const epoch = (previous?.record.epoch ?? 0) + 1;
    const record: CoordinatorRecord = {node: name, incarnation, address, epoch};
    const written =
      previous === undefined
        ? await store.createObject(
            CLUSTER_COLLECTION,
            COORDINATOR_OBJECT,
            record,
          )
        : await store.replaceObject(
            CLUSTER_COLLECTION,
            COORDINATOR_OBJECT,
            record,
            previous.version,
          );
    if (written.isErr()) return this.verifyClaim(record);
    cluster.acceptCoordinator({record, version: written.value.version});
    log.writeEvent('home-claimed', {epoch, before: previous?.record.node});
    this.options.onElected(record);
    return true;
  }

  /** Reads who won: a write whose answer was lost may have succeeded. */
  private async verifyClaim(claimed: CoordinatorRecord): Promise<boolean> {
    const {cluster, onElected} = this.options;
    if (!(await cluster.readCoordinator())) return false;
    const record = cluster.getCoordinator()?.record;
    const isOwn =
      record?.epoch === claimed.epoch &&
      record.incarnation === claimed.incarnation;
    if (isOwn) onElected(record);
    return isOwn;
  }
}
