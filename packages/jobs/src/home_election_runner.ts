/**
 * Takes part in the election of the home of batch jobs: probes the home, asks
 * agents when it is silent, and claims its place in the store.
 */
import {
  Clock,
  CoordinatorRecord,
  WITNESS_SCHEMA,
  CoordinatorContact,
  decideElection,
} from '@sassafrasspan/core';
import {
  CLUSTER_KIND,
  ClusterWatch,
  HOME_NAME,
  HOME_SCHEMA,
  PeerClient,
  VersionedHome,
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
const WITNESSES = 5;

/** What a runner is built from. */
export interface HomeElectionOptions {
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
  readonly onElected: (record: CoordinatorRecord) => void;
}

/** A node's part in the election. */
export class HomeElectionRunner {
  private heardAtMs: number;
  private heardEpoch = -1;
  private isRefused = false;
  private isDraining = false;

  private constructor(private readonly options: HomeElectionOptions) {
    this.heardAtMs = options.clock.readMonotonicMs();
  }

  /** Builds a runner. */
  static create(options: HomeElectionOptions): HomeElectionRunner {
    return new HomeElectionRunner(options);
  }

  /** Takes part for as long as the process lives. */
  async run(): Promise<void> {
    for (;;) {
      await waitMs(PROBE_INTERVAL_MS);
      if (this.options.cluster.hasListed()) await this.advance();
    }
  }

  /** Claims nothing from now on. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Claims the home now, where the home itself hands it over. */
  async takeOver(): Promise<boolean> {
    return (
      !this.isDraining && (await this.claim(this.options.cluster.getHome()))
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
  async advance(): Promise<void> {
    const known = this.options.cluster.getHome();
    const home = known?.record;
    this.trackEpoch(home);
    if (home !== undefined && !this.isOwn(home)) await this.probe(home);
    let step = this.decide(home, undefined);
    if (step === 'ask-witnesses') {
      step = this.decide(home, await this.askWitnesses());
    }
    if (step !== 'claim') return;
    // A home that was elected meanwhile has its own time to answer.
    const newest = this.options.cluster.getHome()?.record.epoch;
    if (newest === home?.epoch) await this.claim(known);
  }

  private isOwn(home: CoordinatorRecord): boolean {
    return home.node === this.options.name;
  }

  /** A new home has its time to answer from when it is first heard of. */
  private trackEpoch(home: CoordinatorRecord | undefined): void {
    const epoch = home?.epoch ?? 0;
    if (epoch === this.heardEpoch) return;
    this.heardEpoch = epoch;
    this.heardAtMs = this.options.clock.readMonotonicMs();
    this.isRefused = false;
  }

  private decide(
    home: CoordinatorRecord | undefined,
    witnesses: readonly CoordinatorContact[] | undefined,
  ) {
    const {name, incarnation, clock} = this.options;
    return decideElection({
      nowMs: clock.readMonotonicMs(),
      ownName: name,
      ownIncarnation: incarnation,
      coordinator: home,
      lastContactAtMs: this.heardAtMs,
      isProbeRejected: this.isRefused,
      rank: this.computeRank(home),
      isDraining: this.isDraining,
      contactReports: witnesses,
    });
  }

  private computeRank(home: CoordinatorRecord | undefined): number {
    const names = this.options.cluster
      .listNodes('home')
      .map(node => node.name)
      .filter(name => name !== home?.node);
    return Math.max(0, names.indexOf(this.options.name));
  }

  private async probe(home: CoordinatorRecord): Promise<void> {
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
      this.heardAtMs = this.options.clock.readMonotonicMs();
      this.isRefused = false;
      return;
    }
    // A process that does not listen, or has forgotten that it is the home.
    this.isRefused = reply.isOk() || reply.error.kind === 'peer-absent';
  }

  private async askWitnesses(): Promise<CoordinatorContact[]> {
    const {cluster, peers} = this.options;
    const agents = cluster.listNodes('agent');
    const first = Math.floor(Math.random() * agents.length);
    const asked = [...agents.slice(first), ...agents.slice(0, first)];
    const replies = await Promise.all(
      asked.slice(0, WITNESSES).map(async agent => {
        const address = parseAddress(agent.address);
        if (address === undefined) return undefined;
        const reply = await peers.call({
          address,
          path: '/agent/home',
          body: {},
          schema: WITNESS_SCHEMA,
          timeoutMs: PROBE_TIMEOUT_MS,
        });
        return reply.isOk() ? reply.value : undefined;
      }),
    );
    return replies.filter(reply => reply !== undefined);
  }

  /** Claims the place of the home that was found silent. */
  private async claim(known: VersionedHome | undefined): Promise<boolean> {
    const {name, incarnation, address, cluster, store, log} = this.options;
    const epoch = (known?.record.epoch ?? 0) + 1;
    const record: CoordinatorRecord = {node: name, incarnation, address, epoch};
    const written =
      known === undefined
        ? await store.createObject(CLUSTER_KIND, HOME_NAME, record)
        : await store.replaceObject(
            CLUSTER_KIND,
            HOME_NAME,
            record,
            known.version,
          );
    if (written.isErr()) return this.readHome(record);
    cluster.acceptHome({record, version: written.value.version});
    log.writeEvent('home-claimed', {epoch, before: known?.record.node});
    this.options.onElected(record);
    return true;
  }

  /** Finds out who won; a lost answer may hide that this node did. */
  private async readHome(wanted: CoordinatorRecord): Promise<boolean> {
    const {store, cluster} = this.options;
    const found = await store.readObject(CLUSTER_KIND, HOME_NAME);
    if (found.isErr() || found.value === undefined) return false;
    const parsed = HOME_SCHEMA.safeParse(found.value.value);
    if (!parsed.success) return false;
    const record = parsed.data;
    cluster.acceptHome({record, version: found.value.version});
    const isOwn =
      record.epoch === wanted.epoch &&
      record.incarnation === wanted.incarnation;
    if (isOwn) this.options.onElected(record);
    return isOwn;
  }
}
