/** Streams the answer of a run to an entry, with periodic keep-alive frames. */
import {
  Clock,
  RunRecord,
  Scheduler,
  ServiceError,
  repeatTask,
} from '@sassafrasspan/core';
import {
  ALIVE_INTERVAL_MS,
  MessageWriter,
  RunFrame,
  RunIdentity,
  encodeFailure,
  encodeFrame,
} from '@sassafrasspan/nodes';

export interface AnswerStreamOptions {
  readonly record: RunRecord;
  /** Attempt number by which the entry identifies the run. */
  readonly attempt: number;
  /** Number of bytes of the answer that the entry already has. */
  readonly fromOffset: number;
  readonly writer: MessageWriter<RunFrame>;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
}

/** Sends the buffered part of an answer from `fromOffset`, then each new part. */
export function streamAnswer(options: AnswerStreamOptions): void {
  const {record, attempt, writer, incarnation, clock, scheduler} = options;
  const identity = {requestId: record.dispatch.requestId, attempt};
  const sendKeepAlive = () => {
    const started = record.state !== 'queued';
    const value = {tick: clock.readMonotonicMs(), started};
    writer.send({...identity, frame: {$case: 'alive', value}});
  };
  const stopKeepAlive = repeatTask(scheduler, ALIVE_INTERVAL_MS, sendKeepAlive);
  const unsubscribe = record.answer.subscribe(options.fromOffset, frame => {
    const tick = clock.readMonotonicMs();
    writer.send(encodeFrame(identity, frame, {incarnation, tick}));
    if (frame.type === 'end' || frame.type === 'failed') writer.end();
  });
  writer.addCloseListener(() => {
    stopKeepAlive();
    unsubscribe();
  });
}

/** Sends a failure and ends the stream. */
export function sendFailure(
  identity: RunIdentity,
  error: ServiceError,
  writer: MessageWriter<RunFrame>,
): void {
  const {requestId, attempt} = identity;
  const value = encodeFailure(error);
  writer.send({requestId, attempt, frame: {$case: 'failed', value}});
  writer.end();
}
