/**
 * Assembles an answer at the entry from the frames of one request: discards
 * bytes that were already received and checks that the answer is complete.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import {AnswerChunk, AnswerEnd, trimChunk} from './answer_buffer';

/** Checks the order and completeness of one answer. */
export class AnswerAssembler {
  private offset = 0;

  private constructor() {}

  static create(): AnswerAssembler {
    return new AnswerAssembler();
  }

  /** Returns the offset of the next byte to receive. */
  getOffset(): number {
    return this.offset;
  }

  /**
   * Accepts a chunk and returns the part that was not received before, or
   * undefined if there is none. Fails if bytes before the chunk are missing.
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
    const newPart = trimChunk(chunk, this.offset);
    this.offset = end;
    return ok(newPart);
  }

  /** Checks the total length in the end frame against the bytes received. */
  acceptEnd(end: AnswerEnd): Result<AnswerEnd, ServiceError> {
    if (end.totalLength === this.offset) return ok(end);
    const detail = `${this.offset} of ${end.totalLength} bytes arrived`;
    return err(createError('answer-incomplete', detail));
  }
}
