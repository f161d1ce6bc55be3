/**
 * The steps that are open at an entry. Starts their work as the rollout policy
 * decides for each pool, and releases steps that their trainers stopped using.
 */
import {
  Clock,
  ROLLOUT_POLICIES,
  RolloutPolicy,
  RulesHolder,
  ServiceError,
  StepDescription,
  createError,
} from '@sassafrasspan/core';
import type {EventLog} from '@sassafrasspan/runtime';
import type {StepName, StepSummary} from '@sassafrasspan/trainers';
import {Result, err, ok} from 'neverthrow';
import type {StepPool} from './step_pool';
import type {StepRunner} from './step_runner';

/** Time without a pull after which a completely sent step is released. */
const COMPLETE_STEP_TTL_MS = 60_000;
/** Time without a call of the trainer after which any step is released. */
const IDLE_STEP_TTL_MS = 1_800_000;
/** Time after a call during which a step of another owner is worked on. */
const UNOWNED_ACTIVE_MS = 5_000;
/** Wait for a first pull, whose cursor shows which samples are missing. */
const FIRST_PULL_WAIT_MS = 1_000;
const DEFAULT_IDLE_WEIGHT = 0.5;

/** A step that is open at this entry. */
export interface OpenStep {
  readonly name: StepName;
  readonly description: StepDescription;
  readonly runner: StepRunner;
  /** Whether the object API has stored the description. */
  isStored: boolean;
  /** Whether the object API has stored a different description. */
  isInConflict: boolean;
  /** Whether this entry created the step, so that no entry worked on it before. */
  readonly isNew: boolean;
  /** Whether a pull has reported which samples the trainer has received. */
  hasCursor: boolean;
  /** Whether a reply has reported to the trainer that the step is complete. */
  isCompleteSent: boolean;
  readonly openedAtMs: number;
  /** Monotonic time of the trainer's last put or pull here. */
  lastUsedAtMs: number;
}

export interface StepTableOptions {
  readonly pool: StepPool;
  readonly rules: RulesHolder;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Returns whether this entry owns a step. */
  isOwner(name: StepName): boolean;
}

export class StepTable {
  private readonly steps = new Map<string, OpenStep>();
  private readonly policy: RolloutPolicy = ROLLOUT_POLICIES.current;

  private constructor(private readonly options: StepTableOptions) {}

  static create(options: StepTableOptions): StepTable {
    return new StepTable(options);
  }

  addStep(step: OpenStep): void {
    this.steps.set(step.runner.getState().getName(), step);
  }

  /** Returns an open step by its name as `formatStepName` returns it. */
  findStep(stepName: string): OpenStep | undefined {
    return this.steps.get(stepName);
  }

  listSteps(): OpenStep[] {
    return [...this.steps.values()];
  }

  /** Removes a step, cancels its work and releases its retained answers. */
  releaseStep(step: OpenStep): void {
    const stepName = step.runner.getState().getName();
    if (this.steps.get(stepName) !== step) return;
    this.steps.delete(stepName);
    step.runner.release();
    this.options.log.writeEvent('step-complete', {step: stepName});
  }

  /** Records a published version for the pool and for the service's steps. */
  observeVersion(service: string, version: number): void {
    this.options.pool.observeVersion(service, version);
    for (const {runner} of this.steps.values()) {
      const state = runner.getState();
      if (state.options.service === service) state.observeVersion(version);
    }
  }

  /** Starts the work that the policy selects, pool by pool. */
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
    const ownCopies = states.reduce(
      (sum, state) => sum + state.countInFlight(),
      0,
    );
    const supply = pool.describeSupply(service, ownCopies);
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

  /** Reconciles every step and releases those that have not been used lately. */
  releaseExpired(): void {
    const nowMs = this.options.clock.readMonotonicMs();
    for (const step of this.listSteps()) {
      step.runner.reconcile();
      const ttlMs = step.isCompleteSent
        ? COMPLETE_STEP_TTL_MS
        : IDLE_STEP_TTL_MS;
      if (nowMs - step.lastUsedAtMs > ttlMs) this.releaseStep(step);
    }
  }

  /** Prevents new work in every step. */
  stop(): void {
    for (const {runner} of this.steps.values()) runner.stop();
  }
}

function readService(step: OpenStep): string {
  return step.runner.getState().options.service;
}

/** Fails if the step belongs to another customer than the caller. */
export function checkCustomer(
  step: OpenStep,
  name: StepName,
): Result<void, ServiceError> {
  if (step.name.customer === name.customer) return ok(undefined);
  return err(
    createError(
      'forbidden',
      `trainer ${name.trainer} belongs to another customer`,
    ),
  );
}

/** Describes the progress of a step for its trainer. */
export function createSummary(step: OpenStep): StepSummary {
  const state = step.runner.getState();
  return {
    trainer: step.name.trainer,
    step: step.name.step,
    total: state.countSlots(),
    ready: state.countReadySamples(),
    inFlight: state.countInFlight(),
  };
}
