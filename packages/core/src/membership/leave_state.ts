/**
 * Tracks since when the endpoints of an agent are leaving. Queued work is
 * started during a grace period and then refused as not run, so that an
 * endpoint receives no new work after it. An endpoint that is leaving stays so
 * for the rest of the agent's incarnation.
 */

import type {EndpointCondition} from './fleet_view';

/** Time for which queued work is started after an endpoint began to leave, in ms. */
export const START_GRACE_MS = 500;

/** Leaving endpoints of an agent and when they began to leave. */
export class LeaveState {
  private readonly leavingSinceMs = new Map<string, number>();

  private constructor() {}

  static create(): LeaveState {
    return new LeaveState();
  }

  /** Records the condition of an endpoint at a monotonic time in ms. */
  observeEndpoint(
    endpoint: string,
    condition: EndpointCondition,
    nowMs: number,
  ): void {
    if (condition !== 'leaving' || this.leavingSinceMs.has(endpoint)) return;
    this.leavingSinceMs.set(endpoint, nowMs);
  }

  /** Returns whether the endpoint's queued work must be refused. */
  isPastStartGrace(endpoint: string, nowMs: number): boolean {
    const sinceMs = this.leavingSinceMs.get(endpoint);
    return sinceMs !== undefined && nowMs - sinceMs >= START_GRACE_MS;
  }
}
