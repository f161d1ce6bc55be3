/** The answer to `explain`: what was decided for a request, and why. */
import type {DecisionLine, FetchedPage} from './node_pages';

/** Events that a node remembers of a request. */
export interface NodeDecisions {
  readonly node: string;
  readonly decisions: readonly DecisionLine[];
}

/**
 * Writes the events of each request, node by node: the clocks of nodes may
 * differ, so only the order within a node is certain.
 */
export function formatExplanation(nodes: readonly NodeDecisions[]): string {
  const all = nodes.flatMap(({decisions}) => decisions);
  const requests = [...new Set(all.map(line => line.requestId))];
  return requests
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
  const own = decisions.filter(line => line.requestId === requestId);
  if (own.length === 0) return [];
  return [`  at ${node}:`, ...own.map(line => formatDecision(line))];
}

function formatDecision(line: DecisionLine): string {
  const time = new Date(line.atMs).toISOString().slice(11, 23);
  const fields = Object.entries(line.fields).map(
    ([name, value]) => `${name} ${value}`,
  );
  const facts = fields.length === 0 ? '' : ` (${fields.join(', ')})`;
  return `    ${time} ${line.event}: ${line.meaning}${facts}`;
}

/** Lists the nodes that could not be asked. */
export function listUnreachable<T>(
  pages: ReadonlyArray<FetchedPage<T>>,
): string[] {
  return pages.flatMap(({url, page}) =>
    page.isErr() ? [`${url} does not answer: ${page.error.detail}`] : [],
  );
}
