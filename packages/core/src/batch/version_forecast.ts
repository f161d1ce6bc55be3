/**
 * Forecasts which weight versions the next job of a model allows.
 *
 * Designed for this load: a trainer submits a step for each version that it
 * announces, allows the versions of the last few steps, and submits groups that
 * a step left incomplete again in its next step. A text of such a group is only
 * useful there if the next step allows the version that it began with. The
 * minimum version rises with each step, also while no group was submitted again
 * yet.
 */

/** What the latest job of a model has shown. */
interface LatestJob {
  readonly minVersion: number;
  /** Newest announced version when the job was submitted. */
  readonly newestVersion: number;
}

/** Minimum versions of the next jobs, by model. */
export class VersionForecast {
  private readonly latestJobs = new Map<string, LatestJob>();

  private constructor() {}

  static create(): VersionForecast {
    return new VersionForecast();
  }

  /** Records a job that was submitted; older ones are ignored. */
  recordJob(model: string, minVersion: number, newestVersion: number): void {
    const latest = this.latestJobs.get(model);
    if (latest !== undefined && latest.minVersion > minVersion) return;
    this.latestJobs.set(model, {minVersion, newestVersion});
  }

  /**
   * Returns the expected minimum version of the next job of a model; 0 if the
   * model had no job. It is never above the newest announced version, so that
   * endpoints can have it.
   */
  predictMinVersion(model: string, newestVersion: number): number {
    const latest = this.latestJobs.get(model);
    if (latest === undefined) return 0;
    const allowsOlder = latest.newestVersion > latest.minVersion;
    return allowsOlder
      ? latest.minVersion + 1
      : Math.max(latest.minVersion, newestVersion);
  }
}
