/**
 * The answers to `rules show` and `rules history`: which revision is the
 * newest accepted one, and which is in force in each failure domain.
 */
import type {RulesHead, RulesRevision} from '@sassafrasspan/core';
import type {FetchedPage, StatusPage} from './node_pages';

/** The revisions in force in one failure domain. */
export interface DomainRules {
  readonly failureDomain: string;
  /** Nodes by the revision that they hold, newest first. */
  readonly nodesByRevision: ReadonlyArray<{
    readonly revision: number;
    readonly nodes: readonly string[];
  }>;
}

/** Sums up which revisions the nodes of each failure domain hold. */
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

/** Writes which revision is in force where, one line a failure domain. */
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
      const names = isBehind ? ` (behind: ${nodes.join(', ')})` : '';
      return `revision ${revision} in ${nodes.length} of ${total} nodes${names}`;
    });
    return `${failureDomain}: ${parts.join('; ')}`;
  });
}

/** Writes the head of a revision in one line. */
export function formatRevision(revision: RulesRevision): string {
  const at = new Date(revision.writtenAtMs).toISOString();
  const {author, rules} = revision;
  return `revision ${revision.revision}, ${at}, ${author}, ${rules.length} rules`;
}

/**
 * Writes every stored revision, newest first. A body that no head has named
 * is an edit that lost a race or was never accepted; where that cannot be
 * told any more, the line says so.
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
    return editCount === 1
      ? 'accepted'
      : `one of ${editCount} edits that raced`;
  }
  const isHead = revision.operationId === head?.operationId;
  return isHead ? 'accepted, the newest' : 'not accepted';
}
