/**
 * Request ids of a step's runs. They name the step, its description and the
 * slot, so that a new home of the step finds the answers that agents keep.
 */
import {computeDigest} from './digest';
import {StepDescription, formatStepName} from './step_schemas';

/** Names a step with the exact description that it was opened with. */
export interface StepIdentity {
  readonly trainer: string;
  readonly step: string;
  readonly description: StepDescription;
}

/** Returns the key of a step and its description, for cursors and run ids. */
export function formatStepIdentity(identity: StepIdentity): string {
  const name = formatStepName(identity.trainer, identity.step);
  return `${name}/${computeDigest(JSON.stringify(identity.description))}`;
}

/** Returns what the request ids of the runs of a step's name begin with. */
export function formatRunIdPrefix(identityKey: string): string {
  const [trainer, step] = splitIdentityKey(identityKey);
  return `step/${trainer}/${step}/`;
}

/**
 * Returns the request id of a copy. The home's name for itself keeps the ids
 * of two homes apart.
 */
export function formatRunId(
  identityKey: string,
  slot: number,
  home: string,
  copyId: number,
): string {
  const [, , digest] = splitIdentityKey(identityKey);
  return `${formatRunIdPrefix(identityKey)}${slot}/${digest}/${home}/${copyId}`;
}

/** Reads the slot of a run; undefined when it belongs to another step. */
export function parseRunSlot(
  identityKey: string,
  requestId: string,
): number | undefined {
  const prefix = formatRunIdPrefix(identityKey);
  if (!requestId.startsWith(prefix)) return undefined;
  const [slot, digest] = requestId.slice(prefix.length).split('/');
  const isSame = digest === splitIdentityKey(identityKey)[2];
  return isSame && /^\d+$/.test(slot) ? Number(slot) : undefined;
}

/** Returns trainer, step and digest; the step's name may hold slashes. */
function splitIdentityKey(identityKey: string): [string, string, string] {
  const parts = identityKey.split('/');
  return [parts[0], parts.slice(1, -1).join('/'), parts[parts.length - 1]];
}
