/**
 * The agents and other entries that an entry knows. It discovers them from the
 * seeds and the VM list, and watches each through a heartbeat stream.
 */
import {
  Clock,
  FleetView,
  Quarantine,
  RandomSource,
  RulesHolder,
} from '@sassafrasspan/core';
import {
  AgentClient,
  AgentHeartbeat,
  CLOSED_STREAM,
  EntryClient,
  EntryHeartbeat,
  StreamHandle,
  drainEndpoint,
} from '@sassafrasspan/nodes';
import type {ListedVm, VmList} from '@sassafrasspan/platform';
import type {EventLog} from '@sassafrasspan/runtime';
import type {RulesFeed} from '../shared/rules_feed';
import {parseAgentReport} from './heartbeat_reader';
import {RulesBroadcaster} from './rules_broadcaster';

const MIN_REWATCH_DELAY_MS = 250;
const MAX_REWATCH_DELAY_MS = 2_000;
/** Time without a heartbeat after which an unlisted node is removed. */
const UNLISTED_TTL_MS = 10_000;

/** A node as the settings or the VM list describe it. */
export type KnownNode = Omit<ListedVm, 'state'>;

export interface NodeDirectoryOptions {
  /** Name of this entry, which is not watched. */
  readonly self: string;
  readonly seeds: readonly KnownNode[];
  readonly vmList: VmList;
  readonly fleet: FleetView;
  readonly rules: RulesHolder;
  readonly feed: RulesFeed;
  readonly quarantine: Quarantine;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
}

/** A watched agent or entry. */
interface WatchedNode<T> {
  readonly node: KnownNode;
  readonly client: T;
  handle: StreamHandle;
  /** Number of watches that ended since the last heartbeat. */
  failures: number;
  /** Monotonic time of the last heartbeat, or of the creation of the watch. */
  lastContactAtMs: number;
}

/** A watched entry and its last heartbeat. */
interface WatchedEntry extends WatchedNode<EntryClient> {
  heartbeat: EntryHeartbeat | undefined;
}

/** Another entry, its last heartbeat and the age of that heartbeat. */
export interface PeerEntry {
  readonly name: string;
  readonly client: EntryClient;
  readonly heartbeat: EntryHeartbeat | undefined;
  /** Infinity before the first heartbeat. */
  readonly heartbeatAgeMs: number;
}

/** Watches agents and other entries and applies their heartbeats. */
export class NodeDirectory {
  private readonly agents = new Map<string, WatchedNode<AgentClient>>();
  private readonly entries = new Map<string, WatchedEntry>();
  private readonly rulesBroadcaster: RulesBroadcaster;
  private isStopped = false;

  private constructor(private readonly options: NodeDirectoryOptions) {
    this.rulesBroadcaster = RulesBroadcaster.create(options);
  }

  static create(options: NodeDirectoryOptions): NodeDirectory {
    return new NodeDirectory(options);
  }

  /** Starts watching the seeds. */
  start(): void {
    for (const seed of this.options.seeds) this.addNode(seed);
  }

  /** Reads the VM list once and applies it; a failed read changes nothing. */
  async refresh(): Promise<void> {
    const listed = await this.options.vmList.listVms();
    if (listed.isErr() || this.isStopped) return;
    const leaving = listed.value.filter(vm => vm.state === 'leaving');
    this.options.fleet.setLeavingVms(leaving.map(vm => vm.name));
    for (const vm of listed.value) this.addNode(vm);
    for (const vm of leaving) this.notifyLeaving(vm);
    this.removeUnlisted(listed.value);
  }

  /**
   * Notifies an agent that its VM is listed as leaving, until the agent's own
   * heartbeats report it. Entries that cannot read the VM list then learn of it
   * from these heartbeats.
   */
  private notifyLeaving(vm: KnownNode): void {
    if (!this.agents.has(vm.name) || this.options.fleet.isLeaving(vm.name)) {
      return;
    }
    void drainEndpoint(vm.address, '');
  }

  private addNode(node: KnownNode): void {
    if (node.name === this.options.self) return;
    if (node.role === 'agent') this.addAgent(node);
    else this.addEntry(node);
  }

  private addAgent(node: KnownNode): void {
    const existing = this.agents.get(node.name);
    if (existing?.node.address === node.address) return;
    if (existing !== undefined) this.dropAgent(existing);
    const client = AgentClient.create(node.address);
    const watched: WatchedNode<AgentClient> = {
      node,
      client,
      ...this.createWatchState(),
    };
    this.agents.set(node.name, watched);
    this.watchAgent(watched);
  }

  private watchAgent(watched: WatchedNode<AgentClient>): void {
    watched.handle = watched.client.watch(this.createWatchRequest(), {
      receiveMessage: heartbeat => this.applyAgent(watched, heartbeat),
      handleLoss: reason => {
        const peer = watched.node.name;
        this.options.log.writeEvent('peer-lost', {peer, reason});
        this.scheduleRewatch(watched, () => {
          if (this.agents.get(peer) === watched) this.watchAgent(watched);
        });
      },
    });
  }

  private createWatchRequest() {
    const rulesRevision = this.options.rules.getRevisionNumber();
    return {node: this.options.self, rulesRevision};
  }

