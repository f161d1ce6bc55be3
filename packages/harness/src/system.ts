/**
 * A complete system on loopback for the demo and the tests: stand-ins, agents
 * and entries, each in a process of its own.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createHash} from 'node:crypto';
import {applyRules, parseRules} from '@sassafrasspan/operators';
import {ObjectClient} from '@sassafrasspan/platform';
import {stringify} from 'yaml';
import {ManagedProcess} from './child_process';
import {FleetLinks, PlannedNode} from './fleet_links';
import {countServing, fetchStatus, waitUntil} from './node_status';
import {
  PrintedAddress,
  StartedStandin,
  formatUrl,
  readAddress,
  sendAdmin,
  startStandin,
} from './standin_process';
import {TcpRelay} from './tcp_relay';

export type {StartedStandin} from './standin_process';

/** An endpoint and the agent beside it. */
export interface EndpointPlan {
  readonly name: string;
  readonly service: string;
  readonly kind: 'engine' | 'plain';
  readonly failureDomain: string;
  /** Options of the stand-in. */
  readonly options?: Readonly<Record<string, unknown>>;
  /** Settings of the agent that extend or replace the default ones. */
  readonly agent?: Readonly<Record<string, unknown>>;
}

export interface EntryPlan {
  readonly name: string;
  readonly failureDomain: string;
}

/** Nodes, rules and network of a system. */
export interface SystemPlan {
  readonly entries: readonly EntryPlan[];
  readonly endpoints: readonly EndpointPlan[];
  /** Text of the rules file. */
  readonly rules: string;
  readonly logLevel?: 'debug' | 'info' | 'warn' | 'error';
  /**
   * Whether nodes reach each other and the platform through relays. Each node
   * has one relay that all other nodes use.
   */
  readonly hasRelays?: boolean;
  /**
   * Whether each entry has a separate relay to each other node, so that failure
   * domains can be partitioned. The VM list is then empty and nodes know each
   * other only from the seeds in their settings.
   */
  readonly hasLinks?: boolean;
}

/** The addresses that a node prints at its start. */
interface PrintedNode {
  readonly peers: PrintedAddress;
  readonly operators: PrintedAddress;
  readonly callers?: PrintedAddress;
}

/** A running entry or agent. */
export interface StartedNode {
  readonly name: string;
  readonly failureDomain: string;
  readonly process: ManagedProcess;
  /** `host:port` of the node's peer server itself, not of a relay. */
  readonly peerAddress: string;
  readonly operatorsUrl: string;
  /** URL for callers; empty for agents. */
  readonly callersUrl: string;
  /** Path of the settings file; it exists until the system is closed. */
  readonly settingsFile: string;
}

/** Returns the API key that the harness uses for a customer. */
export function createApiKey(customer: string): string {
  return `key-of-${customer}`;
}

/** Returns the SHA-256 of a customer's API key in hex, as rules contain it. */
export function hashCustomerKey(customer: string): string {
  return createHash('sha256').update(createApiKey(customer)).digest('hex');
}

/** A running system. Tests close it to end its processes. */
export class TestSystem {
  readonly entries = new Map<string, StartedNode>();
  readonly agents = new Map<string, StartedNode>();
  readonly endpoints = new Map<string, StartedStandin>();
  /** Relay in front of each node's peer server, by node name. */
  readonly peerRelays = new Map<string, TcpRelay>();
  /** Relay from each node to the platform, by node name. */
  readonly platformRelays = new Map<string, TcpRelay>();
  private readonly links: FleetLinks;
  private readonly folder = mkdtempSync(
    path.join(tmpdir(), 'sassafrasspan-system-'),
  );

  private constructor(
    private readonly plan: SystemPlan,
    readonly platform: StartedStandin,
    readonly weights: StartedStandin,
    readonly scoring: StartedStandin,
  ) {
    this.links = FleetLinks.create(listPlannedNodes(plan));
  }

  /** Starts all processes and waits until entries see every endpoint serve. */
  static async create(plan: SystemPlan): Promise<TestSystem> {
    const [platform, weights, scoring] = await Promise.all([
      startStandin('platform', 'platform', {}),
      startStandin('weights', 'weights', {fetchesPerSecond: 1_000}),
      startStandin('scoring', 'scoring', {}),
    ]);
    const system = new TestSystem(plan, platform, weights, scoring);
    if (plan.hasLinks === true) await system.links.open();
    await system.applyRules(plan.rules);
    await Promise.all(plan.endpoints.map(item => system.startEndpoint(item)));
    await Promise.all(plan.entries.map(item => system.startEntry(item)));
    system.orderNodes();
    await system.publishVms([]);
    await system.waitUntilReady();
    return system;
  }

