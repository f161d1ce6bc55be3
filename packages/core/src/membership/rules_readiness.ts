/**
 * Decides when a started node may show rules as in force: once the platform's
 * head has been read, or, during an outage, once peers have had time to say
 * what they hold. Without it a node that restarts beside a lagging peer would
 * bring back rules that were replaced already.
 */

/** Time that peers get to say which revision they hold. */
export const PEER_REPORT_WAIT_MS = 3_000;

/** What a started node has learned of the newest rules. */
export class RulesReadiness {
  private readonly startedAtMs: number;
  private newestRevision = 0;
  private hasReadLatest = false;
  private isReady = false;

  private constructor(startedAtMs: number) {
    this.startedAtMs = startedAtMs;
  }

  /** Builds the survey of a node started at a monotonic time in ms. */
  static create(startedAtMs: number): RulesReadiness {
    return new RulesReadiness(startedAtMs);
  }

  /** Notes the revision that the platform's head names. */
  recordLatestRevision(revision: number): void {
    this.hasReadLatest = true;
    this.recordPeerRevision(revision);
  }

  /** Notes the revision that a peer says it holds. */
  recordPeerRevision(revision: number): void {
    this.newestRevision = Math.max(this.newestRevision, revision);
  }

  /**
   * Tells whether the node may work under the revision it holds. Stays true:
   * a newer revision on its way makes no running node unready.
   */
  checkReady(heldRevision: number, nowMs: number): boolean {
    if (this.isReady) return true;
    const hasWaited = nowMs - this.startedAtMs >= PEER_REPORT_WAIT_MS;
    const isNewest = heldRevision > 0 && heldRevision >= this.newestRevision;
    this.isReady = isNewest && (this.hasReadLatest || hasWaited);
    return this.isReady;
  }
}
