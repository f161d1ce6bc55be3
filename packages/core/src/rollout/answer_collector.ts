/** Collects the answer to a slot's prompt with the versions that made it. */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import {AnswerChunk, AnswerEnd, mergeSegments} from '../runs/answer_buffer';
import {hasCompleteSegments} from './sample_checks';
import type {Sample} from './step_schemas';

/** The generated part of a sample. */
export interface CollectedAnswer extends Pick<
  Sample,
  'text' | 'finishReason' | 'segments'
> {
  readonly tokens: number;
}

/** Collects chunks in order. */
export class AnswerCollector {
  private chunks: AnswerChunk[] = [];

  private constructor() {}

  /** Builds an empty collector. */
  static create(): AnswerCollector {
    return new AnswerCollector();
  }

  /** Takes the next chunk. */
  appendChunk(chunk: AnswerChunk): void {
    this.chunks.push(chunk);
  }

  /** Drops what has arrived; returns the number of its tokens. */
  reset(): number {
    const tokens = this.countTokens();
    this.chunks = [];
    return tokens;
  }

  private countTokens(): number {
    return this.chunks.reduce((sum, chunk) => sum + chunk.tokens, 0);
  }

  /**
   * Ends the answer. The versions are those of the chunks; an answer whose
   * end names others, or that names none, is not taken.
   */
  finish(end: AnswerEnd): Result<CollectedAnswer, ServiceError> {
    const segments = mergeSegments(this.chunks);
    if (!hasCompleteSegments(segments, end.totalLength)) {
      return err(createError('answer-incomplete', 'bytes without a version'));
    }
    if (!matchesSegments(segments, end.segments)) {
      return err(createError('answer-incomplete', 'the versions differ'));
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
    (part, at) =>
      part.version === b[at].version &&
      part.from === b[at].from &&
      part.to === b[at].to,
  );
}