  /** Puts the nodes in the order of the plan; they start in any order. */
  private orderNodes(): void {
    for (const {name} of listPlannedNodes(this.plan)) {
      const nodes = this.entries.has(name) ? this.entries : this.agents;
      const node = getOrThrow(nodes, name);
      nodes.delete(name);
      nodes.set(name, node);
    }
  }

  /** Applies a rules file and returns its revision; throws if refused. */
  async applyRules(text: string): Promise<number> {
    const parsed = parseRules(text);
    if (parsed.isErr()) throw new Error(JSON.stringify(parsed.error));
    const store = ObjectClient.create(this.platform.url);
    const applied = await applyRules(store, {
      text,
      rules: parsed.value,
      author: 'harness',
      writtenAtMs: Date.now(),
      basedOn: undefined,
    });
    await store.close();
    if (applied.isErr()) throw new Error(applied.error.detail);
    return applied.value.revision;
  }

  private async startEndpoint(plan: EndpointPlan): Promise<void> {
    const options = {name: plan.name, ...plan.options};
    const standinOptions = plan.kind === 'engine' ? plan.options : options;
    const standin = await startStandin(
      plan.name,
      plan.kind,
      standinOptions ?? {},
    );
    this.endpoints.set(plan.name, standin);
    await this.startAgent(plan);
  }

  /** Starts the agent of an endpoint, at its old address if it ran before. */
  async startAgent(plan: EndpointPlan): Promise<StartedNode> {
    const name = `agent-${plan.name}`;
    const standin = this.endpoints.get(plan.name);
    const options = plan.options ?? {};
    const node = await this.startNode('agent', name, plan.failureDomain, {
      weightStore: {url: this.weights.url, fetchesPerSecond: 1_000},
      endpoints: [
        {
          name: plan.name,
          service: plan.service,
          kind: plan.kind,
          url: standin?.url,
          slots: options.slots ?? 8,
          fencing: options.fencing ?? 'checks',
        },
      ],
      ...plan.agent,
    });
    this.agents.set(name, node);
    return node;
  }

  /** Starts an entry, at its old address if it ran before. */
  async startEntry(plan: EntryPlan): Promise<StartedNode> {
    const old = this.entries.get(plan.name);
    const callers = readAddress(old?.callersUrl);
    const node = await this.startNode('entry', plan.name, plan.failureDomain, {
      callers,
      scoring: [{name: 'score', url: this.scoring.url}],
    });
    this.entries.set(plan.name, node);
    return node;
  }

  private async startNode(
    role: 'entry' | 'agent',
    name: string,
    failureDomain: string,
    fields: Readonly<Record<string, unknown>>,
  ): Promise<StartedNode> {
    const previous = this.entries.get(name) ?? this.agents.get(name);
    const platformUrl = await this.preparePlatformUrl(name);
    const settings = {
      role,
      name,
      failureDomain,
      peers: readAddress(
        previous === undefined ? '' : `http://${previous.peerAddress}`,
      ),
      operators: readAddress(previous?.operatorsUrl),
      platform: {objectsUrl: platformUrl, vmsUrl: platformUrl},
      log: {level: this.plan.logLevel ?? 'info'},
      seeds: this.listSeeds(name),
      ...fields,
    };
    const settingsFile = path.join(this.folder, `${name}.yaml`);
    writeFileSync(settingsFile, stringify(settings));
    const started = await ManagedProcess.create(name, 'sassafrasspan.cjs', [
      role,
      settingsFile,
    ]);
    const printed = started.addresses as PrintedNode;
    await this.createPeerRelay(name, printed.peers);
    this.links.setTarget(name, `${printed.peers.host}:${printed.peers.port}`);
    return {
      name,
      failureDomain,
      process: started,
      peerAddress: `${printed.peers.host}:${printed.peers.port}`,
      operatorsUrl: formatUrl(printed.operators),
      callersUrl: printed.callers ? formatUrl(printed.callers) : '',
      settingsFile,
    };
  }

  private listSeeds(name: string) {
    if (this.plan.hasLinks === true) return this.links.listSeeds(name);
    return this.describeNodes().filter(node => node.name !== name);
  }

  /**
   * Partitions a failure domain from all others and from the platform. Needs
   * `hasLinks` in the plan.
   */
  cutDomain(domain: string): void {
    this.links.cutDomain(domain);
    for (const relay of this.listPlatformRelays(domain)) relay.blockTraffic();
  }

