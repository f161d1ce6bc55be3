/** Refusals of work by the condition that an endpoint is in. */
import {
  EndpointCondition,
  ErrorKind,
  ServiceError,
  createError,
} from '@sassafrasspan/core';

/** Refusal for each condition in which an endpoint takes no work. */
const REFUSALS: Record<Exclude<EndpointCondition, 'serving'>, ErrorKind> = {
  down: 'endpoint-refused',
  leaving: 'draining',
  swapping: 'overloaded',
  'unknown-version': 'version-unknown',
};

/** Returns the refusal of a condition; undefined when it takes work. */
export function createConditionRefusal(
  condition: EndpointCondition,
): ServiceError | undefined {
  if (condition === 'serving') return undefined;
  return createError(REFUSALS[condition], `the endpoint is ${condition}`);
}
