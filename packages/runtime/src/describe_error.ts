/** Describes thrown values of unknown type. */

/** Returns the `message` of a thrown object, or the value as a string. */
export function describeError(error: unknown): string {
  const hasMessage =
    typeof error === 'object' && error !== null && 'message' in error;
  return String(hasMessage ? error.message : error);
}
