/**
 * Formats the answers to `rules show` and `rules history`: the newest accepted
 * revision of the rules, and the revisions in force in each failure domain.
 */
import type {RulesHead, RulesRevision} from '@sassafrasspan/core';
import type {FetchedPage, StatusPage} from './node_pages';

/** The revisions in force in one failure domain. */
export interface DomainRules {
  readonly failureDomain: string;
  /** Nodes grouped by the revision they use, newest revision first. */
  readonly nodesByRevision: ReadonlyArray<{
    readonly revision: number;
    readonly nodes: readonly string[];
  }>;
}

/**
 * Groups nodes by failure domain and by the revision in force. Nodes that did
 * not answer are left out.
 */
export function summarizeDomains(
  pages: ReadonlyArray<FetchedPage<StatusPage>>,
): DomainRules[] {
  const statuses = pages.flatMap(({page}) => (page.isOk() ? [page.value] : []));
  const domains = [
    ...new Set(statuses.map(status => status.failureDomain)),
  ].sort();
  return domains.map(failureDomain => {
    const nodes = statuses.filter(
      status => status.failureDomain === failureDomain,
    );
    const revisions = [...new Set(nodes.map(status => status.rulesRevision))];
    const nodesByRevision = revisions
      .sort((a, b) => b - a)
      .map(revision => ({
        revision,
        nodes: nodes
          .filter(status => status.rulesRevision === revision)
          .map(status => status.node),
      }));
    return {failureDomain, nodesByRevision};
  });
}

/**
 * Returns one line per failure domain, naming the nodes that are behind the
 * accepted revision; undefined `accepted` when it is not known.
 */
export function formatDomains(
  domains: readonly DomainRules[],
  accepted: number | undefined,
): string[] {
  return domains.map(({failureDomain, nodesByRevision}) => {
    const total = nodesByRevision.reduce(
      (sum, {nodes}) => sum + nodes.length,
      0,
    );
    const parts = nodesByRevision.map(({revision, nodes}) => {
      const isBehind = accepted !== undefined && revision < accepted;
      const behind = isBehind ? ` (behind: ${nodes.join(', ')})` : '';
      return `revision ${revision} in ${nodes.length} of ${total} nodes${behind}`;
    });
    return `${failureDomain}: ${parts.join('; ')}`;
  });
}

/** Returns number, time, author and size of a revision in one line. */
export function formatRevision(revision: RulesRevision): string {
  const at = new Date(revision.writtenAtMs).toISOString();
  const {author, rules} = revision;
  return `revision ${revision.revision}, ${at}, ${author}, ${rules.length} rules`;
}

/**
 * Lists every stored revision, newest first, and whether it was accepted. A
 * stored revision that the rules head has never referenced is an edit
 * that lost a race or was never accepted. For older revisions with several
 * competing edits it is no longer known which of them was accepted; their
 * lines state this.
 */
export function formatHistory(
  revisions: readonly RulesRevision[],
  head: RulesHead | undefined,
): string[] {
  return [...revisions]
    .sort((a, b) => b.revision - a.revision || a.writtenAtMs - b.writtenAtMs)
    .map(revision => {
      const sameNumber = revisions.filter(
        other => other.revision === revision.revision,
      );
      const state = describeAcceptance(revision, sameNumber.length, head);
      return `${formatRevision(revision)}, ${state}`;
    });
}

function describeAcceptance(
  revision: RulesRevision,
  editCount: number,
  head: RulesHead | undefined,
): string {
  const accepted = head?.revision ?? 0;
  if (revision.revision > accepted) return 'not accepted';
  if (revision.revision < accepted) {
    return editCount === 1 ? 'accepted' : `one of ${editCount} competing edits`;
  }
  const isHead = revision.operationId === head?.operationId;
  return isHead ? 'accepted, the newest' : 'not accepted';
}
