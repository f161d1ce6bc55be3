/**
 * The entry's side of an answer: takes frames of one request, drops what it
 * already has, and knows when the answer is whole.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import {AnswerChunk, AnswerEnd, trimChunk} from './answer_buffer';

/** Checks the order and completeness of one answer. */
export class AnswerAssembler {
  private offset = 0;

  private constructor() {}

  /** Builds an assembler at offset 0. */
  static create(): AnswerAssembler {
    return new AnswerAssembler();
  }

  /** Returns the offset of the next byte that is missing. */
  getOffset(): number {
    return this.offset;
  }

  /**
   * Takes a chunk. Returns the part that is new, undefined if none is, or an
   * error if bytes are missing before it.
   */
  acceptChunk(
    chunk: AnswerChunk,
  ): Result<AnswerChunk | undefined, ServiceError> {
    if (chunk.offset > this.offset) {
      const detail = `bytes ${this.offset} to ${chunk.offset} are missing`;
      return err(createError('answer-incomplete', detail));
    }
    const end = chunk.offset + chunk.data.length;
    if (end <= this.offset) return ok(undefined);
    const fresh = trimChunk(chunk, this.offset);
    this.offset = end;
    return ok(fresh);
  }

  /** Checks the stated length of an ended answer against what arrived. */
  acceptEnd(end: AnswerEnd): Result<AnswerEnd, ServiceError> {
    if (end.totalLength === this.offset) return ok(end);
    const detail = `${this.offset} of ${end.totalLength} bytes arrived`;
    return err(createError('answer-incomplete', detail));
  }
}
