/**
 * A log stream that never waits for its reader and never writes more than a
 * stated rate. What is over is dropped and counted; a line tells how many.
 */

/** Lines a second over a longer time. */
const DEFAULT_LINES_PER_S = 150;
/** Lines that may come at once. */
const DEFAULT_BURST = 600;
/** Bytes that wait for a slow reader before lines are dropped. */
const MAX_BUFFERED_BYTES = 262_144;
const MS_PER_SECOND = 1_000;

/** Where lines go. */
export interface LineTarget {
  write(text: string): boolean;
  readonly writableLength: number;
}

/** Bounds of an output. */
export interface OutputBounds {
  readonly linesPerSecond: number;
  readonly burst: number;
}

/** A bounded stream of lines. */
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

  /** Builds an output on a target. */
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

  /** Writes a line, or drops it. */
  write(line: string): boolean {
    this.addTokens();
    const isSlow = this.target.writableLength > MAX_BUFFERED_BYTES;
    if (this.tokens < 1 || isSlow) {
      this.droppedLines += 1;
      return true;
    }
    this.tokens -= 1;
    this.reportDrops();
    this.target.write(line);
    return true;
  }

  /** Returns how many lines were dropped since the start. */
  getDroppedLines(): number {
    return this.droppedLines;
  }

  private addTokens(): void {
    const nowMs = this.readMs();
    const earned =
      ((nowMs - this.refilledAtMs) * this.bounds.linesPerSecond) /
      MS_PER_SECOND;
    this.refilledAtMs = nowMs;
    this.tokens = Math.min(this.bounds.burst, this.tokens + earned);
  }

  private reportDrops(): void {
    const dropped = this.droppedLines - this.reportedLines;
    if (dropped === 0) return;
    this.reportedLines = this.droppedLines;
    this.target.write(`${JSON.stringify({msg: 'log-dropped', dropped})}\n`);
  }
}
