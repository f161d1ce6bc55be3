/** Conversions between frames of the protocol and answers in the core. */
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

/** Writes the work of a request. */
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

/** Reads the work of a request; undefined when it has none. */
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

/** Who says that a run was accepted, and when. */
export interface AgentTimestamp {
  readonly incarnation: string;
  readonly tick: number;
}

type FrameBody = NonNullable<RunFrame['frame']>;

/** Writes a frame of an answer. */
export function encodeFrame(
  identity: RunIdentity,
  frame: AnswerFrame,
  moment: AgentTimestamp,
): RunFrame {
  return {...identity, frame: encodeFrameBody(frame, moment)};
}

function encodeFrameBody(
  frame: AnswerFrame,
  moment: AgentTimestamp,
): FrameBody {
  switch (frame.type) {
    case 'accepted':
      return {$case: 'accepted', value: {...moment}};
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

/** Writes a failure. */
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

/** Writes a refusal. */
export function encodeRefusal(
  identity: RunIdentity,
  error: ServiceError,
): RunFrame {
  const {retryAfterMs} = getErrorAnswer(error);
  const value = {kind: error.kind, detail: error.detail, retryAfterMs};
  return {...identity, frame: {$case: 'refused', value}};
}

/** Reads a refusal: the work has not run. */
export function decodeRefusal(refused: Refused): ServiceError {
  const {retryAfterMs} = refused;
  return createError(readErrorKind(refused.kind), refused.detail, {
    outcome: 'not-run',
    retryAfterMs,
  });
}

/** Reads a failure. */
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

/** Reads a chunk. */
export function decodeChunk(chunk: Chunk): AnswerChunk {
  return chunk;
}

/** Reads a head. */
export function decodeHead(head: Head): AnswerHead {
  return head;
}

/** Reads an end. */
export function decodeEnd(end: End): AnswerEnd {
  return end;
}

/** Wire state of each status of a run. */
const RUN_STATES: Readonly<Record<RunStatus, RunState>> = {
  'not-run': RunState.RUN_STATE_NOT_RUN,
  running: RunState.RUN_STATE_RUNNING,
  finished: RunState.RUN_STATE_FINISHED,
  unknown: RunState.RUN_STATE_UNKNOWN,
};

/** Writes the status of a run. */
export function encodeRunStatus(status: RunStatus): RunState {
  return RUN_STATES[status];
}
