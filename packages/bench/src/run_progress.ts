/** Progress of a simulated run, linear between its start and end. */
export class RunProgress {
  private startedAtMs: number | undefined;
  private durationMs = 1;

  private constructor(private readonly tokens: number) {}

  /** `tokens` is the number that the run generates in total. */
  static create(tokens: number): RunProgress {
    return new RunProgress(tokens);
  }

  /** Records the start of the run; a retry starts it again from 0. */
  start(nowMs: number, durationMs: number): void {
    this.startedAtMs = nowMs;
    this.durationMs = Math.max(1, durationMs);
  }

  /** Returns the tokens generated until `nowMs`; 0 before the start. */
  countTokens(nowMs: number): number {
    if (this.startedAtMs === undefined) return 0;
    const share = (nowMs - this.startedAtMs) / this.durationMs;
    return Math.floor(this.tokens * Math.min(1, share));
  }
}
