/**
 * Decides how long a trainer's read without results is held.
 *
 * Designed for this load: a read waits for a second at most, and the trainer
 * pauses for most of a second after each answer. A step that is complete during
 * such a pause is noticed only after it. When the end of the step is near, a read
 * that would be answered just before it is answered earlier, so that the trainer's
 * next read is already waiting when the step is complete.
 */

/** Error of the forecast of a step's end, in ms, either way. */
const FORECAST_ERROR_MS = 120;
/** Number of pauses that are remembered. */
const MAX_PAUSES = 6;
/** Number of pauses from which on they are taken as the reader's habit. */
const MIN_PAUSES = 2;
/** Pause from which on a reader has gone away, in ms. */
const ABSENCE_MS = 3_000;

/** Input of the decision. */
export interface ReadHoldView {
  readonly nowMs: number;
  /** Time for which the read may still be held, in ms. */
  readonly limitMs: number;
  /** Expected time at which the step is complete; Infinity when unknown. */
  readonly completesAtMs: number;
  /** Longest usual pause between an answer and the next read, in ms; undefined
   * when unknown. */
  readonly longestPauseMs: number | undefined;
}

/** Returns for how much longer to hold a read, in ms. */
export function computeReadHold(view: ReadHoldView): number {
  const {nowMs, limitMs, completesAtMs, longestPauseMs} = view;
  if (longestPauseMs === undefined) return limitMs;
  const endsAtMs = nowMs + limitMs;
  const coversCompletion = completesAtMs + FORECAST_ERROR_MS <= endsAtMs;
  const answerAtMs = completesAtMs - FORECAST_ERROR_MS - longestPauseMs;
  if (coversCompletion || endsAtMs <= answerAtMs) return limitMs;
  return Math.max(0, answerAtMs - nowMs);
}

/** The pauses of a job's reader between an answer and its next read. */
export class ReadPauses {
  private readonly pausesMs: number[] = [];
  private answeredAtMs: number | undefined;

  private constructor() {}

  static create(): ReadPauses {
    return new ReadPauses();
  }

  /** Records a read of results that are not there yet. */
  recordRead(nowMs: number): void {
    const pauseMs = nowMs - (this.answeredAtMs ?? -Infinity);
    this.answeredAtMs = undefined;
    if (pauseMs > ABSENCE_MS) return;
    this.pausesMs.push(pauseMs);
    if (this.pausesMs.length > MAX_PAUSES) this.pausesMs.shift();
  }

  /** Records that such a read was answered. */
  recordAnswer(nowMs: number): void {
    this.answeredAtMs = nowMs;
  }

  /** Returns the longest of the latest pauses in ms; undefined if there are too
   * few. */
  findLongest(): number | undefined {
    if (this.pausesMs.length < MIN_PAUSES) return undefined;
    return Math.max(...this.pausesMs);
  }
}
