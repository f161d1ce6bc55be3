/**
 * The coordinator's links to all agents: passes the agents' updates to the
 * scheduler and the scheduler's orders to the agents.
 */
import type {
  Clock,
  BatchScheduler,
  EndpointOrders,
  BatchEndpointRegistration,
  RejectedUpdate,
  SyncAnswer,
} from '@sassafrasspan/core';
import type {PeerClient} from '@sassafrasspan/peers';
import {
  EventLog,
  Metrics,
  PeerAddress,
  formatAddress,
  waitMs,
} from '@sassafrasspan/runtime';
import {AgentLink} from './agent_link';

/** An agent and the endpoint on its VM. */
export interface AgentDescription {
  readonly address: PeerAddress;
  readonly registration: BatchEndpointRegistration;
}

export interface AgentLinksOptions {
  readonly name: string;
  readonly epoch: number;
  readonly scheduler: BatchScheduler;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Called after every change that may need a new plan. */
  readonly onChanged: () => void;
  /** Called when an agent reports that a later coordinator has taken over. */
  readonly onSuperseded: (detail: string) => void;
}

interface LinkedAgent {
  readonly link: AgentLink;
  readonly address: string;
  /** Empty before the first answer. */
  incarnation: string;
}

/** A completed run whose result is not in the store yet. */
interface UnsavedRun {
  readonly endpointId: string;
  readonly runId: string;
}

export class AgentLinks {
  /** By endpoint id. */
  private readonly agents = new Map<string, LinkedAgent>();
  /** By item id. */
  private readonly unsavedRuns = new Map<string, UnsavedRun>();
  /** Orders that were sent but not answered yet. */
  private readonly pendingOrders = new Set<Promise<void>>();

  private constructor(private readonly options: AgentLinksOptions) {}

  static create(options: AgentLinksOptions): AgentLinks {
    return new AgentLinks(options);
  }

  /** Sets the current agents; links to any others are stopped. */
  setAgents(agents: readonly AgentDescription[]): void {
    const {scheduler} = this.options;
    const registrations = agents.map(agent => agent.registration);
    scheduler.setEndpoints(registrations, this.readMs());
    const ids = new Set(registrations.map(item => item.endpointId));
    for (const [id, agent] of this.agents) {
      if (ids.has(id)) continue;
      agent.link.stop();
      this.agents.delete(id);
    }
    for (const agent of agents) this.linkAgent(agent);
    this.options.onChanged();
  }

  /** Lets agents evict the runs of items that are stored or not needed. */
  releaseItems(itemIds: Iterable<string>): void {
    for (const itemId of itemIds) {
      const run = this.unsavedRuns.get(itemId);
      if (run === undefined) continue;
      this.unsavedRuns.delete(itemId);
      this.agents.get(run.endpointId)?.link.releaseRuns([run.runId]);
    }
  }

  /** Sends orders; abandons started runs if the orders may be lost. */
  async send(orders: EndpointOrders): Promise<void> {
    this.reportStarts(orders);
    const sent = this.deliver(orders).finally(() =>
      this.pendingOrders.delete(sent),
    );
    this.pendingOrders.add(sent);
    await sent;
  }

  /** Waits until all sent orders are answered, for at most `limitMs`. */
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

  /** Stops every link; runs continue at the agents. */
  stop(): void {
    for (const {link} of this.agents.values()) link.stop();
  }

  private readMs(): number {
    return this.options.clock.readMonotonicMs();
  }

  private linkAgent(agent: AgentDescription): void {
    const {endpointId} = agent.registration;
    const address = formatAddress(agent.address);
    const current = this.agents.get(endpointId);
    if (current?.address === address) return;
    current?.link.stop();
    const {name, epoch, peers, clock} = this.options;
    const link = AgentLink.create({
      address: agent.address,
      coordinator: name,
      epoch,
      peers,
      clock,
      onSynced: (answer, rejected) => {
        this.applySync(endpointId, answer);
        for (const update of rejected) this.rejectUpdate(endpointId, update);
      },
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
      const isUnsaved = end === 'completed' && this.isAwaitingLog(itemId);
      if (isUnsaved) this.unsavedRuns.set(itemId, {endpointId, runId});
      else agent.link.releaseRuns([runId]);
    }
    onChanged();
  }

  /** Gives up a run of which an update can't be read: what its text lacks never
   * comes again. */
  private rejectUpdate(endpointId: string, update: RejectedUpdate): void {
    const {runId, detail} = update;
    const {log, metrics, scheduler, onChanged} = this.options;
    metrics.addCount('run_updates_rejected_total');
    const fields = {run: runId, endpoint: endpointId, detail};
    log.writeEvent('run-update-rejected', fields);
    if (runId === undefined) return;
    scheduler.rejectRun(endpointId, runId, this.readMs());
    this.agents.get(endpointId)?.link.releaseRuns([runId]);
    onChanged();
  }

  /** Detects a restarted agent, whose earlier runs are lost. */
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

  /** Returns whether an item has a complete text that is not in a log yet. */
  private isAwaitingLog(itemId: string): boolean {
    return this.options.scheduler.listOpenJobs().some(state => {
      const phase = state.items.get(itemId)?.phase;
      return phase === 'finished' || phase === 'scoring';
    });
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
