/**
 * Quarantine of requests that crash the endpoints that run them. A crash makes
 * every request in flight a suspect; a suspect that is in flight at a second
 * crash is quarantined. Crashes have ids, so that crashes at different agents
 * are counted together and no crash is counted twice. Suspects run alone, so
 * that a request that merely ran beside the cause of the first crash cannot be
 * implicated in a second one.
 */

/** Crashes after which a request is refused, unless another number is set. */
const DEFAULT_CRASH_THRESHOLD = 2;
const MAX_FINGERPRINTS = 1_000;

/** The endpoint crashes during which a request was in flight. */
export interface CrashSuspicion {
  readonly fingerprint: string;
  readonly crashIds: readonly string[];
}

/** The suspect and quarantined requests, by fingerprint. */
export class Quarantine {
  private readonly crashes = new Map<string, Set<string>>();
  private readonly quarantined = new Set<string>();
  private readonly listeners = new Set<() => void>();

  private constructor(private readonly threshold: number) {}

  static create(threshold = DEFAULT_CRASH_THRESHOLD): Quarantine {
    return new Quarantine(threshold);
  }

  /**
   * Records the requests that were in flight at a crash. Returns the
   * fingerprints that are newly quarantined.
   */
  implicate(fingerprints: readonly string[], crashId: string): string[] {
    return this.addSuspicions(
      fingerprints.map(fingerprint => ({fingerprint, crashIds: [crashId]})),
    );
  }

  /**
   * Adds suspicions that a peer has reported. Returns the fingerprints that are
   * newly quarantined.
   */
  addSuspicions(suspicions: readonly CrashSuspicion[]): string[] {
    let hasNewCrash = false;
    const newlyQuarantined: string[] = [];
    for (const {fingerprint, crashIds} of suspicions) {
      const knownIds = this.crashes.get(fingerprint) ?? new Set<string>();
      const previousCount = knownIds.size;
      for (const crashId of crashIds) knownIds.add(crashId);
      if (knownIds.size === previousCount) continue;
      hasNewCrash = true;
      this.crashes.set(fingerprint, knownIds);
      if (knownIds.size < this.threshold) continue;
      if (this.quarantined.has(fingerprint)) continue;
      this.quarantined.add(fingerprint);
      newlyQuarantined.push(fingerprint);
    }
    evictOldest(this.crashes);
    evictOldest(this.quarantined);
    if (hasNewCrash) this.notifyListeners();
    return newlyQuarantined;
  }

  /** Removes the suspicion of a request that has run to its end. */
  clear(fingerprint: string): void {
    this.crashes.delete(fingerprint);
  }

  /** Adds fingerprints that a peer has quarantined. */
  addQuarantined(fingerprints: readonly string[]): void {
    for (const fingerprint of fingerprints) this.quarantined.add(fingerprint);
  }

  /** Returns whether a request must be refused. */
  isQuarantined(fingerprint: string): boolean {
    return this.quarantined.has(fingerprint);
  }

  /** Returns whether a request was in flight at a crash and not cleared. */
  isSuspect(fingerprint: string): boolean {
    return this.crashes.has(fingerprint);
  }

  /** Returns the id of the first crash that implicated a request. */
  findCrashId(fingerprint: string): string | undefined {
    return this.crashes.get(fingerprint)?.values().next().value;
  }

  /** Lists the quarantined fingerprints, the oldest first. */
  listQuarantined(): string[] {
    return [...this.quarantined];
  }

  /** Lists the suspicions to report to peers. */
  listSuspicions(): CrashSuspicion[] {
    return [...this.crashes].map(([fingerprint, crashIds]) => ({
      fingerprint,
      crashIds: [...crashIds],
    }));
  }

  /**
   * Calls a listener after each change of the suspicions by a new crash. Returns
   * a function that ends the subscription.
   */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private notifyListeners(): void {
    for (const listener of [...this.listeners]) listener();
  }
}

/** Evicts the oldest entries of a collection that exceeds its limit. */
function evictOldest(collection: Map<string, unknown> | Set<string>): void {
  for (const fingerprint of collection.keys()) {
    if (collection.size <= MAX_FINGERPRINTS) return;
    collection.delete(fingerprint);
  }
}
