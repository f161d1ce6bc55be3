/** Calls about steps between entries, in their wire form. */
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

/** Schema of a published version, as entries tell each other. */
const VERSION_NOTICE_SCHEMA = z.strictObject({
  service: z.string(),
  version: z.number().int().nonnegative(),
});

/** A published version, as entries tell each other. */
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

/** Sends the description of a step to its home. */
export function forwardPut(
  home: EntryPeer,
  name: StepName,
  description: StepDescription,
): Promise<Result<StepSummary, ServiceError>> {
  const bodyJson = JSON.stringify(description);
  const call = {...EMPTY_CALL, ...name, operation: 'put', bodyJson};
  return sendCall(home, call, SUMMARY_SCHEMA);
}

/** Sends a pull to the home of its step. */
export function forwardPull(
  home: EntryPeer,
  name: StepName,
  pull: SamplePull,
): Promise<Result<PullReply, ServiceError>> {
  const call = {...EMPTY_CALL, ...name, ...pull, operation: 'pull'};
  return sendCall(home, call, PULL_REPLY_SCHEMA);
}

/** Asks an entry for the description of a step that it has open. */
export function fetchDescription(
  peer: EntryPeer,
  name: StepName,
): Promise<Result<StepDescription, ServiceError>> {
  const call = {...EMPTY_CALL, ...name, operation: 'get'};
  return sendCall(peer, call, STEP_DESCRIPTION_SCHEMA);
}

/** Lets an entry remember a description that could not be saved. */
export async function notifyUnsaved(
  peer: EntryPeer,
  name: StepName,
  description: StepDescription,
): Promise<void> {
  const bodyJson = JSON.stringify(description);
  await peer.forwardStep({...EMPTY_CALL, ...name, operation: 'keep', bodyJson});
}

/** Tells an entry of a published version. */
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
  return reply.andThen(found => {
    if (found.kind === '') return parseBody(schema, found.bodyJson);
    const {retryAfterMs} = found;
    const kind = readErrorKind(found.kind);
    return err(createError(kind, found.detail, {retryAfterMs}));
  });
}

/** Reads the description that a call carries. */
export function parseDescription(
  call: StepCall,
): Result<StepDescription, ServiceError> {
  return parseBody(STEP_DESCRIPTION_SCHEMA, call.bodyJson);
}

/** Reads the published version that a call carries. */
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
    return err(createError('bad-request', `body of a peer: ${String(error)}`));
  }
}

/** Writes the reply to a call. */
export function encodeReply<T>(result: Result<T, ServiceError>): StepReply {
  if (result.isOk()) {
    const bodyJson = JSON.stringify(result.value);
    return {status: HTTP_OK, bodyJson, kind: '', detail: '', retryAfterMs: 0};
  }
  const {kind, detail} = result.error;
  const {status, retryAfterMs} = getErrorAnswer(result.error);
  return {status, bodyJson: '', kind, detail, retryAfterMs};
}
