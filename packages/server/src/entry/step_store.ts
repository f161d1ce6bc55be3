/** Stores descriptions of steps in the platform's object API. */
import {
  STEP_DESCRIPTION_SCHEMA,
  ServiceError,
  StepDescription,
  createError,
  formatStepKey,
} from '@sassafrasspan/core';
import type {ObjectStore} from '@sassafrasspan/platform';
import type {StepName} from '@sassafrasspan/trainers';
import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';

/** Schema of a step as stored in the object API. */
const STORED_STEP_SCHEMA = z.strictObject({
  customer: z.string(),
  description: STEP_DESCRIPTION_SCHEMA,
});

/** A step as stored in the object API. */
export type StoredStep = z.infer<typeof STORED_STEP_SCHEMA>;

/**
 * Result of saving a description: `created` now, `known` because the same one
 * was already stored, or `unsaved` because the object API did not answer.
 */
export type SaveResult = 'created' | 'known' | 'unsaved';

export class StepStore {
  private constructor(private readonly objects: ObjectStore) {}

  static create(objects: ObjectStore): StepStore {
    return new StepStore(objects);
  }

  /**
   * Stores a description if the object API answers. Fails with `conflict` if
   * another description is already stored.
   */
  async saveStep(
    name: StepName,
    description: StepDescription,
  ): Promise<Result<SaveResult, ServiceError>> {
    const key = formatStepKey(name.trainer, name.step);
    const value: StoredStep = {customer: name.customer, description};
    const written = await this.objects.writeObject(key, value, 0);
    if (written.isOk()) return ok('created');
    if (written.error.kind !== 'conflict') return ok('unsaved');
    const stored = await this.findStep(name);
    if (stored.isErr()) return ok('unsaved');
    const isSame = JSON.stringify(stored.value) === JSON.stringify(value);
    if (isSame) return ok('known');
    return err(createError('conflict', 'the step has another description'));
  }

  /** Reads a description; fails with `not-found` if there is no valid one. */
  async findStep(name: StepName): Promise<Result<StoredStep, ServiceError>> {
    const key = formatStepKey(name.trainer, name.step);
    const object = await this.objects.readObject(key);
    if (object.isErr()) return err(object.error);
    const parsed = STORED_STEP_SCHEMA.safeParse(object.value.value);
    if (parsed.success) return ok(parsed.data);
    return err(createError('not-found', `there is no step ${name.step}`));
  }
}
