/**
 * Policies that decide which slots of a pool's open steps are started next.
 *
 * A policy gets the demand of each step and the supply of the pool, and
 * returns the starts in the order in which they are to be dispatched. It has
 * no state, so that a benchmark can compare policies on the same input.
 */
import {planCurrent} from './current_policy';
import {planFifo} from './fifo_policy';

/** A slot that needs a sample and has no running copy. */
export interface MissingSlot {
  readonly slot: number;
  /** Index of the slot's prompt. */
  readonly group: number;
  /** Predicted length of the answer. */
  readonly expectedTokens: number;
}

/** A copy of a slot that is being generated. */
export interface RunningCopy extends MissingSlot {
  readonly startedAtMs: number;
  /** Tokens received so far. */
  readonly generatedTokens: number;
}

/** One open step. */
export interface StepDemand {
  /** Name of the trainer and step, as `formatStepName` returns it. */
  readonly stepName: string;
  /** Weight of idle time against staleness, from 0 to 1; at 1, only idle time
   * counts. */
  readonly idleWeight: number;
  /** Largest lag in versions at delivery. */
  readonly stalenessBound: number;
  /** Newest version that the trainer has reported or published. */
  readonly trainerVersion: number;
  /** Number of slots of the step. */
  readonly total: number;
  /** Samples waiting to be pulled; 0 once replies have carried the entire
   * step. */
  readonly ready: number;
  /** Samples that the trainer consumes per version that it publishes;
   * undefined when not known. */
  readonly samplesPerVersion: number | undefined;
  readonly missing: readonly MissingSlot[];
  /** Running copies; a slot with a second copy is listed twice. */
  readonly running: readonly RunningCopy[];
}

/** Capacity and versions of the pool that the steps run on. */
export interface PoolSupply {
  /** Number of requests that the pool runs concurrently. */
  readonly slots: number;
  /** Unused slots according to the latest reports. */
  readonly freeSlots: number;
  /** Newest version that any serving endpoint runs. */
  readonly servedVersion: number;
  /** Smoothed time between published versions; undefined when not known. */
  readonly versionIntervalMs: number | undefined;
  /** Time since the newest version was published; 0 when not known. */
  readonly sinceVersionMs: number;
  /** Smoothed tokens per second of one running request; 0 when not known. */
  readonly tokensPerSecond: number;
}

/** Input of a policy. */
export interface RolloutView {
  readonly nowMs: number;
  readonly pool: PoolSupply;
  /** The open steps; those of a trainer in the order in which they opened. */
  readonly steps: readonly StepDemand[];
}

/** Why a slot is started. */
export type StartReason = 'missing' | 'straggler';

/** A slot to start now. */
export interface SlotStart {
  readonly stepName: string;
  readonly slot: number;
  readonly reason: StartReason;
  /** Whether the step waits for its last few slots, which get priority. */
  readonly isTail: boolean;
}

/** Decides which slots to start, without state between the calls. */
export interface RolloutPolicy {
  readonly name: string;
  planStarts(view: RolloutView): SlotStart[];
}

export type RolloutPolicyName = 'fifo' | 'current';

export const ROLLOUT_POLICIES: Readonly<
  Record<RolloutPolicyName, RolloutPolicy>
> = {
  /** Baseline for comparisons. */
  fifo: {name: 'fifo', planStarts: planFifo},
  current: {name: 'current', planStarts: planCurrent},
};
