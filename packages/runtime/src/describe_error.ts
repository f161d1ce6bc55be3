/** The message of an error of unknown type. */

/** Returns the message of anything thrown. */
export function describeError(error: unknown): string {
  const hasMessage =
    typeof error === 'object' && error !== null && 'message' in error;
  return String(hasMessage ? error.message : error);
}
