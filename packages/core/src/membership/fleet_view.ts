/**
 * An entry's view of agents and their endpoints, from the heartbeats of the
 * agents that it watches and from the platform's list of VMs, which lags
 * behind.
 */

/** Age of the last heartbeat from which an agent is unreachable, in ms. */
export const HEARTBEAT_TIMEOUT_MS = 3_000;
/** Interval between heartbeats of a node, in ms. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

/**
 * Whether an endpoint accepts new work, and why not; only `serving` endpoints
 * do. Reports carry it in the field `state`.
 */
export type EndpointCondition =
  'serving' | 'swapping' | 'unknown-version' | 'down' | 'leaving';

/** State and load of an endpoint as reported by its agent. */
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

/** An endpoint in any condition, with the agent that manages it. */
export interface EndpointView extends EndpointReport {
  readonly agent: string;
  readonly failureDomain: string;
  readonly incarnation: string;
  /** Time on the agent's monotonic clock at its last heartbeat, in ms. */
  readonly tick: number;
  /** Requests of this entry in progress at the endpoint. */
  readonly outstanding: number;
}

/** The last heartbeat of a watched agent. */
interface WatchedAgent {
  report: AgentReport;
  /** Arrival of the heartbeat on this process's monotonic clock, in ms. */
  lastHeartbeatAtMs: number;
}

/** Tracks agents, their endpoints and the requests in progress there. */
export class FleetView {
  private readonly agents = new Map<string, WatchedAgent>();
  private readonly leavingVms = new Set<string>();
  private readonly outstanding = new Map<string, number>();

  private constructor() {}

  static create(): FleetView {
    return new FleetView();
  }

  /**
   * Applies a heartbeat. Heartbeats of the same incarnation that arrive out of
   * order are ignored; a new incarnation replaces the old one at once.
   */
  applyReport(report: AgentReport, nowMs: number): void {
    const known = this.agents.get(report.agent)?.report;
    const isSameIncarnation = known?.incarnation === report.incarnation;
    if (isSameIncarnation && known.tick > report.tick) return;
    this.agents.set(report.agent, {report, lastHeartbeatAtMs: nowMs});
  }

  removeAgent(agent: string): void {
    this.agents.delete(agent);
  }

  /** Replaces the names of the VMs that the platform lists as leaving. */
  setLeavingVms(names: readonly string[]): void {
    this.leavingVms.clear();
    for (const name of names) this.leavingVms.add(name);
  }

  /** Counts a request dispatched to an endpoint. */
  addOutstanding(endpoint: string): void {
    this.outstanding.set(endpoint, this.getOutstanding(endpoint) + 1);
  }

  /** Counts the end of a dispatched request. */
  removeOutstanding(endpoint: string): void {
    const remaining = this.getOutstanding(endpoint) - 1;
    if (remaining > 0) this.outstanding.set(endpoint, remaining);
    else this.outstanding.delete(endpoint);
  }

  private getOutstanding(endpoint: string): number {
    return this.outstanding.get(endpoint) ?? 0;
  }

  /** Lists the endpoints of a service whose agent is reachable. */
  listEndpoints(service: string, nowMs: number): EndpointView[] {
    return this.listAlive(nowMs).flatMap(({report}) =>
      report.endpoints
        .filter(endpoint => endpoint.service === service)
        .map(endpoint => this.createView(report, endpoint)),
    );
  }

  /** Lists the endpoints of a service that may receive new work. */
  listServing(service: string, nowMs: number): EndpointView[] {
    return this.listEndpoints(service, nowMs).filter(
      endpoint => endpoint.state === 'serving',
    );
  }

  /**
   * Returns an endpoint by name in any state. While a VM is being replaced, two
   * agents report the endpoint; the one that is not leaving is preferred.
   */
  findEndpoint(name: string, nowMs: number): EndpointView | undefined {
    const views = this.listAlive(nowMs).flatMap(({report}) =>
      report.endpoints
        .filter(endpoint => endpoint.name === name)
        .map(endpoint => this.createView(report, endpoint)),
    );
    return views.find(view => view.state !== 'leaving') ?? views[0];
  }

  /**
   * Returns whether an agent reports that it is leaving or that all of its
   * endpoints are; false for an agent that is not watched.
   */
  isLeaving(agent: string): boolean {
    const report = this.agents.get(agent)?.report;
    if (report === undefined || report.leaving) return report !== undefined;
    return report.endpoints.every(endpoint => endpoint.state === 'leaving');
  }

  /** Lists all watched agents, reachable or not. */
  listAgents(nowMs: number): AgentReportWithAge[] {
    return [...this.agents.values()].map(watchedAgent => ({
      report: watchedAgent.report,
      ageMs: nowMs - watchedAgent.lastHeartbeatAtMs,
    }));
  }

  private listAlive(nowMs: number): WatchedAgent[] {
    return [...this.agents.values()].filter(
      ({lastHeartbeatAtMs}) =>
        nowMs - lastHeartbeatAtMs <= HEARTBEAT_TIMEOUT_MS,
    );
  }

  /** Copies each field by name: a spread adds 5 us to every endpoint choice. */
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

/** The last heartbeat of an agent. */
export interface AgentReportWithAge {
  readonly report: AgentReport;
  /** Time since the heartbeat arrived, in ms. */
  readonly ageMs: number;
}
