/**
 * Measures how fast an endpoint generates: the time of its runs over the
 * tokens that they made. Tokens arrive in events, and events in bursts, so
 * that only the sum over many of them says something.
 */

/** Time for a token of one run alone before any was measured, in ms. */
const INITIAL_MS_PER_TOKEN = 0.7;
/** Time of runs that makes a measurement, in ms: some twenty events. */
const WINDOW_RUN_MS = 1_500;
/** Weight of the newest measurement. */
const WINDOW_WEIGHT = 0.6;
/** Cost of each run beside, as a share of a run alone. */
export const SLOWDOWN_PER_RUN = 0.007;

/** Pace of one endpoint. */
export class TokenTimeEstimator {
  private runMs = 0;
  private tokens = 0;
  private msPerToken = INITIAL_MS_PER_TOKEN;

  private constructor() {}

  /** Builds a meter that has measured nothing. */
  static create(): TokenTimeEstimator {
    return new TokenTimeEstimator();
  }

  /** Returns the time for a token of one run alone, in ms. */
  getMsPerToken(): number {
    return this.msPerToken;
  }

  /** Adds the time that a run has taken beside others, and its tokens. */
  addRunTime(tookMs: number, tokens: number, runsBeside: number): void {
    this.runMs += tookMs / (1 + SLOWDOWN_PER_RUN * Math.max(0, runsBeside));
    this.tokens += tokens;
    if (this.runMs < WINDOW_RUN_MS) return;
    // Half a token keeps an endpoint that made nothing comparable.
    const measured = this.runMs / Math.max(0.5, this.tokens);
    this.msPerToken += WINDOW_WEIGHT * (measured - this.msPerToken);
    this.runMs = 0;
    this.tokens = 0;
  }
}
