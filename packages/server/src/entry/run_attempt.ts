/**
 * One attempt of a request at one agent: dispatch, follow the answer, resume
 * it over a new connection when the old one goes silent, and find out what
 * became of the work when it cannot be resumed.
 */
import {
  AnswerAssembler,
  AnswerChunk,
  AnswerEnd,
  AnswerHead,
  Outcome,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
import {
  AgentPeer,
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
import {waitMs} from '@sassafrasspan/runtime';

const MAX_RESUMES = 3;
const RESUME_DELAY_MS = 100;

/** How an attempt ended. */
export type AttemptEnd =
  | {readonly type: 'whole'; readonly end: AnswerEnd}
  | {
      readonly type: 'failed';
      readonly error: ServiceError;
      readonly outcome: Outcome;
    };

/** Takes the parts of an answer in order. */
export interface AttemptSink {
  setHead(head: AnswerHead): void;
  appendChunk(chunk: AnswerChunk): void;
}

/** How a stream of frames ended. */
type StreamEnd =
  | {readonly type: 'ended'; readonly result: AttemptEnd}
  | {readonly type: 'lost'; readonly reason: string};

/** What an attempt is built from. */
export interface RunAttemptOptions {
  readonly agent: AgentPeer;
  readonly request: RunRequest;
  /** Whether a whole answer stays at the agent until acknowledged. */
  readonly keepsAnswer: boolean;
  readonly sink: AttemptSink;
  /** Called when the answer continues over a new connection. */
  onResume(reason: string): void;
}

/** One attempt of a request. */
export class RunAttempt {
  private readonly assembler = AnswerAssembler.create();
  private handle: StreamHandle | undefined;
  private isCancelled = false;
  private isAccepted = false;

  private constructor(private readonly options: RunAttemptOptions) {}

  /** Builds an attempt that has not been dispatched. */
  static create(options: RunAttemptOptions): RunAttempt {
    return new RunAttempt(options);
  }

  /** Dispatches the request and follows it to its end. */
  async run(): Promise<AttemptEnd> {
    const {agent, request} = this.options;
    let ended = await this.followFrames(listener =>
      agent.startRun(request, listener),
    );
    for (let resumes = 0; ended.type === 'lost'; resumes++) {
      if (this.isCancelled || resumes >= MAX_RESUMES) {
        return this.settleLost(ended.reason);
      }
      if (!this.isAccepted && resumes > 0) return this.settleLost(ended.reason);
      this.options.onResume(ended.reason);
      await waitMs(RESUME_DELAY_MS * resumes);
      ended = await this.followFrames(listener =>
        agent.resumeRun(
          {
            requestId: request.requestId,
            fromOffset: this.assembler.getOffset(),
            entry: request.entry,
          },
          listener,
        ),
      );
    }
    const isWhole = ended.result.type === 'whole';
    if (!isWhole || !this.options.keepsAnswer) {
      agent.acknowledgeRun(request.requestId, !isWhole);
    }
    return ended.result;
  }

  /** Gives the attempt up. */
  cancel(): void {
    this.isCancelled = true;
    this.handle?.cancel();
    this.options.agent.acknowledgeRun(this.options.request.requestId, true);
  }

  private followFrames(
    start: (listener: StreamListener<RunFrame>) => StreamHandle,
  ): Promise<StreamEnd> {
    return new Promise(resolve => {
      const endStream = (result: AttemptEnd) => {
        this.handle?.cancel();
        resolve({type: 'ended', result});
      };
      this.handle = start({
        receiveMessage: frame => {
          const result = this.applyFrame(frame);
          if (result !== undefined) endStream(result);
        },
        handleLoss: reason => resolve({type: 'lost', reason}),
      });
    });
  }

  private applyFrame(message: RunFrame): AttemptEnd | undefined {
    if (message.requestId !== this.options.request.requestId) return undefined;
    const {frame} = message;
    switch (frame?.$case) {
      case 'accepted':
        this.isAccepted = true;
        return undefined;
      case 'refused':
        return createFailure(decodeRefusal(frame.value), 'not-run');
      case 'head':
        this.options.sink.setHead(decodeHead(frame.value));
        return undefined;
      case 'chunk':
        return this.applyChunk(decodeChunk(frame.value));
      case 'end':
        return this.applyEnd(decodeEnd(frame.value));
      case 'failed': {
        const error = decodeFailure(frame.value);
        return createFailure(error, error.outcome ?? 'unknown');
      }
      default:
        return undefined;
    }
  }

  private applyChunk(chunk: AnswerChunk): AttemptEnd | undefined {
    const accepted = this.assembler.acceptChunk(chunk);
    if (accepted.isErr()) return createFailure(accepted.error, 'unknown');
    if (accepted.value !== undefined) {
      this.options.sink.appendChunk(accepted.value);
    }
    return undefined;
  }

  private applyEnd(end: AnswerEnd): AttemptEnd {
    const accepted = this.assembler.acceptEnd(end);
    if (accepted.isErr()) return createFailure(accepted.error, 'unknown');
    return {type: 'whole', end: accepted.value};
  }

  /** Asks the agent to make sure that lost work does not start. */
  private async settleLost(reason: string): Promise<AttemptEnd> {
    const {agent, request} = this.options;
    const detail = `the agent was lost: ${reason}`;
    const error = createError('agent-lost', detail);
    const reply = await agent.revokeRun({
      requestId: request.requestId,
      attempt: request.attempt,
      incarnation: request.incarnation,
      seenTick: request.seenTick,
    });
    const isNotRun =
      reply.isOk() &&
      reply.value.incarnation === request.incarnation &&
      reply.value.state === WireRunState.RUN_STATE_NOT_RUN;
    return createFailure(error, isNotRun ? 'not-run' : 'unknown');
  }
}

function createFailure(error: ServiceError, outcome: Outcome): AttemptEnd {
  return {type: 'failed', error: {...error, outcome}, outcome};
}
