/**
 * Builds and formats the answer to `status`: nodes, endpoints, and the parts
 * of the platform. The role `home` is the coordinator.
 */
import type {EndpointStatus, FetchedPage, StatusPage} from './node_pages';
import {formatTable} from './text_table';

const HEARTBEAT_TIMEOUT_MS = 3_000;

/** Why an endpoint in a state receives no new work, by state. */
const STATE_REASONS: Readonly<Record<string, string>> = {
  serving: '',
  swapping: 'activating new weights',
  'unknown-version': 'weight version unknown after a failed swap',
  down: 'crashed, or not answering the load requests of its agent',
  leaving: 'drained, stopped, or listed as leaving in the VM list',
};

/** An endpoint with its agent and the reason if it receives no new work. */
export interface EndpointLine extends EndpointStatus {
  readonly agent: string;
  readonly failureDomain: string;
  /** Why the endpoint receives no new work; empty while it is serving. */
  readonly reason: string;
}

/** State of one node; `?` for what is unknown when it does not answer. */
export interface NodeLine {
  readonly node: string;
  readonly role: string;
  readonly failureDomain: string;
  readonly state: string;
  readonly rulesRevision: number;
}

/** An outage of a part of the platform. */
export interface PlatformLine {
  readonly part: string;
  /** The node that reports the outage, or this command. */
  readonly seenBy: string;
  readonly detail: string;
}

/** The content of the answer to `status`. */
export interface StatusReport {
  readonly nodes: readonly NodeLine[];
  readonly endpoints: readonly EndpointLine[];
  readonly outages: readonly PlatformLine[];
}

/** Input of a status report. */
export interface StatusSources {
  readonly pages: ReadonlyArray<FetchedPage<StatusPage>>;
  /** Outages that the command itself encountered. */
  readonly outages: readonly PlatformLine[];
  /** Names of VMs that the VM list marks as leaving. */
  readonly leavingVms: readonly string[];
}

export function createStatusReport(sources: StatusSources): StatusReport {
  const statuses = sources.pages.flatMap(({page}) =>
    page.isOk() ? [page.value] : [],
  );
  return {
    nodes: sources.pages
      .map(fetched => createNodeLine(fetched, sources))
      .sort(compareNodes),
    endpoints: listEndpoints(statuses, sources.leavingVms),
    outages: [...sources.outages, ...statuses.flatMap(listOutages)],
  };
}

/** Order of roles in the report; nodes that do not answer come last. */
const ROLE_ORDER = ['entry', 'home', 'agent', '?'];

/** Orders nodes by role, then by name. */
function compareNodes(a: NodeLine, b: NodeLine): number {
  return (
    ROLE_ORDER.indexOf(a.role) - ROLE_ORDER.indexOf(b.role) ||
    a.node.localeCompare(b.node, 'en', {numeric: true})
  );
}

function createNodeLine(
  {url, page}: FetchedPage<StatusPage>,
  sources: StatusSources,
): NodeLine {
  if (page.isErr()) {
    const state = `does not answer: ${page.error.detail}`;
    return {node: url, role: '?', failureDomain: '?', state, rulesRevision: 0};
  }
  const {node, role, failureDomain, rulesRevision} = page.value;
  const isLeaving = page.value.leaving || sources.leavingVms.includes(node);
  const ready = page.value.ready ? 'ready' : 'not ready';
  const state = isLeaving ? 'leaving' : ready;
  return {node, role, failureDomain, state, rulesRevision};
}

/**
 * Lists the endpoints of all agents. An agent's own page takes precedence over
 * the heartbeats that entries have received from it; among these the most
 * recent one counts.
 */
function listEndpoints(
  pages: readonly StatusPage[],
  leavingVms: readonly string[],
): EndpointLine[] {
  const lines = new Map<string, EndpointLine>();
  const heartbeats = pages.flatMap(page => page.agents);
  for (const {report, ageMs} of heartbeats.sort((a, b) => b.ageMs - a.ageMs)) {
    const isLeaving = report.leaving || leavingVms.includes(report.agent);
    const {agent, failureDomain} = report;
    for (const endpoint of report.endpoints) {
      const state = isLeaving ? 'leaving' : endpoint.state;
      const lostReason = describeMissedHeartbeats(agent, ageMs);
      const reason = lostReason === '' ? explainState(state) : lostReason;
      const line = {...endpoint, state, agent, failureDomain, reason};
      lines.set(
        endpoint.name,
        lostReason === '' ? line : {...line, state: 'lost'},
      );
    }
  }
  for (const page of pages) {
    const isLeaving = page.leaving || leavingVms.includes(page.node);
    const {failureDomain} = page;
    for (const endpoint of page.endpoints) {
      const state = isLeaving ? 'leaving' : endpoint.state;
      const location = {agent: page.node, failureDomain};
      const reason = explainState(state);
      lines.set(endpoint.name, {...endpoint, ...location, state, reason});
    }
  }
  return [...lines.values()].sort(compareEndpoints);
}

/** Returns an empty string unless the agent's heartbeat is overdue. */
function describeMissedHeartbeats(agent: string, ageMs: number): string {
  if (ageMs <= HEARTBEAT_TIMEOUT_MS) return '';
  return `no heartbeat from ${agent} for ${Math.round(ageMs / 1_000)} s`;
}

function explainState(state: string): string {
  return STATE_REASONS[state] ?? state;
}

function compareEndpoints(a: EndpointLine, b: EndpointLine): number {
  return (
    a.service.localeCompare(b.service) ||
    a.name.localeCompare(b.name, 'en', {numeric: true})
  );
}

function listOutages(page: StatusPage): PlatformLine[] {
  return page.platform.map(({part, sinceMs, detail}) => {
    const since = new Date(sinceMs).toISOString();
    return {part, seenBy: page.node, detail: `since ${since}: ${detail}`};
  });
}

export function formatStatusReport(report: StatusReport): string {
  const nodes = report.nodes.map(line => [
    line.node,
    line.role,
    line.failureDomain,
    line.state,
    String(line.rulesRevision),
  ]);
  const endpoints = report.endpoints.map(line => [
    line.name,
    line.service,
    line.failureDomain,
    line.state,
    line.slots === undefined
      ? String(line.running)
      : `${line.running}/${line.slots}`,
    String(line.queued),
    String(line.weightVersion),
    line.reason,
  ]);
  return [
    formatTable(['node', 'role', 'failure domain', 'state', 'rules'], nodes),
    '',
    formatTable(
      [
        'endpoint',
        'service',
        'failure domain',
        'state',
        'running',
        'queued',
        'version',
        'state reason',
      ],
      endpoints,
    ),
    '',
    ...formatOutages(report.outages),
  ].join('\n');
}

function formatOutages(outages: readonly PlatformLine[]): string[] {
  if (outages.length === 0) return ['platform: all parts answer'];
  return [
    'platform parts that do not answer:',
    ...outages.map(
      line => `  ${line.part}, seen by ${line.seenBy}: ${line.detail}`,
    ),
  ];
}
