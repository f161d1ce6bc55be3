/** Statuses of final HTTP responses (RFC 9110, section 15). */

const MIN_STATUS = 200;
const MAX_STATUS = 599;

/** Returns whether a status makes a response final; any other one is no answer. */
export function isValidStatus(status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS;
}
