/**
 * What an entry knows of agents and their endpoints: heartbeats of the
 * agents that it watches, and the platform's lagging list of VMs.
 */

/** Heartbeats older than this make an agent unreachable. */
export const HEARTBEAT_TIMEOUT_MS = 3_000;
/** Interval between heartbeats of a node. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

/** What an endpoint can be. Only `serving` endpoints get new work. */
export type EndpointCondition =
  'serving' | 'swapping' | 'unknown-version' | 'down' | 'leaving';

/** State of an endpoint as its agent reports it. */
export interface EndpointReport {
  readonly name: string;
  readonly service: string;
  readonly state: EndpointCondition;
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  /** KV-cache use in thousandths. */
  readonly kvUsePermille: number;
  readonly weightVersion: number;
  readonly queuedTokens: number;
  readonly tokensPerSecond: number;
}

/** A heartbeat of an agent. */
export interface AgentReport {
  readonly agent: string;
  readonly failureDomain: string;
  readonly incarnation: string;
  /** The agent's monotonic clock in ms. */
  readonly tick: number;
  readonly rulesRevision: number;
  readonly endpoints: readonly EndpointReport[];
  readonly leaving: boolean;
}

/** An endpoint that can be chosen, with the agent before it. */
export interface EndpointView extends EndpointReport {
  readonly agent: string;
  readonly failureDomain: string;
  readonly incarnation: string;
  /** Newest tick seen of the agent. */
  readonly tick: number;
  /** Requests that this entry has sent and that have not ended. */
  readonly outstanding: number;
}

/** One watched agent. */
interface WatchedAgent {
  report: AgentReport;
  /** When the last heartbeat arrived, on this process's clock in ms. */
  lastHeartbeatAtMs: number;
}

/** The agents that an entry watches. */
export class FleetView {
  private readonly agents = new Map<string, WatchedAgent>();
  private readonly leavingVms = new Set<string>();
  private readonly outstanding = new Map<string, number>();

  private constructor() {}

  /** Builds an empty view. */
  static create(): FleetView {
    return new FleetView();
  }

  /** Takes a heartbeat. A new incarnation replaces the old at once. */
  applyReport(report: AgentReport, nowMs: number): void {
    const known = this.agents.get(report.agent)?.report;
    const isSameIncarnation = known?.incarnation === report.incarnation;
    if (isSameIncarnation && known.tick > report.tick) return;
    this.agents.set(report.agent, {report, lastHeartbeatAtMs: nowMs});
  }

  /** Forgets an agent. */
  removeAgent(agent: string): void {
    this.agents.delete(agent);
  }

  /** Takes the names of VMs that the platform lists as leaving. */
  setLeavingVms(names: readonly string[]): void {
    this.leavingVms.clear();
    for (const name of names) this.leavingVms.add(name);
  }

  /** Notes a dispatch to an endpoint. */
  addOutstanding(endpoint: string): void {
    this.outstanding.set(endpoint, this.getOutstanding(endpoint) + 1);
  }

  /** Notes the end of a dispatch. */
  removeOutstanding(endpoint: string): void {
    const left = this.getOutstanding(endpoint) - 1;
    if (left > 0) this.outstanding.set(endpoint, left);
    else this.outstanding.delete(endpoint);
  }

  private getOutstanding(endpoint: string): number {
    return this.outstanding.get(endpoint) ?? 0;
  }

  /** Lists every endpoint of a service whose agent is alive. */
  listEndpoints(service: string, nowMs: number): EndpointView[] {
    return this.listAlive(nowMs).flatMap(entry =>
      entry.report.endpoints
        .filter(endpoint => endpoint.service === service)
        .map(endpoint => this.createView(entry.report, endpoint)),
    );
  }

  /** Lists the endpoints of a service that may get new work. */
  listServing(service: string, nowMs: number): EndpointView[] {
    return this.listEndpoints(service, nowMs).filter(
      endpoint => endpoint.state === 'serving',
    );
  }

  /**
   * Finds an endpoint by name, whatever its state. While a VM is replaced two
   * agents name the endpoint; the one that is not leaving is meant.
   */
  findEndpoint(name: string, nowMs: number): EndpointView | undefined {
    const found = this.listAlive(nowMs).flatMap(entry =>
      entry.report.endpoints
        .filter(endpoint => endpoint.name === name)
        .map(endpoint => this.createView(entry.report, endpoint)),
    );
    return found.find(view => view.state !== 'leaving') ?? found[0];
  }

  /** Tells whether an agent itself says that all of it is leaving. */
  isLeaving(agent: string): boolean {
    const report = this.agents.get(agent)?.report;
    if (report === undefined || report.leaving) return report !== undefined;
    return report.endpoints.every(endpoint => endpoint.state === 'leaving');
  }

  /** Lists all agents with the age of their last heartbeat in ms. */
  listAgents(nowMs: number): AgentAge[] {
    return [...this.agents.values()].map(entry => ({
      report: entry.report,
      ageMs: nowMs - entry.lastHeartbeatAtMs,
    }));
  }

  private listAlive(nowMs: number): WatchedAgent[] {
    return [...this.agents.values()].filter(
      entry => nowMs - entry.lastHeartbeatAtMs <= HEARTBEAT_TIMEOUT_MS,
    );
  }

  /** Names each field, since a spread costs 5 us here on every choice. */
  private createView(
    report: AgentReport,
    endpoint: EndpointReport,
  ): EndpointView {
    const isLeaving = report.leaving || this.leavingVms.has(report.agent);
    return {
      name: endpoint.name,
      service: endpoint.service,
      state: isLeaving ? 'leaving' : endpoint.state,
      running: endpoint.running,
      queued: endpoint.queued,
      slots: endpoint.slots,
      kvUsePermille: endpoint.kvUsePermille,
      weightVersion: endpoint.weightVersion,
      queuedTokens: endpoint.queuedTokens,
      tokensPerSecond: endpoint.tokensPerSecond,
      agent: report.agent,
      failureDomain: report.failureDomain,
      incarnation: report.incarnation,
      tick: report.tick,
      outstanding: this.getOutstanding(endpoint.name),
    };
  }
}

/** An agent with the age of its last heartbeat. */
export interface AgentAge {
  readonly report: AgentReport;
  readonly ageMs: number;
}
