/**
 * Client of a scoring service, which computes a score for each sample: its
 * reward in reinforcement learning.
 */
import {ServiceError, createError} from '@sassafrasspan/core';
import {BoundedAnswer, classifyCallError} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';

const CALL_TIMEOUT_MS = 10_000;
/** Maximum size of an answer, in bytes. */
const MAX_ANSWER_BYTES = 1_048_576;
const SCORE_SCHEMA = z.object({score: z.number()});

/** A sample to score: a prompt and the text generated for it. */
export interface ScoreRequest {
  readonly prompt: string;
  readonly text: string;
}

export interface ScoringService {
  scoreSample(sample: ScoreRequest): Promise<Result<number, ServiceError>>;
}

/** Scoring over HTTP. Scoring has no side effects, so calls may be retried. */
export class ScoringClient implements ScoringService {
  private constructor(private readonly baseUrl: string) {}

  static create(baseUrl: string): ScoringClient {
    return new ScoringClient(baseUrl);
  }

  async scoreSample(
    sample: ScoreRequest,
  ): Promise<Result<number, ServiceError>> {
    try {
      const reply = await BoundedAnswer.request(`${this.baseUrl}/score`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(sample),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        maxBytes: MAX_ANSWER_BYTES,
      });
      return ok(SCORE_SCHEMA.parse(await reply.readJson()).score);
    } catch (error) {
      const {message} = classifyCallError(error);
      return err(createError('endpoint-failed', `scoring: ${message}`));
    }
  }
}
