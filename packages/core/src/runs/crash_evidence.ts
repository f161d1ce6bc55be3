/**
 * Decides which requests an endpoint ran when it crashed. An attempt that ends
 * without a complete answer proves nothing: connections are reset, and callers
 * leave. It implicates its request once the endpoint turns out to have ended, at
 * whatever point of the answer it broke, and no longer once the endpoint shows
 * that it lives, or the request has been answered by another one.
 */

/** Time within which a crashed endpoint can't be back, in ms: an answer to a
 * request that was sent so soon after a break is one of the same process. */
const MIN_RESTART_MS = 1_000;
/** Time after which an attempt implicates no request any more, in ms: longer than
 * the registration of a silent endpoint lasts. */
const OPEN_MS = 10_000;
/** Minimum time between two removals of what is over, in ms. */
const EXPIRE_INTERVAL_MS = 1_000;
/** Bounds what is remembered. */
const MAX_ENDPOINTS = 1_000;

/** One life of an endpoint, from its start to its end. */
export interface EndpointLife {
  readonly id: string;
  /** Start in Unix ms; an endpoint can start again under its id. */
  readonly startedAtMs: number;
}

/** Names the end of an endpoint's life, the same at every node. */
export function formatCrashId({id, startedAtMs}: EndpointLife): string {
  return `${id}@${startedAtMs}`;
}

/** Unanswered attempts of the requests of one endpoint's life. */
interface OpenAttempts {
  readonly life: EndpointLife;
  /** Time of the latest break, by fingerprint. */
  readonly brokenAtMs: Map<string, number>;
  /** Defined once the life has ended. */
  endedAtMs: number | undefined;
}

export class CrashEvidence {
  private readonly attempts = new Map<string, OpenAttempts>();
  private expiredAtMs = -Infinity;

  private constructor() {}

  static create(): CrashEvidence {
    return new CrashEvidence();
  }

  /**
   * Records that an attempt ended without a complete answer. Returns whether the
   * endpoint is known to have ended, so that the request is implicated at once.
   */
  recordBreak(life: EndpointLife, fingerprint: string, nowMs: number): boolean {
    this.expire(nowMs);
    const open = this.getAttempts(life);
    if (open.endedAtMs !== undefined) return true;
    open.brokenAtMs.set(fingerprint, nowMs);
    return false;
  }

  /** Records that an endpoint has replied to a request that was sent then. */
  recordReply(life: EndpointLife, sentAtMs: number): void {
    const open = this.attempts.get(formatCrashId(life));
    if (open === undefined) return;
    if (open.endedAtMs !== undefined) {
      // It was out of reach for a while, and lives.
      if (sentAtMs > open.endedAtMs) this.attempts.delete(formatCrashId(life));
      return;
    }
    for (const [fingerprint, brokenAtMs] of open.brokenAtMs) {
      const passedMs = sentAtMs - brokenAtMs;
      if (passedMs < 0 || passedMs > MIN_RESTART_MS) continue;
      open.brokenAtMs.delete(fingerprint);
    }
  }

  /** Records that a request was answered: it does not crash endpoints. */
  recordSuccess(fingerprint: string): void {
    for (const open of this.attempts.values()) {
      open.brokenAtMs.delete(fingerprint);
    }
  }

  /** Records that an endpoint leaves as planned: its end is no crash. */
  recordLeaving(life: EndpointLife): void {
    this.attempts.delete(formatCrashId(life));
  }

  /** Records the end of an endpoint's life; returns the fingerprints of the
   * requests that it implicates. */
  recordEnd(life: EndpointLife, nowMs: number): string[] {
    this.expire(nowMs);
    const open = this.getAttempts(life);
    const fingerprints = [...open.brokenAtMs.keys()];
    open.brokenAtMs.clear();
    open.endedAtMs ??= nowMs;
    return fingerprints;
  }

  /** Lists the endpoints that have unanswered attempts and may live. */
  listOpen(): EndpointLife[] {
    return [...this.attempts.values()]
      .filter(open => open.endedAtMs === undefined && open.brokenAtMs.size > 0)
      .map(open => open.life);
  }

  private getAttempts(life: EndpointLife): OpenAttempts {
    const name = formatCrashId(life);
    const known = this.attempts.get(name);
    if (known !== undefined) return known;
    const open = {life, brokenAtMs: new Map(), endedAtMs: undefined};
    this.attempts.set(name, open);
    for (const oldest of this.attempts.keys()) {
      if (this.attempts.size <= MAX_ENDPOINTS) break;
      this.attempts.delete(oldest);
    }
    return open;
  }

  private expire(nowMs: number): void {
    if (nowMs - this.expiredAtMs < EXPIRE_INTERVAL_MS) return;
    this.expiredAtMs = nowMs;
    for (const [name, {brokenAtMs, endedAtMs}] of this.attempts) {
      for (const [fingerprint, atMs] of brokenAtMs) {
        if (nowMs - atMs > OPEN_MS) brokenAtMs.delete(fingerprint);
      }
      const isOld = endedAtMs === undefined || nowMs - endedAtMs > OPEN_MS;
      if (isOld && brokenAtMs.size === 0) this.attempts.delete(name);
    }
  }
}

/**
 * Returns what the registrations say of an endpoint's life: it goes on, is about
 * to end as planned, or has ended, since the endpoint has a later start or is no
 * longer registered.
 */
export function classifyLife(
  life: EndpointLife,
  registered: (EndpointLife & {readonly isDraining: boolean}) | undefined,
): 'lives' | 'leaves' | 'ended' {
  if (registered === undefined) return 'ended';
  if (registered.startedAtMs > life.startedAtMs) return 'ended';
  return registered.isDraining ? 'leaves' : 'lives';
}
