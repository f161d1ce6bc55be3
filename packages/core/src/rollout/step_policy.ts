/**
 * Which slots of the open steps of a pool are started next: a table of
 * policies over plain data.
 *
 * A policy gets the demand of each step and the supply of the pool, and
 * returns the starts in the order in which they are to be dispatched. It
 * keeps no state, so that a benchmark can run it beside others.
 */
import {planCurrent} from './current_policy';
import {planFifo} from './fifo_policy';

/** A slot that needs a sample and of which no copy is under way. */
export interface MissingSlot {
  readonly slot: number;
  /** Prompt that the slot belongs to. */
  readonly group: number;
  /** Predicted length of the answer in tokens. */
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
  /** Name of the trainer and step. */
  readonly stepName: string;
  /** Weight of idle time against staleness, 1 for idle time alone. */
  readonly idleWeight: number;
  /** Largest lag in versions at delivery. */
  readonly stalenessBound: number;
  /** Newest version that the trainer has stated or published. */
  readonly trainerVersion: number;
  /** Slots of the step. */
  readonly total: number;
  /** Samples that wait to be pulled; 0 once all of the step was sent. */
  readonly ready: number;
  /** Samples that the trainer takes for each version it publishes;
   * undefined when not known. */
  readonly samplesPerVersion: number | undefined;
  readonly missing: readonly MissingSlot[];
  /** Copies under way; a slot with a second copy stands twice. */
  readonly running: readonly RunningCopy[];
}

/** What the pool of the steps offers. */
export interface PoolSupply {
  /** Requests that the pool runs at once. */
  readonly slots: number;
  /** Slots that nothing uses, as far as reports tell. */
  readonly freeSlots: number;
  /** Newest version that a serving endpoint runs. */
  readonly servedVersion: number;
  /** Smoothed time between published versions; undefined when not known. */
  readonly versionIntervalMs: number | undefined;
  /** Time since the newest version was published; 0 when not known. */
  readonly sinceVersionMs: number;
  /** Smoothed tokens per second of one running request; 0 when not known. */
  readonly tokensPerSecond: number;
}

/** What a policy decides on. */
export interface RolloutView {
  readonly nowMs: number;
  readonly pool: PoolSupply;
  /** The open steps; those of one trainer in the order of their opening. */
  readonly steps: readonly StepDemand[];
}

/** Why a slot is started. */
export type StartReason = 'missing' | 'straggler';

/** A slot to start now. */
export interface SlotStart {
  readonly stepName: string;
  readonly slot: number;
  readonly reason: StartReason;
  /** Whether the step waits for few slots, so that each one counts. */
  readonly isTail: boolean;
}

/** Decides which slots to start. */
export interface RolloutPolicy {
  readonly name: string;
  planStarts(view: RolloutView): SlotStart[];
}

/** Name of a policy. */
export type RolloutPolicyName = 'fifo' | 'current';

/** Every policy by its name. */
export const ROLLOUT_POLICIES: Readonly<
  Record<RolloutPolicyName, RolloutPolicy>
> = {
  /** The first landed policy: slots in order, up to the size of the pool. */
  fifo: {name: 'fifo', planStarts: planFifo},
  current: {name: 'current', planStarts: planCurrent},
};
