/** Calls between entries about rollout steps, and their wire format. */
import {
  PULL_REPLY_SCHEMA,
  PullReply,
  STEP_DESCRIPTION_SCHEMA,
  ServiceError,
  StepDescription,
  createError,
  getErrorAnswer,
  readErrorKind,
} from '@sassafrasspan/core';
import type {EntryPeer, StepCall, StepReply} from '@sassafrasspan/nodes';
import type {SamplePull, StepName, StepSummary} from '@sassafrasspan/trainers';
import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';

const HTTP_OK = 200;

const SUMMARY_SCHEMA = z.strictObject({
  trainer: z.string(),
  step: z.string(),
  total: z.number(),
  ready: z.number(),
  inFlight: z.number(),
});

/** Schema of the notice about a published version. */
const VERSION_NOTICE_SCHEMA = z.strictObject({
  service: z.string(),
  version: z.number().int().nonnegative(),
});

/** Notice to the other entries about a published version. */
export type VersionNotice = z.infer<typeof VERSION_NOTICE_SCHEMA>;

const EMPTY_CALL: StepCall = {
  operation: '',
  trainer: '',
  step: '',
  customer: '',
  bodyJson: '',
  cursor: '',
  trainerVersion: 0,
  maxSamples: 0,
  waitMs: 0,
  hops: 1,
};

/** Forwards the description of a step to its owner. */
export function forwardPut(
  owner: EntryPeer,
  name: StepName,
  description: StepDescription,
): Promise<Result<StepSummary, ServiceError>> {
  const bodyJson = JSON.stringify(description);
  const call = {...EMPTY_CALL, ...name, operation: 'put', bodyJson};
  return sendCall(owner, call, SUMMARY_SCHEMA);
}

/** Forwards a pull to the owner of its step. */
export function forwardPull(
  owner: EntryPeer,
  name: StepName,
  pull: SamplePull,
): Promise<Result<PullReply, ServiceError>> {
  const call = {...EMPTY_CALL, ...name, ...pull, operation: 'pull'};
  return sendCall(owner, call, PULL_REPLY_SCHEMA);
}

/** Fetches a description from an entry that has the step open or cached. */
export function fetchDescription(
  peer: EntryPeer,
  name: StepName,
): Promise<Result<StepDescription, ServiceError>> {
  const call = {...EMPTY_CALL, ...name, operation: 'get'};
  return sendCall(peer, call, STEP_DESCRIPTION_SCHEMA);
}

/** Sends an entry a description that the object API could not store. */
export async function notifyUnsaved(
  peer: EntryPeer,
  name: StepName,
  description: StepDescription,
): Promise<void> {
  const bodyJson = JSON.stringify(description);
  await peer.forwardStep({...EMPTY_CALL, ...name, operation: 'keep', bodyJson});
}

/** Notifies an entry of a published version. */
export async function notifyVersion(
  peer: EntryPeer,
  notice: VersionNotice,
): Promise<void> {
  const bodyJson = JSON.stringify(notice);
  await peer.forwardStep({...EMPTY_CALL, operation: 'version', bodyJson});
}

async function sendCall<T>(
  peer: EntryPeer,
  call: StepCall,
  schema: z.ZodType<T>,
): Promise<Result<T, ServiceError>> {
  const reply = await peer.forwardStep(call);
  return reply.andThen(value => {
    if (value.kind === '') return parseBody(schema, value.bodyJson);
    const {retryAfterMs} = value;
    const kind = readErrorKind(value.kind);
    return err(createError(kind, value.detail, {retryAfterMs}));
  });
}

/** Parses the description in the body of a call. */
export function parseDescription(
  call: StepCall,
): Result<StepDescription, ServiceError> {
  return parseBody(STEP_DESCRIPTION_SCHEMA, call.bodyJson);
}

/** Parses the version notice in the body of a call. */
export function parseVersionNotice(
  call: StepCall,
): Result<VersionNotice, ServiceError> {
  return parseBody(VERSION_NOTICE_SCHEMA, call.bodyJson);
}

function parseBody<T>(
  schema: z.ZodType<T>,
  bodyJson: string,
): Result<T, ServiceError> {
  try {
    return ok(schema.parse(JSON.parse(bodyJson)));
  } catch (error) {
    return err(
      createError('bad-request', `invalid body from a peer: ${String(error)}`),
    );
  }
}

/** Encodes a result as the reply to a call; `kind` is empty on success. */
export function encodeReply<T>(result: Result<T, ServiceError>): StepReply {
  if (result.isOk()) {
    const bodyJson = JSON.stringify(result.value);
    return {status: HTTP_OK, bodyJson, kind: '', detail: '', retryAfterMs: 0};
  }
  const {kind, detail} = result.error;
  const {status, retryAfterMs} = getErrorAnswer(result.error);
  return {status, bodyJson: '', kind, detail, retryAfterMs};
}
