/** Opens the state of a step under the rules in force. */
import {
  RulesHolder,
  ServiceError,
  StepDescription,
  StepState,
  createError,
} from '@sassafrasspan/core';
import type {StepName} from '@sassafrasspan/trainers';
import {Result, err, ok} from 'neverthrow';

/** Builds the state of a step, if its trainer may have one. */
export function createStepState(
  rules: RulesHolder,
  name: StepName,
  description: StepDescription,
): Result<StepState, ServiceError> {
  const book = rules.getRuleSet();
  if (book === undefined) {
    return err(createError('not-ready', 'the entry has no rules yet'));
  }
  const trainer = book.findTrainer(name.trainer);
  if (trainer === undefined) {
    return err(createError('not-found', `no trainer ${name.trainer}`));
  }
  if (trainer.customer !== name.customer) {
    return err(createError('forbidden', `${name.trainer} is not yours`));
  }
  return ok(
    StepState.create({
      ...name,
      service: trainer.service,
      description,
      stalenessBound: description.stalenessBound,
      readRuleStalenessBound: () =>
        rules.getRuleSet()?.getStalenessBound(name.trainer),
    }),
  );
}
