/**
 * Formats the output of the `explain` command: the decisions of nodes, which are
 * the events recorded for a request.
 */
import type {DecisionLine, FetchedPage} from './node_pages';

/** The events that one node has recorded for the queried requests. */
export interface NodeDecisions {
  readonly node: string;
  readonly decisions: readonly DecisionLine[];
}

/**
 * Lists the events of each request grouped by node: the clocks of nodes may
 * differ, so events are ordered reliably only within a node.
 */
export function formatExplanation(nodes: readonly NodeDecisions[]): string {
  const allDecisions = nodes.flatMap(({decisions}) => decisions);
  const requestIds = [...new Set(allDecisions.map(line => line.requestId))];
  return requestIds
    .flatMap(requestId => [
      `request ${requestId}`,
      ...nodes.flatMap(node => formatNode(node, requestId)),
    ])
    .join('\n');
}

function formatNode(
  {node, decisions}: NodeDecisions,
  requestId: string,
): string[] {
  const lines = decisions.filter(line => line.requestId === requestId);
  if (lines.length === 0) return [];
  return [`  at ${node}:`, ...lines.map(line => formatDecision(line))];
}

function formatDecision(line: DecisionLine): string {
  const time = new Date(line.atMs).toISOString().slice(11, 23);
  const fields = Object.entries(line.fields).map(
    ([name, value]) => `${name} ${value}`,
  );
  const details = fields.length === 0 ? '' : ` (${fields.join(', ')})`;
  return `    ${time} ${line.event}: ${line.meaning}${details}`;
}

/**
 * Returns one line of text for each node whose page (a JSON response) could not
 * be read.
 */
export function listUnreachable<T>(
  pages: ReadonlyArray<FetchedPage<T>>,
): string[] {
  return pages.flatMap(({url, page}) =>
    page.isErr() ? [`${url} does not answer: ${page.error.detail}`] : [],
  );
}