  /** Ends a partition for new connections; silenced ones stay silent. */
  healDomain(domain: string): void {
    this.links.healDomain(domain);
    for (const relay of this.listPlatformRelays(domain)) relay.setMode('pass');
  }

  private listPlatformRelays(domain: string): TcpRelay[] {
    const nodes = [...this.entries.values(), ...this.agents.values()];
    return nodes
      .filter(node => node.failureDomain === domain)
      .flatMap(node => this.platformRelays.get(node.name) ?? []);
  }

  private async preparePlatformUrl(name: string): Promise<string> {
    const {hasRelays, hasLinks} = this.plan;
    if (hasRelays !== true && hasLinks !== true) return this.platform.url;
    const existing = this.platformRelays.get(name);
    const relay =
      existing ?? (await TcpRelay.create(this.platform.url.slice(7)));
    this.platformRelays.set(name, relay);
    return `http://${relay.getAddress()}`;
  }

  private async createPeerRelay(
    name: string,
    peers: PrintedAddress,
  ): Promise<void> {
    if (this.plan.hasRelays !== true || this.peerRelays.has(name)) return;
    const relay = await TcpRelay.create(`${peers.host}:${peers.port}`);
    this.peerRelays.set(name, relay);
  }

  /**
   * Writes the platform's VM list. VMs named in `leaving` are listed as
   * leaving, those in `missing` are not listed.
   */
  async publishVms(
    leaving: readonly string[],
    missing: readonly string[] = [],
  ): Promise<void> {
    const listed = this.plan.hasLinks === true ? [] : this.describeNodes();
    const vms = listed
      .filter(node => !missing.includes(node.name))
      .map(node => ({
        ...node,
        state: leaving.includes(node.name) ? 'leaving' : 'live',
      }));
    await sendAdmin(`${this.platform.url}/admin/vms`, 'PUT', {vms});
  }

  private describeNodes() {
    const describeNode = (role: string) => (node: StartedNode) => ({
      name: node.name,
      role,
      failureDomain: node.failureDomain,
      address: this.peerRelays.get(node.name)?.getAddress() ?? node.peerAddress,
    });
    return [
      ...[...this.entries.values()].map(describeNode('entry')),
      ...[...this.agents.values()].map(describeNode('agent')),
    ];
  }

  /** Makes a stand-in inject faults from now on. */
  async setFaults(
    standin: StartedStandin,
    faults: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    await sendAdmin(`${standin.url}/admin/faults`, 'POST', faults);
  }

  /** Waits until every node has rules and entries see every endpoint serve. */
  async waitUntilReady(): Promise<void> {
    const expected = this.plan.endpoints.length;
    for (const agent of this.agents.values()) {
      await waitUntil(`${agent.name} has rules`, async () => {
        return (await fetchStatus(agent)).rulesRevision > 0;
      });
    }
    for (const entry of this.entries.values()) {
      await waitUntil(`${entry.name} sees ${expected} endpoints`, async () => {
        const status = await fetchStatus(entry);
        return status.ready && countServing(status) === expected;
      });
    }
  }

  /** Returns the stand-in of an endpoint; throws if there is none. */
  getEndpoint(name: string): StartedStandin {
    return getOrThrow(this.endpoints, name);
  }

  /** Returns an entry by name; throws if there is none. */
  getEntry(name: string): StartedNode {
    return getOrThrow(this.entries, name);
  }

  /** Returns an agent by name; throws if there is none. */
  getAgent(name: string): StartedNode {
    return getOrThrow(this.agents, name);
  }

  /** Kills all processes, paused ones included, and removes their settings. */
  async close(): Promise<void> {
    const processes = [
      ...this.entries.values(),
      ...this.agents.values(),
      ...this.endpoints.values(),
      this.platform,
      this.weights,
      this.scoring,
    ].map(item => item.process);
    const relays = [this.peerRelays, this.platformRelays];
    this.links.close();
    for (const relay of relays.flatMap(map => [...map.values()])) relay.close();
    for (const item of processes) item.sendSignal('SIGCONT');
    await Promise.all(processes.map(item => item.kill()));
    rmSync(this.folder, {recursive: true, force: true});
  }
}

function listPlannedNodes(plan: SystemPlan): PlannedNode[] {
  const entries = plan.entries.map(item => ({...item, role: 'entry' as const}));
  const agents = plan.endpoints.map(({name, failureDomain}) => ({
    name: `agent-${name}`,
    failureDomain,
    role: 'agent' as const,
  }));
  return [...entries, ...agents];
}

function getOrThrow<T>(map: ReadonlyMap<string, T>, name: string): T {
  const value = map.get(name);
  if (value === undefined) throw new Error(`${name} does not exist`);
  return value;
}
