/**
 * Requests that crash the endpoints that run them. A crash implicates every
 * request in flight; a later success clears one; the second crash quarantines.
 */

const QUARANTINE_THRESHOLD = 2;

/** Suspicions and verdicts on request fingerprints. */
export class Quarantine {
  private readonly crashes = new Map<string, number>();
  private readonly quarantined = new Set<string>();

  private constructor() {}

  /** Builds a record without suspicions. */
  static create(): Quarantine {
    return new Quarantine();
  }

  /** Notes the requests in flight at a crash; returns the newly refused. */
  implicate(fingerprints: readonly string[]): string[] {
    const fresh: string[] = [];
    for (const fingerprint of new Set(fingerprints)) {
      const count = (this.crashes.get(fingerprint) ?? 0) + 1;
      this.crashes.set(fingerprint, count);
      if (count < QUARANTINE_THRESHOLD) continue;
      if (this.quarantined.has(fingerprint)) continue;
      this.quarantined.add(fingerprint);
      fresh.push(fingerprint);
    }
    return fresh;
  }

  /** Clears a request that ran to its end. */
  clear(fingerprint: string): void {
    this.crashes.delete(fingerprint);
  }

  /** Takes over verdicts of a peer. */
  addVerdicts(fingerprints: readonly string[]): void {
    for (const fingerprint of fingerprints) this.quarantined.add(fingerprint);
  }

  /** Tells whether a request is refused. */
  isQuarantined(fingerprint: string): boolean {
    return this.quarantined.has(fingerprint);
  }

  /** Lists the refused fingerprints. */
  listQuarantined(): string[] {
    return [...this.quarantined];
  }
}
