/**
 * Who may act towards the cloud. Nobody else checks that only one node acts, so
 * that the holder proves by a conditional write before each action that the duty
 * is still its own, and a new holder waits until the previous one's last proof
 * has run out.
 */
import * as z from 'zod/mini';

/** Time for which a write to a duty's object permits calls, in ms: some times the
 * usual time of a write and a call together. */
export const PERMIT_MS = 1_000;

/** Schema of a duty's object in the store. */
export const DUTY_SCHEMA = z.object({
  /** Name of the VM that holds the duty. */
  holder: z.string(),
  /** Execution of the holder's process. */
  incarnation: z.string(),
  /** Fencing token; grows with each change of the VM. */
  token: z.int(),
  /** Wall-clock time at which the holder gave up the duty. */
  releasedAt: z.optional(z.number()),
  /** Time that the holder has to wait before its first action, in ms. Absent
   * once it has acted, or if it has nothing to wait for. */
  waitMs: z.optional(z.number()),
  /** What the holder has decided so far; depends on the duty. */
  payload: z.optional(z.unknown()),
});

export type DutyRecord = z.infer<typeof DUTY_SCHEMA>;

/** A candidate for a duty. */
export interface DutyCandidate {
  readonly node: string;
  readonly incarnation: string;
  /** Minimum time between actions of two VMs, in ms. */
  readonly leaseMs: number;
}

export type DutyClaim =
  /** The candidate holds the duty already. */
  | {readonly type: 'held'; readonly waitMs: number}
  /** The candidate has to replace the record. */
  | {
      readonly type: 'claim';
      readonly record: DutyRecord;
      readonly waitMs: number;
    };

/**
 * Decides how a candidate gets a duty. The wait counts from the moment at which
 * the candidate knows that its claim is in the store.
 */
export function decideClaim(
  current: DutyRecord | undefined,
  candidate: DutyCandidate,
): DutyClaim {
  const {node, incarnation} = candidate;
  if (current === undefined) {
    const record = {holder: node, incarnation, token: 1};
    return {type: 'claim', record, waitMs: 0};
  }
  if (isHeldBy(current, candidate)) {
    return {type: 'held', waitMs: current.waitMs ?? 0};
  }
  const isSameVm = current.holder === node;
  const waitMs = computeWait(current, candidate);
  const record: DutyRecord = {
    holder: node,
    incarnation,
    // A call of an earlier process of this VM may still arrive. It has the same
    // token, so that no token is lower than one that the cloud has seen.
    token: isSameVm ? current.token : current.token + 1,
    ...(waitMs === 0 ? {} : {waitMs}),
    payload: current.payload,
  };
  return {type: 'claim', record, waitMs};
}

/** Returns whether a candidate holds the duty and has not released it. */
export function isHeldBy(
  record: DutyRecord,
  {node, incarnation}: Pick<DutyCandidate, 'node' | 'incarnation'>,
): boolean {
  return (
    record.holder === node &&
    record.incarnation === incarnation &&
    record.releasedAt === undefined
  );
}

function computeWait(
  current: DutyRecord,
  {node, leaseMs}: DutyCandidate,
): number {
  // The holder before the current one may have acted shortly before its claim.
  if (current.holder === node) return current.waitMs ?? 0;
  const hasWaited = current.waitMs === undefined;
  const isReleased = current.releasedAt !== undefined;
  return isReleased && hasWaited ? leaseMs : PERMIT_MS + leaseMs;
}

/** A holder that wants to act. */
export interface ActionRequest {
  readonly record: DutyRecord;
  readonly payload: unknown;
  readonly nowMs: number;
  /** When the wait after the claim ends, on the monotonic clock. */
  readonly readyAtMs: number;
}

export type DutyAction =
  | {readonly type: 'wait'; readonly leftMs: number}
  /** The record has to be written; the permit ends at `permitEndsAtMs`. */
  | {
      readonly type: 'write';
      readonly record: DutyRecord;
      readonly permitEndsAtMs: number;
    };

/** Decides what a holder writes before an action. */
export function decideAction(request: ActionRequest): DutyAction {
  const {record, payload, nowMs, readyAtMs} = request;
  if (nowMs < readyAtMs) return {type: 'wait', leftMs: readyAtMs - nowMs};
  const {holder, incarnation, token} = record;
  return {
    type: 'write',
    record: {holder, incarnation, token, payload},
    permitEndsAtMs: nowMs + PERMIT_MS,
  };
}
