/** Errors with which an agent refuses work. */
import {EndpointCondition, ErrorKind, createError} from '@sassafrasspan/core';

/** Refusal for each condition in which an endpoint takes no work. */
export const REFUSALS: Record<
  Exclude<EndpointCondition, 'serving'>,
  ErrorKind
> = {
  down: 'endpoint-refused',
  leaving: 'draining',
  swapping: 'overloaded',
  'unknown-version': 'version-unknown',
};

const LATE = 'the deadline passed while the request waited';
/** Error of work whose deadline passed before it started. */
export const MISSED_DEADLINE = createError('deadline-unmeetable', LATE);
