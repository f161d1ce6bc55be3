/**
 * A rate-limited log stream that never blocks on a slow reader. Lines over the
 * rate or the buffer limit are dropped and counted, and the next line that is
 * written is preceded by a line with that count.
 */

/** Sustained rate in lines per second. */
const DEFAULT_LINES_PER_S = 150;
/** Lines that may be written at once. */
const DEFAULT_BURST = 600;
/** Bytes buffered for a slow reader beyond which lines are dropped. */
const MAX_BUFFERED_BYTES = 262_144;
const MS_PER_SECOND = 1_000;

/** The part of a writable stream that the output needs. */
export interface LineTarget {
  write(text: string): boolean;
  /** Bytes that the reader has not consumed yet. */
  readonly writableLength: number;
}

/** Limits of the token bucket. */
export interface OutputBounds {
  readonly linesPerSecond: number;
  readonly burst: number;
}

/** Writes lines to a target within a token bucket's limits. */
export class BoundedOutput {
  private tokens: number;
  private refilledAtMs: number;
  private droppedLines = 0;
  private reportedLines = 0;

  private constructor(
    private readonly target: LineTarget,
    private readonly readMs: () => number,
    private readonly bounds: OutputBounds,
  ) {
    this.tokens = bounds.burst;
    this.refilledAtMs = readMs();
  }

  /** `readMs` is a monotonic clock in ms. */
  static create(
    target: LineTarget,
    readMs: () => number,
    bounds: OutputBounds = {
      linesPerSecond: DEFAULT_LINES_PER_S,
      burst: DEFAULT_BURST,
    },
  ): BoundedOutput {
    return new BoundedOutput(target, readMs, bounds);
  }

  /** Writes a line or drops it; always returns true. */
  write(line: string): boolean {
    this.addTokens();
    const isReaderSlow = this.target.writableLength > MAX_BUFFERED_BYTES;
    if (this.tokens < 1 || isReaderSlow) {
      this.droppedLines += 1;
      return true;
    }
    this.tokens -= 1;
    this.reportDrops();
    this.target.write(line);
    return true;
  }

  /** Returns the number of lines dropped since the start. */
  getDroppedLines(): number {
    return this.droppedLines;
  }

  private addTokens(): void {
    const nowMs = this.readMs();
    const newTokens =
      ((nowMs - this.refilledAtMs) * this.bounds.linesPerSecond) /
      MS_PER_SECOND;
    this.refilledAtMs = nowMs;
    this.tokens = Math.min(this.bounds.burst, this.tokens + newTokens);
  }

  private reportDrops(): void {
    const dropped = this.droppedLines - this.reportedLines;
    if (dropped === 0) return;
    this.reportedLines = this.droppedLines;
    this.target.write(`${JSON.stringify({msg: 'log-dropped', dropped})}\n`);
  }
}
