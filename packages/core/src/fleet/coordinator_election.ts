/**
 * Decides when a node takes over as the home of batch jobs. The right is won
 * by a conditional update of one object in the store, whose epoch grows with
 * each home. A silent home is replaced only when agents confirm that they do
 * not hear it either, so that a link between two nodes does not change it.
 */

/** Silence after which a home is doubted, in ms: three probes. */
const SILENCE_TIMEOUT_MS = 600;
/** Time since a home's contact up to which an agent vouches for it, in ms. */
const RECENT_CONTACT_MS = 700;
/** Time between the claims of candidates, in ms. */
const RANK_DELAY_MS = 200;
/** Silence after which a home is replaced though no agent answers, in ms. */
const UNCONFIRMED_SILENCE_TIMEOUT_MS = 3_000;

/** The home as the store names it. */
export interface CoordinatorRecord {
  readonly node: string;
  /** Life of the node's process. */
  readonly incarnation: string;
  /** `host:port` for other nodes. */
  readonly address: string;
  readonly epoch: number;
}

/** What an agent says of the home. */
export interface CoordinatorContact {
  readonly epoch: number;
  readonly agoMs: number;
}

/** What a candidate knows. */
export interface ElectionView {
  readonly nowMs: number;
  readonly ownName: string;
  readonly ownIncarnation: string;
  readonly coordinator: CoordinatorRecord | undefined;
  /** When the home last answered, or was first heard of. */
  readonly lastContactAtMs: number;
  /** Whether the last probe found nobody listening. */
  readonly isProbeRejected: boolean;
  /** Other nodes that would claim before this one. */
  readonly rank: number;
  readonly isDraining: boolean;
  /** Answers of agents; undefined before they were asked. */
  readonly contactReports: readonly CoordinatorContact[] | undefined;
}

/** What a candidate does next. */
export type ElectionStep = 'follow' | 'ask-witnesses' | 'claim';

/** Returns what a candidate does next. */
export function decideElection(view: ElectionView): ElectionStep {
  const {coordinator: home, nowMs} = view;
  if (view.isDraining) return 'follow';
  const silentMs = nowMs - view.lastContactAtMs;
  const rankDelayMs = view.rank * RANK_DELAY_MS;
  if (home === undefined) return silentMs >= rankDelayMs ? 'claim' : 'follow';
  if (home.node === view.ownName) {
    return home.incarnation === view.ownIncarnation ? 'follow' : 'claim';
  }
  const timeoutMs = view.isProbeRejected
    ? rankDelayMs
    : SILENCE_TIMEOUT_MS + rankDelayMs;
  if (silentMs < timeoutMs) return 'follow';
  if (view.contactReports === undefined) return 'ask-witnesses';
  if (view.contactReports.some(item => hasRecentContact(item, home))) {
    return 'follow';
  }
  if (view.contactReports.length > 0) return 'claim';
  return silentMs >= UNCONFIRMED_SILENCE_TIMEOUT_MS + rankDelayMs
    ? 'claim'
    : 'follow';
}

function hasRecentContact(
  witness: CoordinatorContact,
  home: CoordinatorRecord,
): boolean {
  return witness.epoch >= home.epoch && witness.agoMs < RECENT_CONTACT_MS;
}
