/** Tracks whether capacity is short, and keeps the plan that is then in force. */
import type {GroupState} from './job_state';
import type {
  ScarcityInputs,
  ScarcityPlan,
  ScarcityPolicy,
} from './scarcity_plan';
import type {BatchEndpointView, JobView} from './start_plan';

/** Time between two estimates, in ms: one sync of an agent. */
const INTERVAL_MS = 100;
/** Time for which estimates must agree before planning changes, in ms: longer than
 * an endpoint takes no starts after a rejection. */
const CONFIRM_MS = 1_000;

/** The begin or end of a time in which capacity is short. */
export interface ScarcityChange {
  readonly isShort: boolean;
  readonly inputs: ScarcityInputs;
}

export class ScarcityTracker {
  /** Positions of the chosen groups; undefined if capacity suffices. */
  order: ReadonlyMap<GroupState, number> | undefined;
  private lastAtMs = -Infinity;
  /** Time since which estimates differ from the plan in force. */
  private differsSinceMs: number | undefined;
  private inputs: ScarcityInputs | undefined;
  private change: ScarcityChange | undefined;

  private constructor(private readonly policy: ScarcityPolicy | undefined) {}

  static create(policy: ScarcityPolicy | undefined): ScarcityTracker {
    return new ScarcityTracker(policy);
  }

  /** Estimates again if it is time. */
  update(
    jobs: readonly JobView[],
    describeEndpoints: () => readonly BatchEndpointView[],
    nowMs: number,
  ): void {
    const {policy} = this;
    if (policy === undefined || nowMs - this.lastAtMs < INTERVAL_MS) return;
    this.lastAtMs = nowMs;
    const plan = policy(jobs, describeEndpoints(), nowMs);
    this.applyPlan(plan, nowMs);
  }

  /** Returns the latest change once, to be logged. */
  takeChange(): ScarcityChange | undefined {
    const {change} = this;
    this.change = undefined;
    return change;
  }

  private applyPlan(plan: ScarcityPlan | undefined, nowMs: number): void {
    const isInForce = this.order !== undefined;
    this.inputs = plan?.inputs ?? this.inputs;
    if (isInForce === (plan !== undefined)) {
      this.differsSinceMs = undefined;
      this.order = plan?.order;
      return;
    }
    this.differsSinceMs ??= nowMs;
    if (nowMs - this.differsSinceMs < CONFIRM_MS) return;
    this.differsSinceMs = undefined;
    this.order = plan?.order;
    if (this.inputs === undefined) return;
    this.change = {isShort: plan !== undefined, inputs: this.inputs};
  }
}
