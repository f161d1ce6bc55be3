/** The answer to `status`: nodes, endpoints, and parts of the platform. */
import type {EndpointStatus, FetchedPage, StatusPage} from './node_pages';
import {formatTable} from './text_table';

const HEARTBEAT_TIMEOUT_MS = 3_000;

/** Why an endpoint in a state gets no new work. */
const STATE_REASONS: Readonly<Record<string, string>> = {
  serving: '',
  swapping: 'activates new weights',
  'unknown-version': 'its weights are not known after a failed swap',
  down: 'it crashed or its load page does not answer its agent',
  leaving: 'it is leaving: drained, stopped, or leaving by the VM list',
};

/** One endpoint with where it is and why it is out. */
export interface EndpointLine extends EndpointStatus {
  readonly agent: string;
  readonly failureDomain: string;
  /** Why it gets no new work; empty while it serves. */
  readonly reason: string;
}

/** One node as it was read. */
export interface NodeLine {
  readonly node: string;
  readonly role: string;
  readonly failureDomain: string;
  readonly state: string;
  readonly rulesRevision: number;
}

/** A part of the platform with what sees it. */
export interface PlatformLine {
  readonly part: string;
  /** Who sees the outage. */
  readonly seenBy: string;
  readonly detail: string;
}

/** Everything that `status` says. */
export interface StatusReport {
  readonly nodes: readonly NodeLine[];
  readonly endpoints: readonly EndpointLine[];
  readonly outages: readonly PlatformLine[];
}

/** What a report is made from. */
export interface StatusSources {
  readonly pages: ReadonlyArray<FetchedPage<StatusPage>>;
  /** Outages that the command itself met. */
  readonly outages: readonly PlatformLine[];
  /** Names of VMs that the VM list gives as leaving. */
  readonly leavingVms: readonly string[];
}

/** Puts the pages of all nodes together. */
export function createStatusReport(sources: StatusSources): StatusReport {
  const read = sources.pages.flatMap(({page}) =>
    page.isOk() ? [page.value] : [],
  );
  return {
    nodes: sources.pages
      .map(fetched => createNodeLine(fetched, sources))
      .sort(compareNodes),
    endpoints: listEndpoints(read, sources.leavingVms),
    outages: [...sources.outages, ...read.flatMap(listOutages)],
  };
}

/** Order of roles in the report; nodes that do not answer come last. */
const ROLE_ORDER = ['entry', 'home', 'agent', '?'];

/** Nodes go by role, and within a role by name. */
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

/** An agent's own page goes before what entries have heard of the agent. */
function listEndpoints(
  pages: readonly StatusPage[],
  leavingVms: readonly string[],
): EndpointLine[] {
  const lines = new Map<string, EndpointLine>();
  const heard = pages.flatMap(page => page.agents);
  for (const {report, ageMs} of heard.sort((a, b) => b.ageMs - a.ageMs)) {
    const isLeaving = report.leaving || leavingVms.includes(report.agent);
    const {agent, failureDomain} = report;
    for (const endpoint of report.endpoints) {
      const state = isLeaving ? 'leaving' : endpoint.state;
      const lost = describeMissedHeartbeats(agent, ageMs);
      const reason = lost === '' ? explainState(state) : lost;
      const line = {...endpoint, state, agent, failureDomain, reason};
      lines.set(endpoint.name, lost === '' ? line : {...line, state: 'lost'});
    }
  }
  for (const page of pages) {
    const isLeaving = page.leaving || leavingVms.includes(page.node);
    const {failureDomain} = page;
    for (const endpoint of page.endpoints) {
      const state = isLeaving ? 'leaving' : endpoint.state;
      const place = {agent: page.node, failureDomain};
      const reason = explainState(state);
      lines.set(endpoint.name, {...endpoint, ...place, state, reason});
    }
  }
  return [...lines.values()].sort(compareEndpoints);
}

function describeMissedHeartbeats(agent: string, ageMs: number): string {
  if (ageMs <= HEARTBEAT_TIMEOUT_MS) return '';
  return `no heartbeat of ${agent} for ${Math.round(ageMs / 1_000)} s`;
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

/** Writes a report for a person. */
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
        'why it is out',
      ],
      endpoints,
    ),
    '',
    ...formatOutages(report.outages),
  ].join('\n');
}

function formatOutages(outages: readonly PlatformLine[]): string[] {
  if (outages.length === 0) return ['platform: every part answers'];
  return [
    'platform parts that do not answer:',
    ...outages.map(
      line => `  ${line.part}, seen by ${line.seenBy}: ${line.detail}`,
    ),
  ];
}
