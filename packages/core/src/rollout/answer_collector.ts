/**
 * Collects the answer to a slot's prompt, with the weight versions that
 * generated it.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import {AnswerChunk, AnswerEnd, mergeSegments} from '../runs/answer_buffer';
import {hasCompleteSegments} from './sample_checks';
import type {Sample} from './step_schemas';

/** The fields of a sample that come from the engine, not from scoring. */
export interface CollectedAnswer extends Pick<
  Sample,
  'text' | 'finishReason' | 'segments'
> {
  readonly tokens: number;
}

/** Assembles one answer from its chunks, which must arrive in order. */
export class AnswerCollector {
  private chunks: AnswerChunk[] = [];

  private constructor() {}

  static create(): AnswerCollector {
    return new AnswerCollector();
  }

  appendChunk(chunk: AnswerChunk): void {
    this.chunks.push(chunk);
  }

  /** Discards the chunks received so far; returns their number of tokens. */
  reset(): number {
    const tokens = this.countTokens();
    this.chunks = [];
    return tokens;
  }

  private countTokens(): number {
    return this.chunks.reduce((sum, chunk) => sum + chunk.tokens, 0);
  }

  /**
   * Returns the complete answer. Its segments come from the chunks. Fails with
   * 'answer-incomplete' if they don't cover the entire text or differ from the
   * segments of the end frame.
   */
  finish(end: AnswerEnd): Result<CollectedAnswer, ServiceError> {
    const segments = mergeSegments(this.chunks);
    if (!hasCompleteSegments(segments, end.totalLength)) {
      return err(
        createError(
          'answer-incomplete',
          'some bytes of the answer have no weight version',
        ),
      );
    }
    if (!matchesSegments(segments, end.segments)) {
      return err(
        createError(
          'answer-incomplete',
          'segments of the chunks and of the end frame differ',
        ),
      );
    }
    const {finishReason, completionTokens} = end;
    const tokens = completionTokens || this.countTokens();
    return ok({text: this.decodeText(), finishReason, segments, tokens});
  }

  private decodeText(): string {
    const decoder = new TextDecoder();
    const parts = this.chunks.map(chunk =>
      decoder.decode(chunk.data, {stream: true}),
    );
    return parts.join('') + decoder.decode();
  }
}

function matchesSegments(
  a: Sample['segments'],
  b: AnswerEnd['segments'],
): boolean {
  if (a.length !== b.length) return false;
  return a.every(
    (segment, index) =>
      segment.version === b[index].version &&
      segment.from === b[index].from &&
      segment.to === b[index].to,
  );
}
