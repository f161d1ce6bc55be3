/**
 * Estimates the token time of an endpoint: the time of its runs divided by the
 * tokens that they generated. Tokens arrive in events, and events in bursts, so
 * only a sum over many events is meaningful.
 */

/** Token time of a single run before the first measurement, in ms. */
const INITIAL_MS_PER_TOKEN = 0.7;
/** Accumulated run time that makes up one measurement, in ms: about twenty
 * events. */
const WINDOW_RUN_MS = 1_500;
/** Weight of the newest measurement in the moving average. */
const WINDOW_WEIGHT = 0.6;
/** Increase of the token time by each concurrent run, as a share of the token
 * time of a single run. */
export const SLOWDOWN_PER_RUN = 0.007;

/** Moving average of the token time of one endpoint. */
export class TokenTimeEstimator {
  private runMs = 0;
  private tokens = 0;
  private msPerToken = INITIAL_MS_PER_TOKEN;

  private constructor() {}

  static create(): TokenTimeEstimator {
    return new TokenTimeEstimator();
  }

  /** Returns the time per token of a run without concurrent runs, in ms. */
  getMsPerToken(): number {
    return this.msPerToken;
  }

  /** Adds run time and the tokens generated in it. The time is converted to that
   * of a run without concurrent runs. */
  addRunTime(elapsedMs: number, tokens: number, concurrentRuns: number): void {
    this.runMs +=
      elapsedMs / (1 + SLOWDOWN_PER_RUN * Math.max(0, concurrentRuns));
    this.tokens += tokens;
    if (this.runMs < WINDOW_RUN_MS) return;
    // Counting half a token gives an endpoint that generated none a finite time.
    const measured = this.runMs / Math.max(0.5, this.tokens);
    this.msPerToken += WINDOW_WEIGHT * (measured - this.msPerToken);
    this.runMs = 0;
    this.tokens = 0;
  }
}
