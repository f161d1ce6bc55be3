/**
 * Decides when a node that has started may apply its rules: after it has read
 * the pointer to the latest revision from the platform or, during an outage,
 * after its peers have had time to report their revisions. Otherwise a node
 * that restarts next to a lagging peer would apply rules that have already been
 * replaced.
 */

/** Time for peers to report their revision after the start, in ms. */
export const PEER_REPORT_WAIT_MS = 3_000;

/** Tracks the newest revision that a started node knows of. */
export class RulesReadiness {
  private readonly startedAtMs: number;
  private newestRevision = 0;
  private hasReadLatest = false;
  private isReady = false;

  private constructor(startedAtMs: number) {
    this.startedAtMs = startedAtMs;
  }

  /** `startedAtMs` is the node's start in monotonic ms. */
  static create(startedAtMs: number): RulesReadiness {
    return new RulesReadiness(startedAtMs);
  }

  /** Records the latest revision that the platform names. */
  recordLatestRevision(revision: number): void {
    this.hasReadLatest = true;
    this.recordPeerRevision(revision);
  }

  /** Records the revision that a peer reports. */
  recordPeerRevision(revision: number): void {
    this.newestRevision = Math.max(this.newestRevision, revision);
  }

  /**
   * Returns whether the node may apply the revision that it holds. Once true,
   * the result stays true: a running node remains ready when a newer revision
   * is announced.
   */
  checkReady(heldRevision: number, nowMs: number): boolean {
    if (this.isReady) return true;
    const hasWaited = nowMs - this.startedAtMs >= PEER_REPORT_WAIT_MS;
    const isNewest = heldRevision > 0 && heldRevision >= this.newestRevision;
    this.isReady = isNewest && (this.hasReadLatest || hasWaited);
    return this.isReady;
  }
}
