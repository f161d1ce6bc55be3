/** Failures that the caller brought about; they break no promise. */
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

/** Tells whether a failure is its caller's, not the system's. */
export function isCallerFault(kind: ErrorKind | undefined): boolean {
  return kind !== undefined && CALLER_FAULT_KINDS.has(kind);
}
