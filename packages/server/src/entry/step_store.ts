/** Descriptions of steps in the platform's object API. */
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

/** Schema of a step as the object API keeps it. */
const STORED_STEP_SCHEMA = z.strictObject({
  customer: z.string(),
  description: STEP_DESCRIPTION_SCHEMA,
});

/** A step as the object API keeps it. */
export type StoredStep = z.infer<typeof STORED_STEP_SCHEMA>;

/** How a description came to stand in the object API. */
export type SaveResult = 'created' | 'known' | 'unsaved';

/** Keeps and finds descriptions. */
export class StepStore {
  private constructor(private readonly objects: ObjectStore) {}

  /** Builds a store on the object API. */
  static create(objects: ObjectStore): StepStore {
    return new StepStore(objects);
  }

  /**
   * Keeps a description if the object API answers; `conflict` when another
   * one stands there.
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
    const found = await this.findStep(name);
    if (found.isErr()) return ok('unsaved');
    const isSame = JSON.stringify(found.value) === JSON.stringify(value);
    if (isSame) return ok('known');
    return err(createError('conflict', 'the step has another description'));
  }

  /** Finds a description; `not-found` when there is none. */
  async findStep(name: StepName): Promise<Result<StoredStep, ServiceError>> {
    const key = formatStepKey(name.trainer, name.step);
    const found = await this.objects.readObject(key);
    if (found.isErr()) return err(found.error);
    const stored = STORED_STEP_SCHEMA.safeParse(found.value.value);
    if (stored.success) return ok(stored.data);
    return err(createError('not-found', `no step ${name.step}`));
  }
}
