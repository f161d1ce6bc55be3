/**
 * Decides when a node claims the coordinator role for batch jobs (`home` on
 * the wire and in settings). The role is claimed by a conditional update of
 * one object in the store, whose epoch increases with each coordinator. A
 * coordinator that does not answer is replaced only after agents confirm that
 * it has not contacted them either, so that a failed link between two nodes
 * does not cause a takeover.
 */

/**
 * Time without contact after which a candidate suspects the coordinator, in
 * ms: three times the interval between probes.
 */
const SILENCE_TIMEOUT_MS = 600;
/** Age up to which an agent's contact counts as recent, in ms. */
const RECENT_CONTACT_MS = 700;
/** Delay between the claims of consecutively ranked candidates, in ms. */
const RANK_DELAY_MS = 200;
/** Time without contact after which a coordinator is replaced although no
 * agent answers, in ms. */
const UNCONFIRMED_SILENCE_TIMEOUT_MS = 3_000;

/** The coordinator as recorded in the store. */
export interface CoordinatorRecord {
  readonly node: string;
  /** Incarnation of the node's process. */
  readonly incarnation: string;
  /** `host:port` for other nodes. */
  readonly address: string;
  readonly epoch: number;
}

/** An agent's report of its last contact with a coordinator. */
export interface CoordinatorContact {
  /** Epoch of the coordinator that contacted the agent. */
  readonly epoch: number;
  /** Time since the contact, in ms. */
  readonly agoMs: number;
}

/** The state on which a candidate bases its decision. */
export interface ElectionView {
  readonly nowMs: number;
  readonly ownName: string;
  readonly ownIncarnation: string;
  readonly coordinator: CoordinatorRecord | undefined;
  /**
   * When the coordinator last answered, or when its record was first read. While
   * no coordinator is recorded, when this was first read.
   */
  readonly lastContactAtMs: number;
  /**
   * Whether the last probe was rejected: nothing listens at the address, or the
   * process there is not the coordinator of this epoch.
   */
  readonly isProbeRejected: boolean;
  /** Number of candidates that claim before this one. */
  readonly rank: number;
  readonly isDraining: boolean;
  /** Answers of agents; undefined before they are asked. */
  readonly contactReports: readonly CoordinatorContact[] | undefined;
}

/**
 * A candidate's next action. `follow` accepts the present coordinator;
 * `ask-witnesses` requests contact reports from agents, after which the candidate
 * decides again.
 */
export type ElectionAction = 'follow' | 'ask-witnesses' | 'claim';

/** Returns the next action; a draining node never claims the role. */
export function decideElection(view: ElectionView): ElectionAction {
  const {coordinator, contactReports, nowMs} = view;
  if (view.isDraining) return 'follow';
  const silentMs = nowMs - view.lastContactAtMs;
  const rankDelayMs = view.rank * RANK_DELAY_MS;
  if (coordinator === undefined) {
    return silentMs >= rankDelayMs ? 'claim' : 'follow';
  }
  if (coordinator.node === view.ownName) {
    return coordinator.incarnation === view.ownIncarnation ? 'follow' : 'claim';
  }
  const timeoutMs = view.isProbeRejected
    ? rankDelayMs
    : SILENCE_TIMEOUT_MS + rankDelayMs;
  if (silentMs < timeoutMs) return 'follow';
  if (contactReports === undefined) return 'ask-witnesses';
  if (contactReports.some(report => hasRecentContact(report, coordinator))) {
    return 'follow';
  }
  if (contactReports.length > 0) return 'claim';
  return silentMs >= UNCONFIRMED_SILENCE_TIMEOUT_MS + rankDelayMs
    ? 'claim'
    : 'follow';
}

function hasRecentContact(
  report: CoordinatorContact,
  coordinator: CoordinatorRecord,
): boolean {
  return report.epoch >= coordinator.epoch && report.agoMs < RECENT_CONTACT_MS;
}
