/** Streams the answer of a run to an entry, with signs of life between. */
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

/** One stream of an answer. */
export interface AnswerStreamOptions {
  readonly record: RunRecord;
  /** Attempt that the entry calls the run by. */
  readonly attempt: number;
  /** Bytes of the answer that the entry has. */
  readonly fromOffset: number;
  readonly writer: MessageWriter<RunFrame>;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
}

/** Sends what is kept of an answer and then what follows. */
export function streamAnswer(options: AnswerStreamOptions): void {
  const {record, attempt, writer, incarnation, clock, scheduler} = options;
  const identity = {requestId: record.dispatch.requestId, attempt};
  const sendAlive = () => {
    const started = record.state !== 'queued';
    const value = {tick: clock.readMonotonicMs(), started};
    writer.send({...identity, frame: {$case: 'alive', value}});
  };
  const stopAlive = repeatTask(scheduler, ALIVE_INTERVAL_MS, sendAlive);
  const unsubscribe = record.answer.subscribe(options.fromOffset, frame => {
    const tick = clock.readMonotonicMs();
    writer.send(encodeFrame(identity, frame, {incarnation, tick}));
    if (frame.type === 'end' || frame.type === 'failed') writer.end();
  });
  writer.addCloseListener(() => {
    stopAlive();
    unsubscribe();
  });
}

/** Ends a stream with a failure. */
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
