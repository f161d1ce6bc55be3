/**
 * Requests that crash the endpoints that run them. A crash implicates every
 * request in flight; a second crash quarantines. Crashes are told apart by
 * name, so that those at different agents count together and none counts
 * twice. A suspect runs alone, so that no second crash can implicate a
 * request that was only beside the cause of the first.
 */

/** Crashes after which a request is refused where no other number is set. */
const DEFAULT_CRASH_THRESHOLD = 2;
const MAX_FINGERPRINTS = 1_000;

/** Crashes of endpoints while a request was running. */
export interface CrashSuspicion {
  readonly fingerprint: string;
  readonly crashIds: readonly string[];
}

/** Suspicions and verdicts on request fingerprints. */
export class Quarantine {
  private readonly crashes = new Map<string, Set<string>>();
  private readonly quarantined = new Set<string>();
  private readonly listeners = new Set<() => void>();

  private constructor(private readonly threshold: number) {}

  /** Builds a record without suspicions. */
  static create(threshold = DEFAULT_CRASH_THRESHOLD): Quarantine {
    return new Quarantine(threshold);
  }

  /** Notes the requests in flight at a crash; returns the newly refused. */
  implicate(fingerprints: readonly string[], crashId: string): string[] {
    return this.addSuspicions(
      fingerprints.map(fingerprint => ({fingerprint, crashIds: [crashId]})),
    );
  }

  /** Takes over suspicions of a peer; returns the newly refused. */
  addSuspicions(suspicions: readonly CrashSuspicion[]): string[] {
    let hasNews = false;
    const fresh: string[] = [];
    for (const {fingerprint, crashIds} of suspicions) {
      const known = this.crashes.get(fingerprint) ?? new Set<string>();
      const before = known.size;
      for (const crashId of crashIds) known.add(crashId);
      if (known.size === before) continue;
      hasNews = true;
      this.crashes.set(fingerprint, known);
      if (known.size < this.threshold) continue;
      if (this.quarantined.has(fingerprint)) continue;
      this.quarantined.add(fingerprint);
      fresh.push(fingerprint);
    }
    evictOldest(this.crashes);
    evictOldest(this.quarantined);
    if (hasNews) this.notifyListeners();
    return fresh;
  }

  /** Clears a request that ran to its end. */
  clear(fingerprint: string): void {
    this.crashes.delete(fingerprint);
  }

  /** Takes over verdicts of a peer. */
  addQuarantined(fingerprints: readonly string[]): void {
    for (const fingerprint of fingerprints) this.quarantined.add(fingerprint);
  }

  /** Tells whether a request is refused. */
  isQuarantined(fingerprint: string): boolean {
    return this.quarantined.has(fingerprint);
  }

  /** Tells whether a request was in flight at a crash. */
  isSuspect(fingerprint: string): boolean {
    return this.crashes.has(fingerprint);
  }

  /** Returns the name of a crash that implicated a request. */
  findCrashId(fingerprint: string): string | undefined {
    return this.crashes.get(fingerprint)?.values().next().value;
  }

  /** Lists the refused fingerprints. */
  listQuarantined(): string[] {
    return [...this.quarantined];
  }

  /** Lists the suspicions. */
  listSuspicions(): CrashSuspicion[] {
    return [...this.crashes].map(([fingerprint, crashIds]) => ({
      fingerprint,
      crashIds: [...crashIds],
    }));
  }

  /** Calls a listener after each new suspicion, until it is removed. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private notifyListeners(): void {
    for (const listener of [...this.listeners]) listener();
  }
}

/** Drops the oldest entries of a collection over its bound. */
function evictOldest(collection: Map<string, unknown> | Set<string>): void {
  for (const name of collection.keys()) {
    if (collection.size <= MAX_FINGERPRINTS) return;
    collection.delete(name);
  }
}
