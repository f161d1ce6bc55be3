/**
 * The steps that are open at an entry: starts their work as the policy of
 * each pool decides, and releases those that nobody needs any longer.
 */
import {
  Clock,
  ROLLOUT_POLICIES,
  RolloutPolicy,
  RulesHolder,
  StepDescription,
} from '@sassafrasspan/core';
import type {EventLog} from '@sassafrasspan/runtime';
import type {StepName} from '@sassafrasspan/trainers';
import type {StepPool} from './step_pool';
import type {StepRunner} from './step_runner';

/** A whole step whose trainer pulls no more is released after this. */
const COMPLETE_STEP_TTL_MS = 60_000;
/** A step whose trainer is silent is released after this. */
const IDLE_STEP_TTL_MS = 1_800_000;
/** A step whose home is elsewhere is worked on this long after a pull. */
const UNOWNED_ACTIVE_MS = 5_000;
/** A step whose cursor is not known yet waits this long for a pull. */
const FIRST_PULL_WAIT_MS = 1_000;
const DEFAULT_IDLE_WEIGHT = 0.5;

/** A step that is open here. */
export interface OpenStep {
  readonly name: StepName;
  readonly description: StepDescription;
  readonly runner: StepRunner;
  /** Whether the object API has confirmed the description. */
  isStored: boolean;
  /** Whether the object API holds another description. */
  isInConflict: boolean;
  /** Whether the step may have been worked on elsewhere before. */
  readonly isNew: boolean;
  /** Whether a pull has shown what the trainer has. */
  hasCursor: boolean;
  /** Whether the trainer has been sent all that can be had. */
  isCompleteSent: boolean;
  readonly openedAtMs: number;
  lastUsedAtMs: number;
}

/** What a table of steps is built from. */
export interface StepTableOptions {
  readonly pool: StepPool;
  readonly rules: RulesHolder;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Tells whether this entry is the home of a step. */
  isOwner(name: StepName): boolean;
}

/** The open steps of an entry. */
export class StepTable {
  private readonly steps = new Map<string, OpenStep>();
  private readonly policy: RolloutPolicy = ROLLOUT_POLICIES.current;

  private constructor(private readonly options: StepTableOptions) {}

  /** Builds an empty table. */
  static create(options: StepTableOptions): StepTable {
    return new StepTable(options);
  }

  /** Adds a step. */
  addStep(step: OpenStep): void {
    this.steps.set(step.runner.getState().getName(), step);
  }

  /** Finds a step by the name of its trainer and step. */
  findStep(stepName: string): OpenStep | undefined {
    return this.steps.get(stepName);
  }

  /** Lists the open steps. */
  listSteps(): OpenStep[] {
    return [...this.steps.values()];
  }

  /** Ends the work of a step and forgets it. */
  releaseStep(step: OpenStep): void {
    const stepName = step.runner.getState().getName();
    if (this.steps.get(stepName) !== step) return;
    this.steps.delete(stepName);
    step.runner.release();
    this.options.log.writeEvent('step-complete', {step: stepName});
  }

  /** Takes in a published version. */
  observeVersion(service: string, version: number): void {
    this.options.pool.observeVersion(service, version);
    for (const {runner} of this.steps.values()) {
      const state = runner.getState();
      if (state.options.service === service) state.observeVersion(version);
    }
  }

  /** Starts the work that the policy chooses, in every pool. */
  advance(): void {
    const active = this.listSteps().filter(step => this.isActive(step));
    const services = active.map(step => readService(step));
    for (const service of new Set(services)) {
      this.advancePool(
        service,
        active.filter(step => readService(step) === service),
      );
    }
  }

  private isActive(step: OpenStep): boolean {
    if (!step.runner.canStart() || step.isInConflict) return false;
    const nowMs = this.options.clock.readMonotonicMs();
    if (!step.hasCursor && !step.isNew) {
      if (nowMs - step.openedAtMs < FIRST_PULL_WAIT_MS) return false;
    }
    const isVisited = nowMs - step.lastUsedAtMs < UNOWNED_ACTIVE_MS;
    return isVisited || this.options.isOwner(step.name);
  }

  private advancePool(service: string, steps: readonly OpenStep[]): void {
    const {pool, clock} = this.options;
    const newest = pool.findNewestVersion(service);
    const states = steps.map(step => step.runner.getState());
    for (const state of states) state.observeVersion(newest);
    const own = states.reduce((sum, state) => sum + state.countInFlight(), 0);
    const supply = pool.describeSupply(service, own);
    if (supply.freeSlots === 0) return;
    const nowMs = clock.readMonotonicMs();
    const demands = steps.map(step =>
      step.runner
        .getState()
        .describeDemand(this.readIdleWeight(step.name.trainer), nowMs),
    );
    const view = {nowMs, pool: supply, steps: demands};
    for (const start of this.policy.planStarts(view)) {
      this.steps.get(start.stepName)?.runner.startSlot(start);
    }
  }

  private readIdleWeight(trainer: string): number {
    const rule = this.options.rules.getRuleSet()?.findTrainer(trainer);
    return rule?.idleWeight ?? DEFAULT_IDLE_WEIGHT;
  }

  /** Settles every step and releases those whose trainer is gone. */
  releaseExpired(): void {
    const nowMs = this.options.clock.readMonotonicMs();
    for (const step of this.listSteps()) {
      step.runner.reconcile();
      const keepMs = step.isCompleteSent
        ? COMPLETE_STEP_TTL_MS
        : IDLE_STEP_TTL_MS;
      if (nowMs - step.lastUsedAtMs > keepMs) this.releaseStep(step);
    }
  }

  /** Starts no more work. */
  stop(): void {
    for (const {runner} of this.steps.values()) runner.stop();
  }
}

function readService(step: OpenStep): string {
  return step.runner.getState().options.service;
}
