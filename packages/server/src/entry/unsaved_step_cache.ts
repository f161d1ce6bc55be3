/**
 * Descriptions of steps whose owner could not store them in the object API.
 * Entries cache them for each other, so that a step survives the failure of its
 * owner while the platform is down.
 */
import {Clock, StepDescription, formatStepName} from '@sassafrasspan/core';
import type {StepName} from '@sassafrasspan/trainers';

const CACHE_TTL_MS = 3_600_000;

interface CachedStep {
  readonly customer: string;
  readonly description: StepDescription;
  readonly storedAtMs: number;
}

/** Caches descriptions of unsaved steps for `CACHE_TTL_MS`. */
export class UnsavedStepCache {
  private readonly steps = new Map<string, CachedStep>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): UnsavedStepCache {
    return new UnsavedStepCache(clock);
  }

  /** Stores a description, unless the step already has one. */
  storeStep(name: StepName, description: StepDescription): void {
    this.removeExpired();
    const key = formatStepName(name.trainer, name.step);
    if (this.steps.has(key)) return;
    const storedAtMs = this.clock.readMonotonicMs();
    const {customer} = name;
    this.steps.set(key, {customer, description, storedAtMs});
  }

  /** Returns the description, if the step belongs to the customer. */
  findStep(name: StepName): StepDescription | undefined {
    const cached = this.steps.get(formatStepName(name.trainer, name.step));
    return cached?.customer === name.customer ? cached.description : undefined;
  }

  private removeExpired(): void {
    const nowMs = this.clock.readMonotonicMs();
    for (const [key, {storedAtMs}] of this.steps) {
      if (nowMs - storedAtMs > CACHE_TTL_MS) this.steps.delete(key);
    }
  }
}
