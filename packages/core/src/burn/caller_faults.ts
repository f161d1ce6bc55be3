/** Failures caused by the caller, which don't count against a promise. */
import type {ErrorKind} from '../errors/error_kinds';

const CALLER_FAULT_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'bad-request',
  'cancelled',
  'unauthenticated',
  'forbidden',
  'not-found',
  'slow-sender',
  'conflict',
  'in-progress',
  'key-forgotten',
  'body-too-large',
  'headers-too-large',
  'quarantined',
  'crash-suspect',
  'limit-exceeded',
]);

/** Returns whether a failure was caused by the caller. */
export function isCallerFault(kind: ErrorKind | undefined): boolean {
  return kind !== undefined && CALLER_FAULT_KINDS.has(kind);
}
