/**
 * Decides when a started node may show rules as in force: once the platform's
 * head has been read, or, during an outage, once peers have had time to say
 * what they hold. Without it a node that restarts beside a lagging peer would
 * bring back rules that were replaced already.
 */

/** Time that peers get to say which revision they hold. */
export const PEER_SURVEY_MS = 3_000;

/** What a started node has learned of the newest rules. */
export class RulesSurvey {
  private readonly startedAtMs: number;
  private newestSeen = 0;
  private hasReadHead = false;
  private isSettled = false;

  private constructor(startedAtMs: number) {
    this.startedAtMs = startedAtMs;
  }

  /** Builds the survey of a node started at a monotonic time in ms. */
  static create(startedAtMs: number): RulesSurvey {
    return new RulesSurvey(startedAtMs);
  }

  /** Notes the revision that the platform's head names. */
  recordHead(revision: number): void {
    this.hasReadHead = true;
    this.recordPeer(revision);
  }

  /** Notes the revision that a peer says it holds. */
  recordPeer(revision: number): void {
    this.newestSeen = Math.max(this.newestSeen, revision);
  }

  /**
   * Tells whether the node may work under the revision it holds. Stays true:
   * a newer revision on its way makes no running node unready.
   */
  checkSettled(heldRevision: number, nowMs: number): boolean {
    if (this.isSettled) return true;
    const hasWaited = nowMs - this.startedAtMs >= PEER_SURVEY_MS;
    const isNewest = heldRevision > 0 && heldRevision >= this.newestSeen;
    this.isSettled = isNewest && (this.hasReadHead || hasWaited);
    return this.isSettled;
  }
}
