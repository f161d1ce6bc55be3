/**
 * Request ids of a step's runs. They contain the step, a digest of its
 * description and the slot, so that a new owner of the step can find the
 * answers that agents have stored.
 */
import {computeDigest} from './digest';
import {StepDescription, formatStepName} from './step_schemas';

/** A step and the exact description that it was opened with. */
export interface StepIdentity {
  readonly trainer: string;
  readonly step: string;
  readonly description: StepDescription;
}

/** Returns the identity key that cursors and run ids are derived from. */
export function formatStepIdentity(identity: StepIdentity): string {
  const name = formatStepName(identity.trainer, identity.step);
  return `${name}/${computeDigest(JSON.stringify(identity.description))}`;
}

/**
 * Returns the common prefix of the run ids of all steps of this name, whatever
 * their description.
 */
export function formatRunIdPrefix(identityKey: string): string {
  const [trainer, step] = splitIdentityKey(identityKey);
  return `step/${trainer}/${step}/`;
}

/**
 * Returns the request id of a copy. Copy ids are unique only within an owner;
 * the owner's id makes the request id unique.
 */
export function formatRunId(
  identityKey: string,
  slot: number,
  ownerId: string,
  copyId: number,
): string {
  const [, , digest] = splitIdentityKey(identityKey);
  return `${formatRunIdPrefix(identityKey)}${slot}/${digest}/${ownerId}/${copyId}`;
}

/**
 * Returns the slot of a run; undefined if the run belongs to another step or to
 * another description of the step.
 */
export function parseRunSlot(
  identityKey: string,
  requestId: string,
): number | undefined {
  const prefix = formatRunIdPrefix(identityKey);
  if (!requestId.startsWith(prefix)) return undefined;
  const [slot, digest] = requestId.slice(prefix.length).split('/');
  const hasSameDigest = digest === splitIdentityKey(identityKey)[2];
  return hasSameDigest && /^\d+$/.test(slot) ? Number(slot) : undefined;
}

/** Returns trainer, step and digest; the step's name may contain slashes. */
function splitIdentityKey(identityKey: string): [string, string, string] {
  const parts = identityKey.split('/');
  return [parts[0], parts.slice(1, -1).join('/'), parts[parts.length - 1]];
}