  private createWatchState() {
    const lastContactAtMs = this.options.clock.readMonotonicMs();
    return {handle: CLOSED_STREAM, failures: 0, lastContactAtMs};
  }

  /** Restarts a watch after a delay with exponential backoff and jitter. */
  private scheduleRewatch(
    watched: WatchedNode<unknown>,
    start: () => void,
  ): void {
    const grownMs = MIN_REWATCH_DELAY_MS * 2 ** watched.failures;
    const delayMs = Math.min(MAX_REWATCH_DELAY_MS, grownMs);
    watched.failures += 1;
    setTimeout(
      () => {
        if (!this.isStopped) start();
      },
      delayMs * (0.5 + this.options.random()),
    );
  }

  /** Resets the backoff of a watch; returns the current monotonic time. */
  private recordContact(watched: WatchedNode<unknown>): number {
    watched.failures = 0;
    watched.lastContactAtMs = this.options.clock.readMonotonicMs();
    return watched.lastContactAtMs;
  }

  private applyAgent(
    watched: WatchedNode<AgentClient>,
    heartbeat: AgentHeartbeat,
  ): void {
    const nowMs = this.recordContact(watched);
    this.options.fleet.applyReport(parseAgentReport(heartbeat), nowMs);
    this.options.quarantine.addQuarantined(heartbeat.quarantined);
    this.options.quarantine.addSuspicions(heartbeat.suspicions);
    const {agent, rulesRevision} = heartbeat;
    this.rulesBroadcaster.recordAgent(agent, watched.client, rulesRevision);
  }

  /** Brings an agent and this entry to the newer of their rules revisions. */
  async reconcileRules(agent: string): Promise<void> {
    await this.rulesBroadcaster.reconcileAgent(agent);
  }

  private addEntry(node: KnownNode): void {
    const existing = this.entries.get(node.name);
    if (existing?.node.address === node.address) return;
    if (existing !== undefined) this.dropEntry(existing);
    const watched: WatchedEntry = {
      node,
      client: EntryClient.create(node.address),
      ...this.createWatchState(),
      heartbeat: undefined,
    };
    this.entries.set(node.name, watched);
    this.watchEntry(watched);
  }

  private watchEntry(watched: WatchedEntry): void {
    watched.handle = watched.client.watch(this.createWatchRequest(), {
      receiveMessage: heartbeat => this.applyEntry(watched, heartbeat),
      handleLoss: () =>
        this.scheduleRewatch(watched, () => {
          if (this.entries.get(watched.node.name) !== watched) return;
          this.watchEntry(watched);
        }),
    });
  }

  private applyEntry(watched: WatchedEntry, heartbeat: EntryHeartbeat): void {
    watched.heartbeat = heartbeat;
    this.recordContact(watched);
    this.options.quarantine.addQuarantined(heartbeat.quarantined);
    this.options.quarantine.addSuspicions(heartbeat.suspicions);
    const {rulesRevision} = heartbeat;
    void this.options.feed.fetchNewerRules(watched.client, rulesRevision);
  }

  /** Removes silent nodes that neither the VM list nor the seeds name. */
  private removeUnlisted(vms: readonly ListedVm[]): void {
    const listedNames = new Set([
      ...vms.map(vm => vm.name),
      ...this.options.seeds.map(seed => seed.name),
    ]);
    const nowMs = this.options.clock.readMonotonicMs();
    const isGone = (watched: WatchedNode<unknown>) =>
      !listedNames.has(watched.node.name) &&
      nowMs - watched.lastContactAtMs > UNLISTED_TTL_MS;
    for (const watched of [...this.agents.values()].filter(isGone)) {
      this.dropAgent(watched);
    }
    for (const watched of [...this.entries.values()].filter(isGone)) {
      this.dropEntry(watched);
    }
  }

  private dropAgent(watched: WatchedNode<AgentClient>): void {
    watched.handle.cancel();
    watched.client.close();
    this.agents.delete(watched.node.name);
    this.rulesBroadcaster.removeAgent(watched.node.name);
    this.options.fleet.removeAgent(watched.node.name);
  }

  private dropEntry(watched: WatchedEntry): void {
    watched.handle.cancel();
    watched.client.close();
    this.entries.delete(watched.node.name);
  }

  /** Returns the client of a watched agent, undefined for unknown agents. */
  findAgent(name: string): AgentClient | undefined {
    return this.agents.get(name)?.client;
  }

  /** Lists the clients of all watched agents. */
  listAgentClients(): AgentClient[] {
    return [...this.agents.values()].map(watched => watched.client);
  }

  /** Lists the other entries that are watched, silent ones included. */
  listEntries(): PeerEntry[] {
    const nowMs = this.options.clock.readMonotonicMs();
    return [...this.entries.values()].map(watched => ({
      name: watched.node.name,
      client: watched.client,
      heartbeat: watched.heartbeat,
      heartbeatAgeMs:
        watched.heartbeat === undefined
          ? Infinity
          : nowMs - watched.lastContactAtMs,
    }));
  }

  /** Ends all watches and closes their clients. */
  stop(): void {
    this.isStopped = true;
    for (const watched of this.agents.values()) this.dropAgent(watched);
    for (const watched of this.entries.values()) this.dropEntry(watched);
  }
}
