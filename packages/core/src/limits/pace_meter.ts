/**
 * Measures how long a client has been slower than an ordinary one. Each byte that
 * it sends or reads pays for the time that an ordinary client would take for it.
 */

/** Pace of the slowest ordinary client, in bytes per ms. */
const MIN_BYTES_PER_MS = 16;

/** Pace of one client at one body or answer. */
export class PaceMeter {
  private constructor(private paidUntilMs: number) {}

  static create(nowMs: number): PaceMeter {
    return new PaceMeter(nowMs);
  }

  recordBytes(bytes: number, nowMs: number): void {
    const paidUntilMs = this.paidUntilMs + bytes / MIN_BYTES_PER_MS;
    this.paidUntilMs = Math.min(nowMs, paidUntilMs);
  }

  /** Returns by how long the client is behind, in ms. */
  getLagMs(nowMs: number): number {
    return nowMs - this.paidUntilMs;
  }
}
