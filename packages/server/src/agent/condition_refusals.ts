/** Errors with which an agent refuses work, by endpoint condition. */
import {
  EndpointCondition,
  ErrorKind,
  ServiceError,
  createError,
} from '@sassafrasspan/core';

const REFUSALS: Record<Exclude<EndpointCondition, 'serving'>, ErrorKind> = {
  down: 'endpoint-refused',
  leaving: 'draining',
  swapping: 'overloaded',
  'unknown-version': 'version-unknown',
};

/** Returns undefined if an endpoint in the condition accepts work. */
export function createConditionRefusal(
  condition: EndpointCondition,
): ServiceError | undefined {
  if (condition === 'serving') return undefined;
  return createError(REFUSALS[condition], `the endpoint is ${condition}`);
}
