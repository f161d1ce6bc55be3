/**
 * Finds and reads the answers of a step that agents retain or are still
 * generating, so that a new owner of the step generates only missing samples.
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

/** A run for a slot of a step whose answer an agent retains. */
export interface RetainedRun {
  readonly slot: number;
  readonly requestId: string;
  readonly agent: AgentPeer;
  readonly isFinished: boolean;
}

/** Lists the retained runs of a step at all agents, finished ones first. */
export async function listRetainedRuns(
  identityKey: string,
  agents: readonly AgentPeer[],
): Promise<RetainedRun[]> {
  const prefix = formatRunIdPrefix(identityKey);
  const runsByAgent = await Promise.all(
    agents.map(async agent => {
      const answers = await agent.listAnswers(prefix);
      return answers
        .unwrapOr([])
        .flatMap(answer => parseRetainedRun(identityKey, agent, answer));
    }),
  );
  const runs = runsByAgent.flat();
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

/** Reads one retained answer to its end. */
export class RetainedAnswerReader {
  private readonly assembler = AnswerAssembler.create();
  private readonly collector = AnswerCollector.create();

  private constructor(
    private readonly run: RetainedRun,
    private readonly entry: string,
  ) {}

  static create(run: RetainedRun, entry: string): RetainedAnswerReader {
    return new RetainedAnswerReader(run, entry);
  }

  /** Reads the complete answer, and waits for it if the run is unfinished. */
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
      return end.andThen(answerEnd => this.collector.finish(answerEnd));
    }
    if (frame?.$case !== 'chunk') return undefined;
    const newChunk = this.assembler.acceptChunk(decodeChunk(frame.value));
    if (newChunk.isErr()) return err(newChunk.error);
    if (newChunk.value !== undefined) {
      this.collector.appendChunk(newChunk.value);
    }
    return undefined;
  }
}
