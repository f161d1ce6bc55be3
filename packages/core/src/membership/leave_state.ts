/**
 * Since when the endpoints of an agent are leaving. Work that waits is still
 * started for a while, then refused as not run, so that an endpoint gets no
 * new work once its time is over. Leaving is never taken back in one life of
 * an agent.
 */

import type {EndpointCondition} from './fleet_view';

/** Waiting work is started for this long after leaving began. */
export const START_GRACE_MS = 500;

/** Which endpoints of an agent are leaving, and since when. */
export class LeaveState {
  private readonly leavingSinceMs = new Map<string, number>();

  private constructor() {}

  /** Builds the state of an agent without leaving endpoints. */
  static create(): LeaveState {
    return new LeaveState();
  }

  /** Takes the condition of an endpoint at a monotonic time in ms. */
  observeEndpoint(
    endpoint: string,
    condition: EndpointCondition,
    nowMs: number,
  ): void {
    if (condition !== 'leaving' || this.leavingSinceMs.has(endpoint)) return;
    this.leavingSinceMs.set(endpoint, nowMs);
  }

  /** Tells whether waiting work of an endpoint must not start any more. */
  isPastStartGrace(endpoint: string, nowMs: number): boolean {
    const sinceMs = this.leavingSinceMs.get(endpoint);
    return sinceMs !== undefined && nowMs - sinceMs >= START_GRACE_MS;
  }
}
