/**
 * Takes over the answers of a step that agents keep or are still generating,
 * so that a new home generates only what is missing.
 */
import {
  AnswerAssembler,
  AnswerCollector,
  CollectedAnswer,
  ServiceError,
  createError,
  formatRunIdPrefix,
  parseRunSlot,
} from '@sassafrasspan/core';
import {
  AgentPeer,
  KeptAnswer,
  RunFrame,
  WireRunState,
  decodeChunk,
  decodeEnd,
  decodeFailure,
} from '@sassafrasspan/nodes';
import {Result, err} from 'neverthrow';

/** An answer of a slot at an agent. */
export interface RetainedRun {
  readonly slot: number;
  readonly requestId: string;
  readonly agent: AgentPeer;
  readonly isFinished: boolean;
}

/** Finds the answers of a step at the agents, the finished ones first. */
export async function listRetainedRuns(
  identityKey: string,
  agents: readonly AgentPeer[],
): Promise<RetainedRun[]> {
  const prefix = formatRunIdPrefix(identityKey);
  const lists = await Promise.all(
    agents.map(async agent => {
      const listed = await agent.listAnswers(prefix);
      return listed
        .unwrapOr([])
        .flatMap(answer => parseRetainedRun(identityKey, agent, answer));
    }),
  );
  const runs = lists.flat();
  return [
    ...runs.filter(run => run.isFinished),
    ...runs.filter(run => !run.isFinished),
  ];
}

function parseRetainedRun(
  identityKey: string,
  agent: AgentPeer,
  answer: KeptAnswer,
): RetainedRun[] {
  const slot = parseRunSlot(identityKey, answer.requestId);
  if (slot === undefined) return [];
  const isFinished = answer.state === WireRunState.RUN_STATE_FINISHED;
  return [{slot, requestId: answer.requestId, agent, isFinished}];
}

/** Follows a kept answer to its end. */
export class RetainedAnswerReader {
  private readonly assembler = AnswerAssembler.create();
  private readonly collector = AnswerCollector.create();

  private constructor(
    private readonly run: RetainedRun,
    private readonly entry: string,
  ) {}

  /** Builds an adoption that has not begun. */
  static create(run: RetainedRun, entry: string): RetainedAnswerReader {
    return new RetainedAnswerReader(run, entry);
  }

  /** Reads the whole answer; it is run by no one but the agent. */
  readAnswer(): Promise<Result<CollectedAnswer, ServiceError>> {
    const {agent, requestId} = this.run;
    const request = {requestId, fromOffset: 0, entry: this.entry};
    return new Promise(resolve => {
      const handle = agent.resumeRun(request, {
        receiveMessage: frame => {
          const result = this.applyFrame(frame);
          if (result === undefined) return;
          handle.cancel();
          resolve(result);
        },
        handleLoss: reason => resolve(err(createError('agent-lost', reason))),
      });
    });
  }

  private applyFrame(
    message: RunFrame,
  ): Result<CollectedAnswer, ServiceError> | undefined {
    if (message.requestId !== this.run.requestId) return undefined;
    const {frame} = message;
    if (frame?.$case === 'failed') return err(decodeFailure(frame.value));
    if (frame?.$case === 'end') {
      const end = this.assembler.acceptEnd(decodeEnd(frame.value));
      return end.andThen(whole => this.collector.finish(whole));
    }
    if (frame?.$case !== 'chunk') return undefined;
    const fresh = this.assembler.acceptChunk(decodeChunk(frame.value));
    if (fresh.isErr()) return err(fresh.error);
    if (fresh.value !== undefined) this.collector.appendChunk(fresh.value);
    return undefined;
  }
}
