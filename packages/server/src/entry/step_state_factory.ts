/** Creates the state of a rollout step under the current rules. */
import {
  RulesHolder,
  ServiceError,
  StepDescription,
  StepState,
  createError,
} from '@sassafrasspan/core';
import type {StepName} from '@sassafrasspan/trainers';
import {Result, err, ok} from 'neverthrow';

/**
 * Creates the state of a step. Fails without rules, for an unknown trainer, and
 * for a trainer of another customer.
 */
export function createStepState(
  rules: RulesHolder,
  name: StepName,
  description: StepDescription,
): Result<StepState, ServiceError> {
  const ruleSet = rules.getRuleSet();
  if (ruleSet === undefined) {
    return err(createError('not-ready', 'the entry has no rules yet'));
  }
  const trainer = ruleSet.findTrainer(name.trainer);
  if (trainer === undefined) {
    return err(createError('not-found', `there is no trainer ${name.trainer}`));
  }
  if (trainer.customer !== name.customer) {
    return err(
      createError(
        'forbidden',
        `trainer ${name.trainer} belongs to another customer`,
      ),
    );
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
