/**
 * One attempt of a request at one agent. Dispatches the request, receives the
 * answer and resumes it over a new connection when the old one is lost. When
 * the answer cannot be resumed, it asks the agent whether the work ran.
 */
import type {Backpressure} from '@sassafrasspan/callers';
import {
  AnswerAssembler,
  AnswerChunk,
  AnswerEnd,
  AnswerHead,
  Outcome,
  Scheduler,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
import {
  AgentPeer,
  ResumeRequest,
  RunFrame,
  RunRequest,
  StreamHandle,
  StreamListener,
  WireRunState,
  decodeChunk,
  decodeEnd,
  decodeFailure,
  decodeHead,
  decodeRefusal,
} from '@sassafrasspan/nodes';

const MAX_RESUMES = 3;
const RESUME_DELAY_MS = 100;
/** Time for the agent's own report of a passed deadline to arrive. */
const DEADLINE_GRACE_MS = 500;

/** The complete answer of an attempt, or its error. */
export type AttemptEnd =
  | {readonly type: 'whole'; readonly end: AnswerEnd}
  | {
      readonly type: 'failed';
      readonly error: ServiceError;
      readonly outcome: Outcome;
    };

/** Receives the parts of an answer in order. */
export interface AttemptSink {
  /** Absent when the sink can always accept more. */
  readonly backpressure?: Backpressure;
  setHead(head: AnswerHead): void;
  appendChunk(chunk: AnswerChunk): void;
}

/** End of a stream of frames: with a result, or by loss of the connection. */
type StreamEnd =
  | {readonly type: 'ended'; readonly result: AttemptEnd}
  | {readonly type: 'lost'; readonly reason: string};

export interface RunAttemptOptions {
  readonly agent: AgentPeer;
  readonly request: RunRequest;
  /** Whether to leave a complete answer unacknowledged, so that the agent
   * retains it. */
  readonly retainsAnswer: boolean;
  readonly sink: AttemptSink;
  readonly scheduler: Scheduler;
  /** Called before the answer is resumed over a new connection. */
  onResume(reason: string): void;
}

/** Why an attempt was stopped before it ended. */
type StopReason = 'cancelled' | 'deadline';

export class RunAttempt {
  private readonly assembler = AnswerAssembler.create();
  private handle: StreamHandle | undefined;
  private stopReason: StopReason | undefined;
  /** Ends the current stream of frames as lost. */
  private endStream: (() => void) | undefined;
  private isAccepted = false;
  private hasHead = false;
  /** Resumptions since the last chunk with new data. */
  private resumes = 0;

  private constructor(private readonly options: RunAttemptOptions) {}

  static create(options: RunAttemptOptions): RunAttempt {
    return new RunAttempt(options);
  }

  /** Dispatches the request and receives its answer until the end. */
  async run(): Promise<AttemptEnd> {
    const {request, scheduler} = this.options;
    const limitMs = request.budgetMs + DEADLINE_GRACE_MS;
    const stopTimer = scheduler.schedule(limitMs, () => this.stop('deadline'));
    const attemptEnd = await this.receiveAnswer();
    stopTimer();
    return attemptEnd;
  }

  private async receiveAnswer(): Promise<AttemptEnd> {
    const {agent, request} = this.options;
    let streamEnd = await this.receiveFrames(listener =>
      agent.startRun(request, listener),
    );
    while (streamEnd.type === 'lost') {
      if (this.isResumeExhausted()) return this.revokeLostRun(streamEnd.reason);
      this.options.onResume(streamEnd.reason);
      await this.wait(RESUME_DELAY_MS * this.resumes);
      this.resumes += 1;
      if (this.stopReason !== undefined) {
        return this.revokeLostRun(streamEnd.reason);
      }
      streamEnd = await this.receiveFrames(listener =>
        agent.resumeRun(this.createResume(), listener),
      );
    }
    const isComplete = streamEnd.result.type === 'whole';
    if (!isComplete || !this.options.retainsAnswer) {
      this.acknowledge(!isComplete);
    }
    return streamEnd.result;
  }

  /** Returns whether the attempt was stopped or has no resumption left. */
  private isResumeExhausted(): boolean {
    if (this.stopReason !== undefined) return true;
    const limit = this.isAccepted ? MAX_RESUMES : 1;
    return this.resumes >= limit;
  }

  private createResume(): ResumeRequest {
    const {requestId, attempt, incarnation, entry} = this.options.request;
    const fromOffset = this.assembler.getOffset();
    return {requestId, attempt, incarnation, entry, fromOffset};
  }

  private wait(delayMs: number): Promise<void> {
    return new Promise(resolve => {
      this.options.scheduler.schedule(delayMs, resolve);
    });
  }

  /** Cancels the run at the agent and stops the attempt. */
  cancel(): void {
    this.acknowledge(true);
    this.stop('cancelled');
  }

  private stop(reason: StopReason): void {
    this.stopReason ??= reason;
    this.handle?.cancel();
    this.endStream?.();
  }

  private acknowledge(isCancel: boolean): void {
    const {agent, request} = this.options;
    const {requestId, attempt, entry} = request;
    agent.acknowledgeRun(requestId, isCancel, {attempt, entry});
  }

  private receiveFrames(
    start: (listener: StreamListener<RunFrame>) => StreamHandle,
  ): Promise<StreamEnd> {
    return new Promise(resolve => {
      let isOver = false;
      const endStream = (end: StreamEnd) => {
        isOver = true;
        this.handle?.cancel();
        resolve(end);
      };
      this.endStream = () =>
        endStream({type: 'lost', reason: 'the attempt was stopped'});
      this.handle = start({
        receiveMessage: frame => {
          if (isOver) return;
          const result = this.applyFrame(frame);
          if (result !== undefined) endStream(result);
        },
        handleLoss: reason => endStream({type: 'lost', reason}),
      });
    });
  }

  private applyFrame(message: RunFrame): StreamEnd | undefined {
    const {requestId, attempt} = this.options.request;
    const isOwn =
      message.requestId === requestId && message.attempt === attempt;
    if (!isOwn) return undefined;
    const {frame} = message;
    switch (frame?.$case) {
      case 'accepted':
        return this.applyAccepted(frame.value.incarnation);
      case 'refused':
        return this.applyRefusal(decodeRefusal(frame.value));
      case 'head':
        this.applyHead(decodeHead(frame.value));
        return undefined;
      case 'chunk':
        return this.applyChunk(decodeChunk(frame.value));
      case 'end':
        return this.applyEnd(decodeEnd(frame.value));
      case 'failed':
        return this.applyFailure(decodeFailure(frame.value));
      default:
        return undefined;
    }
  }

  private applyAccepted(incarnation: string): StreamEnd | undefined {
    if (incarnation !== this.options.request.incarnation) {
      return {type: 'lost', reason: 'the agent has restarted'};
    }
    this.isAccepted = true;
    return undefined;
  }

  /** A refusal means that nothing ran, unless the agent had accepted before. */
  private applyRefusal(error: ServiceError): StreamEnd {
    return createFailedEnd(error, this.isAccepted ? 'unknown' : 'not-run');
  }

  private applyFailure(error: ServiceError): StreamEnd {
    const isUnknownRun = error.kind === 'agent-lost';
    if (isUnknownRun && error.outcome === 'unknown') {
      this.resumes = MAX_RESUMES;
      return {type: 'lost', reason: error.detail};
    }
    return createFailedEnd(error, error.outcome ?? 'unknown');
  }

  private applyHead(head: AnswerHead): void {
    if (this.hasHead) return;
    this.hasHead = true;
    this.options.sink.setHead(head);
  }

  private applyChunk(chunk: AnswerChunk): StreamEnd | undefined {
    const newChunk = this.assembler.acceptChunk(chunk);
    if (newChunk.isErr()) return {type: 'lost', reason: newChunk.error.detail};
    if (newChunk.value !== undefined) {
      this.resumes = 0;
      this.options.sink.appendChunk(newChunk.value);
      this.pauseWhileFull();
    }
    return undefined;
  }

  /**
   * Pauses the stream from the agent while the caller's buffer is full, so that
   * unread data does not accumulate in this process.
   */
  private pauseWhileFull(): void {
    const {handle} = this;
    const {backpressure} = this.options.sink;
    if (handle === undefined || backpressure?.isFull() !== true) return;
    handle.pause();
    backpressure.addDrainListener(() => handle.resume());
  }

  private applyEnd(end: AnswerEnd): StreamEnd {
    const accepted = this.assembler.acceptEnd(end);
    if (accepted.isErr()) return {type: 'lost', reason: accepted.error.detail};
    return {type: 'ended', result: {type: 'whole', end: accepted.value}};
  }

  /**
   * Asks the agent to revoke a lost run, so that it cannot start later, and
   * reports whether it may have run. A cancelled attempt asks nothing.
   */
  private async revokeLostRun(reason: string): Promise<AttemptEnd> {
    const {agent, request} = this.options;
    const isLate = this.stopReason === 'deadline';
    const kind = isLate ? 'deadline-exceeded' : 'agent-lost';
    const error = createError(kind, `the run was lost: ${reason}`);
    if (this.stopReason === 'cancelled') return createFailure(error, 'unknown');
    const {requestId, attempt, incarnation, seenTick} = request;
    const revocation = {requestId, attempt, incarnation, seenTick};
    const reply = await agent.revokeRun(revocation);
    const isNotRun =
      reply.isOk() &&
      reply.value.incarnation === request.incarnation &&
      reply.value.state === WireRunState.RUN_STATE_NOT_RUN;
    if (!isNotRun) this.acknowledge(true);
    return createFailure(error, isNotRun ? 'not-run' : 'unknown');
  }
}

function createFailure(error: ServiceError, outcome: Outcome): AttemptEnd {
  return {type: 'failed', error: {...error, outcome}, outcome};
}

function createFailedEnd(error: ServiceError, outcome: Outcome): StreamEnd {
  return {type: 'ended', result: createFailure(error, outcome)};
}
