/** Conversions between gRPC messages and the core's answers and errors. */
import {
  AnswerChunk,
  AnswerEnd,
  AnswerFrame,
  AnswerHead,
  Outcome,
  RunStatus,
  ServiceError,
  Work,
  createError,
  getErrorAnswer,
  readErrorKind,
} from '@sassafrasspan/core';
import {
  Chunk,
  End,
  Failed,
  Head,
  Refused,
  RunFrame,
  RunRequest,
  RunState,
} from './generated/nodes';

/** Encodes the work of a request. */
export function encodeWork(work: Work): RunRequest['work'] {
  if (work.type === 'completion') {
    return {$case: 'completion', value: {bodyJson: work.bodyJson}};
  }
  return {
    $case: 'http',
    value: {
      method: work.method,
      path: work.path,
      headers: [...work.headers],
      body: Buffer.from(work.body),
    },
  };
}

/** Decodes the work of a request; undefined if there is none. */
export function decodeWork(work: RunRequest['work']): Work | undefined {
  if (work?.$case === 'completion') {
    return {type: 'completion', bodyJson: work.value.bodyJson};
  }
  if (work?.$case === 'http') return {type: 'http', ...work.value};
  return undefined;
}

/** Identity of the run that a frame belongs to. */
export interface RunIdentity {
  readonly requestId: string;
  readonly attempt: number;
}

/** The agent's incarnation and its clock at the time of acceptance. */
export interface AgentTimestamp {
  readonly incarnation: string;
  /** Monotonic time of the agent in ms. */
  readonly tick: number;
}

type FrameBody = NonNullable<RunFrame['frame']>;

/** Encodes a frame of an answer; only `accepted` frames use the timestamp. */
export function encodeFrame(
  identity: RunIdentity,
  frame: AnswerFrame,
  timestamp: AgentTimestamp,
): RunFrame {
  return {...identity, frame: encodeFrameBody(frame, timestamp)};
}

function encodeFrameBody(
  frame: AnswerFrame,
  timestamp: AgentTimestamp,
): FrameBody {
  switch (frame.type) {
    case 'accepted':
      return {$case: 'accepted', value: {...timestamp}};
    case 'head':
      return {
        $case: 'head',
        value: {status: frame.head.status, headers: [...frame.head.headers]},
      };
    case 'chunk':
      return {
        $case: 'chunk',
        value: {...frame.chunk, data: Buffer.from(frame.chunk.data)},
      };
    case 'end':
      return {
        $case: 'end',
        value: {...frame.end, segments: [...frame.end.segments]},
      };
    case 'failed':
      return {$case: 'failed', value: encodeFailure(frame.error)};
  }
}

/** Encodes a failed run. */
export function encodeFailure(error: ServiceError): Failed {
  const answer = getErrorAnswer(error);
  return {
    kind: error.kind,
    detail: error.detail,
    outcome: answer.outcome,
    retryAfterMs: answer.retryAfterMs,
    crashId: error.crashId ?? '',
  };
}

/** Encodes a refusal, which means that the work has not run. */
export function encodeRefusal(
  identity: RunIdentity,
  error: ServiceError,
): RunFrame {
  const {retryAfterMs} = getErrorAnswer(error);
  const value = {kind: error.kind, detail: error.detail, retryAfterMs};
  return {...identity, frame: {$case: 'refused', value}};
}

/** Decodes a refusal; its outcome is always `not-run`. */
export function decodeRefusal(refused: Refused): ServiceError {
  const {retryAfterMs} = refused;
  return createError(readErrorKind(refused.kind), refused.detail, {
    outcome: 'not-run',
    retryAfterMs,
  });
}

/** Decodes a failed run; an unknown outcome text becomes `unknown`. */
export function decodeFailure(failed: Failed): ServiceError {
  const {retryAfterMs} = failed;
  const crashId = failed.crashId === '' ? undefined : failed.crashId;
  return createError(readErrorKind(failed.kind), failed.detail, {
    outcome: readOutcome(failed.outcome),
    retryAfterMs,
    crashId,
  });
}

function readOutcome(text: string): Outcome {
  return text === 'not-run' || text === 'ran' ? text : 'unknown';
}

/** Decodes a chunk, whose fields are those of the core type. */
export function decodeChunk(chunk: Chunk): AnswerChunk {
  return chunk;
}

/** Decodes a head, whose fields are those of the core type. */
export function decodeHead(head: Head): AnswerHead {
  return head;
}

/** Decodes an end, whose fields are those of the core type. */
export function decodeEnd(end: End): AnswerEnd {
  return end;
}

/** Wire values of the run statuses. */
const RUN_STATES: Readonly<Record<RunStatus, RunState>> = {
  'not-run': RunState.RUN_STATE_NOT_RUN,
  running: RunState.RUN_STATE_RUNNING,
  finished: RunState.RUN_STATE_FINISHED,
  unknown: RunState.RUN_STATE_UNKNOWN,
};

export function encodeRunStatus(status: RunStatus): RunState {
  return RUN_STATES[status];
}
