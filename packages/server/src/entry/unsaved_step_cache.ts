/**
 * Descriptions of steps whose home could not save them. Entries remember them
 * for each other, so that a step outlives its home while the platform is down.
 */
import {Clock, StepDescription, formatStepName} from '@sassafrasspan/core';
import type {StepName} from '@sassafrasspan/trainers';

const CACHE_TTL_MS = 3_600_000;

/** A remembered description. */
interface CachedStep {
  readonly customer: string;
  readonly description: StepDescription;
  readonly storedAtMs: number;
}

/** Remembers descriptions for a while. */
export class UnsavedStepCache {
  private readonly steps = new Map<string, CachedStep>();

  private constructor(private readonly clock: Clock) {}

  /** Builds an empty memory. */
  static create(clock: Clock): UnsavedStepCache {
    return new UnsavedStepCache(clock);
  }

  /** Remembers a description; the first one of a step stays. */
  storeStep(name: StepName, description: StepDescription): void {
    this.removeExpired();
    const key = formatStepName(name.trainer, name.step);
    if (this.steps.has(key)) return;
    const storedAtMs = this.clock.readMonotonicMs();
    const {customer} = name;
    this.steps.set(key, {customer, description, storedAtMs});
  }

  /** Finds the description of a customer's step. */
  findStep(name: StepName): StepDescription | undefined {
    const found = this.steps.get(formatStepName(name.trainer, name.step));
    return found?.customer === name.customer ? found.description : undefined;
  }

  private removeExpired(): void {
    const nowMs = this.clock.readMonotonicMs();
    for (const [key, {storedAtMs}] of this.steps) {
      if (nowMs - storedAtMs > CACHE_TTL_MS) this.steps.delete(key);
    }
  }
}
