/**
 * Takes part in the election of the home of batch jobs: probes the home, asks
 * agents when it is silent, and claims its place in the store.
 */
import {
  Clock,
  HomeRecord,
  COORDINATOR_CONTACT_SCHEMA,
  WitnessView,
  decideElection,
} from '@sassafrasspan/core';
import {
  CLUSTER_COLLECTION,
  ClusterWatch,
  COORDINATOR_OBJECT,
  COORDINATOR_SCHEMA,
  PeerClient,
  VersionedCoordinator,
} from '@sassafrasspan/peers';
import type {ObjectCollections} from '@sassafrasspan/platform';
import {EventLog, parseAddress, waitMs} from '@sassafrasspan/runtime';
import {JOB_PATHS, PING_SCHEMA, TAKEN_OVER_SCHEMA} from './job_messages';

/** Time between probes of the home, in ms. */
const PROBE_INTERVAL_MS = 200;
/** Time for the answer to a probe, in ms. */
const PROBE_TIMEOUT_MS = 250;
/** Time for another node to take over, in ms. */
const HAND_OVER_TIMEOUT_MS = 700;
/** Agents that are asked about a silent home. */
const MAX_CONTACT_REPORTS = 5;

/** What a runner is built from. */
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
  /** Hears that this node has become the home. */
  readonly onElected: (record: HomeRecord) => void;
}

/** A node's part in the election. */
export class CoordinatorElection {
  private lastContactAtMs: number;
  private knownEpoch = -1;
  private isRefused = false;
  private isDraining = false;

  private constructor(private readonly options: CoordinatorElectionOptions) {
    this.lastContactAtMs = options.clock.readMonotonicMs();
  }

  /** Builds a runner. */
  static create(options: CoordinatorElectionOptions): CoordinatorElection {
    return new CoordinatorElection(options);
  }

  /** Takes part for as long as the process lives. */
  async run(): Promise<void> {
    for (;;) {
      await waitMs(PROBE_INTERVAL_MS);
      if (this.options.cluster.hasListed()) await this.runRound();
    }
  }

  /** Claims nothing from now on. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Claims the home now, where the home itself hands it over. */
  async takeOver(): Promise<boolean> {
    return (
      !this.isDraining &&
      (await this.claim(this.options.cluster.getCoordinator()))
    );
  }

  /** Asks other nodes to take over; returns the one that did. */
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

  /** Looks at the home once, and claims its place if it is silent. */
  async runRound(): Promise<void> {
    const known = this.options.cluster.getCoordinator();
    const home = known?.record;
    this.trackEpoch(home);
    if (home !== undefined && !this.isOwn(home)) await this.probe(home);
    let step = this.decide(home, undefined);
    if (step === 'ask-witnesses') {
      step = this.decide(home, await this.collectContactReports());
    }
    if (step !== 'claim') return;
    // A home that was elected meanwhile has its own time to answer.
    const newest = this.options.cluster.getCoordinator()?.record.epoch;
    if (newest === home?.epoch) await this.claim(known);
  }

  private isOwn(home: HomeRecord): boolean {
    return home.node === this.options.name;
  }

  /** A new home has its time to answer from when it is first heard of. */
  private trackEpoch(home: HomeRecord | undefined): void {
    const epoch = home?.epoch ?? 0;
    if (epoch === this.knownEpoch) return;
    this.knownEpoch = epoch;
    this.lastContactAtMs = this.options.clock.readMonotonicMs();
    this.isRefused = false;
  }

  private decide(
    home: HomeRecord | undefined,
    witnesses: readonly WitnessView[] | undefined,
  ) {
    const {name, incarnation, clock} = this.options;
    return decideElection({
      nowMs: clock.readMonotonicMs(),
      ownName: name,
      ownIncarnation: incarnation,
      home,
      heardAtMs: this.lastContactAtMs,
      isRefused: this.isRefused,
      rank: this.computeRank(home),
      isDraining: this.isDraining,
      witnesses,
    });
  }

  private computeRank(home: HomeRecord | undefined): number {
    const names = this.options.cluster
      .listNodes('home')
      .map(node => node.name)
      .filter(name => name !== home?.node);
    return Math.max(0, names.indexOf(this.options.name));
  }

  private async probe(home: HomeRecord): Promise<void> {
    const address = parseAddress(home.address);
    if (address === undefined) return;
    const reply = await this.options.peers.call({
      address,
      path: JOB_PATHS.ping,
      body: {},
      schema: PING_SCHEMA,
      timeoutMs: PROBE_TIMEOUT_MS,
    });
    if (reply.isOk() && reply.value.epoch >= home.epoch) {
      this.lastContactAtMs = this.options.clock.readMonotonicMs();
      this.isRefused = false;
      return;
    }
    // A process that does not listen, or has forgotten that it is the home.
    this.isRefused = reply.isOk() || reply.error.kind === 'peer-absent';
  }

  private async collectContactReports(): Promise<WitnessView[]> {
    const {cluster, peers} = this.options;
    const agents = cluster.listNodes('agent');
    const first = Math.floor(Math.random() * agents.length);
    const asked = [...agents.slice(first), ...agents.slice(0, first)];
    const replies = await Promise.all(
      asked.slice(0, MAX_CONTACT_REPORTS).map(async agent => {
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

  /** Claims the place of the home that was found silent. */
  private async claim(
    known: VersionedCoordinator | undefined,
  ): Promise<boolean> {
    const {name, incarnation, address, cluster, store, log} = this.options;
    const epoch = (known?.record.epoch ?? 0) + 1;
    const record: HomeRecord = {node: name, incarnation, address, epoch};
    const written =
      known === undefined
        ? await store.createObject(
            CLUSTER_COLLECTION,
            COORDINATOR_OBJECT,
            record,
          )
        : await store.replaceObject(
            CLUSTER_COLLECTION,
            COORDINATOR_OBJECT,
            record,
            known.version,
          );
    if (written.isErr()) return this.verifyClaim(record);
    cluster.acceptCoordinator({record, version: written.value.version});
    log.writeEvent('home-claimed', {epoch, before: known?.record.node});
    this.options.onElected(record);
    return true;
  }

  /** Finds out who won; a lost answer may hide that this node did. */
  private async verifyClaim(wanted: HomeRecord): Promise<boolean> {
    const {store, cluster} = this.options;
    const found = await store.readObject(
      CLUSTER_COLLECTION,
      COORDINATOR_OBJECT,
    );
    if (found.isErr() || found.value === undefined) return false;
    const parsed = COORDINATOR_SCHEMA.safeParse(found.value.value);
    if (!parsed.success) return false;
    const record = parsed.data;
    cluster.acceptCoordinator({record, version: found.value.version});
    const isOwn =
      record.epoch === wanted.epoch &&
      record.incarnation === wanted.incarnation;
    if (isOwn) this.options.onElected(record);
    return isOwn;
  }
}
