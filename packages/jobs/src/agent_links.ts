/**
 * The links of a home to its agents: what they say goes to the scheduler, and
 * what it plans goes to them.
 */
import type {
  Clock,
  BatchScheduler,
  EndpointOrders,
  BatchEndpointRegistration,
  SyncAnswer,
} from '@sassafrasspan/core';
import type {PeerClient} from '@sassafrasspan/peers';
import {
  EventLog,
  PeerAddress,
  formatAddress,
  waitMs,
} from '@sassafrasspan/runtime';
import {AgentLink} from './agent_link';

/** An agent and the endpoint beside it. */
export interface AgentDescription {
  readonly address: PeerAddress;
  readonly registration: BatchEndpointRegistration;
}

/** What the links are built from. */
export interface AgentLinksOptions {
  readonly name: string;
  readonly epoch: number;
  readonly scheduler: BatchScheduler;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Hears of everything that may call for another plan. */
  readonly onChanged: () => void;
  /** Hears that a later home has taken over. */
  readonly onSuperseded: (detail: string) => void;
}

/** A link to an agent. */
interface LinkedAgent {
  readonly link: AgentLink;
  readonly address: string;
  incarnation: string;
}

/** A run whose result is not in the store yet. */
interface UnsavedRun {
  readonly endpointId: string;
  readonly runId: string;
}

/** Links by endpoint. */
export class AgentLinks {
  private readonly agents = new Map<string, LinkedAgent>();
  /** Runs whose results wait for the store, by item. */
  private readonly unsavedRuns = new Map<string, UnsavedRun>();
  /** Orders that no agent has answered yet. */
  private readonly pendingOrders = new Set<Promise<void>>();

  private constructor(private readonly options: AgentLinksOptions) {}

  /** Builds links to no agent. */
  static create(options: AgentLinksOptions): AgentLinks {
    return new AgentLinks(options);
  }

  /** Sets the agents and their endpoints. */
  setAgents(entries: readonly AgentDescription[]): void {
    const {scheduler} = this.options;
    const registrations = entries.map(entry => entry.registration);
    scheduler.setEndpoints(registrations, this.readMs());
    const ids = new Set(registrations.map(item => item.endpointId));
    for (const [id, agent] of this.agents) {
      if (ids.has(id)) continue;
      agent.link.stop();
      this.agents.delete(id);
    }
    for (const entry of entries) this.linkAgent(entry);
    this.options.onChanged();
  }

  /** Lets agents forget runs of items whose results are safe. */
  releaseItems(itemIds: Iterable<string>): void {
    for (const itemId of itemIds) {
      const run = this.unsavedRuns.get(itemId);
      if (run === undefined) continue;
      this.unsavedRuns.delete(itemId);
      this.agents.get(run.endpointId)?.link.releaseRuns([run.runId]);
    }
  }

  /** Sends orders; starts that may not have arrived are taken back. */
  async send(orders: EndpointOrders): Promise<void> {
    this.reportStarts(orders);
    const sent = this.deliver(orders).finally(() =>
      this.pendingOrders.delete(sent),
    );
    this.pendingOrders.add(sent);
    await sent;
  }

  /** Waits until what has been sent is answered, or for a while. */
  async waitForOrders(limitMs: number): Promise<void> {
    await Promise.race([Promise.all(this.pendingOrders), waitMs(limitMs)]);
  }

  private async deliver(orders: EndpointOrders): Promise<void> {
    const agent = this.agents.get(orders.endpointId);
    const isSent = (await agent?.link.send(orders)) ?? false;
    if (isSent) return;
    for (const {runId} of orders.starts) {
      this.options.scheduler.abandonRun(runId, this.readMs());
    }
    this.options.onChanged();
  }

  /** Ends every link; runs go on at the agents. */
  stop(): void {
    for (const {link} of this.agents.values()) link.stop();
  }

  private readMs(): number {
    return this.options.clock.readMonotonicMs();
  }

  private linkAgent(entry: AgentDescription): void {
    const {endpointId} = entry.registration;
    const address = formatAddress(entry.address);
    const known = this.agents.get(endpointId);
    if (known?.address === address) return;
    known?.link.stop();
    const {name, epoch, peers, clock} = this.options;
    const link = AgentLink.create({
      address: entry.address,
      coordinator: name,
      epoch,
      peers,
      clock,
      onSynced: answer => this.applySync(endpointId, answer),
      onLost: detail => this.loseAgent(endpointId, detail),
      onSuperseded: detail => this.options.onSuperseded(detail),
    });
    this.agents.set(endpointId, {link, address, incarnation: ''});
    void link.run();
  }

  private loseAgent(endpointId: string, detail: string): void {
    const {log, scheduler, onChanged} = this.options;
    log.writeEvent('agent-lost', {endpoint: endpointId, detail});
    scheduler.loseEndpoint(endpointId, this.readMs());
    onChanged();
  }

  private applySync(endpointId: string, answer: SyncAnswer): void {
    const agent = this.agents.get(endpointId);
    if (agent === undefined) return;
    const {scheduler, onChanged} = this.options;
    this.trackIncarnation(endpointId, agent, answer.incarnation);
    const {updates, engine} = answer;
    scheduler.applySync(endpointId, updates, engine, this.readMs());
    for (const {runId, itemId, end} of updates) {
      if (end === undefined) continue;
      const isUnsafe = end === 'completed' && this.isAwaitingLog(itemId);
      if (isUnsafe) this.unsavedRuns.set(itemId, {endpointId, runId});
      else agent.link.releaseRuns([runId]);
    }
    onChanged();
  }

  /** An agent that has started anew knows nothing of its earlier runs. */
  private trackIncarnation(
    endpointId: string,
    agent: LinkedAgent,
    incarnation: string,
  ): void {
    if (agent.incarnation === incarnation) return;
    const {log, scheduler} = this.options;
    log.writeEvent('agent-found', {endpoint: endpointId, incarnation});
    if (agent.incarnation !== '') {
      scheduler.loseEndpoint(endpointId, this.readMs());
    }
    agent.incarnation = incarnation;
  }

  /** Tells whether a finished item waits for its place in a log. */
  private isAwaitingLog(itemId: string): boolean {
    return this.options.scheduler
      .listOpenJobs()
      .some(state => state.items.get(itemId)?.phase === 'finished');
  }

  private reportStarts(orders: EndpointOrders): void {
    const {log, epoch} = this.options;
    for (const [index, start] of orders.starts.entries()) {
      const {itemId, jobId, runId, endpointId, prior} = start;
      log.writeEvent('item-started', {
        requestId: itemId,
        job: jobId,
        run: runId,
        endpoint: endpointId,
        firstEvent: prior.length,
        epoch,
        ...orders.reasons[index],
      });
    }
  }
}
