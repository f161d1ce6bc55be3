/** Client of a scoring service: one score for one sample. */
import {ServiceError, createError} from '@sassafrasspan/core';
import {classifyCallError} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {request} from 'undici';
import {z} from 'zod';

const CALL_TIMEOUT_MS = 10_000;
const SCORE_SCHEMA = z.object({score: z.number()});

/** What is scored. */
export interface ScoreRequest {
  readonly prompt: string;
  readonly text: string;
}

/** What the system needs of a scoring service. */
export interface ScoringService {
  scoreSample(sample: ScoreRequest): Promise<Result<number, ServiceError>>;
}

/** Scoring over HTTP. Scores are pure, so a call may be repeated. */
export class ScoringClient implements ScoringService {
  private constructor(private readonly baseUrl: string) {}

  /** Builds a client for a base URL. */
  static create(baseUrl: string): ScoringClient {
    return new ScoringClient(baseUrl);
  }

  async scoreSample(
    sample: ScoreRequest,
  ): Promise<Result<number, ServiceError>> {
    try {
      const reply = await request(`${this.baseUrl}/score`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(sample),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      return ok(SCORE_SCHEMA.parse(await reply.body.json()).score);
    } catch (error) {
      const {message} = classifyCallError(error);
      return err(createError('endpoint-failed', `scoring: ${message}`));
    }
  }
}
