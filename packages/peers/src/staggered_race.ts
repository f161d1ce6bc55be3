/**
 * Makes one call by several attempts. The next attempt starts when the previous
 * one fails or hasn't answered within the stagger time. The first answer is
 * returned; the other attempts are not cancelled, so the call must be safe to
 * carry out more than once.
 */
import {ServiceError, createError} from '@sassafrasspan/core';
import {Result, err} from 'neverthrow';

export type Attempt<T> = () => Promise<Result<T, ServiceError>>;

export interface RaceOptions {
  /** Time without an answer after which the next attempt starts, in ms. */
  readonly staggerMs: number;
  /** Returns whether an error is an answer, which ends the race. */
  readonly isAnswer: (error: ServiceError) => boolean;
}

/**
 * Resolves with the first answer, or with the last error when every attempt has
 * failed. Its outcome is `not-run` only if that of every attempt is.
 */
export function tryAttempts<T>(
  attempts: ReadonlyArray<Attempt<T>>,
  options: RaceOptions,
): Promise<Result<T, ServiceError>> {
  return new Promise(resolve => {
    let next = 0;
    let active = 0;
    let isUnknown = false;
    let isOver = false;
    let timer: NodeJS.Timeout | undefined;
    let last = createError('platform-down', 'no attempt is possible', {
      outcome: 'not-run',
    });
    const finish = (result: Result<T, ServiceError>) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      resolve(result);
    };
    const startNext = () => {
      clearTimeout(timer);
      if (isOver || next >= attempts.length) return;
      const attempt = attempts[next];
      next += 1;
      active += 1;
      timer = setTimeout(startNext, options.staggerMs);
      void attempt().then(handleResult);
    };
    const handleResult = (result: Result<T, ServiceError>) => {
      active -= 1;
      if (result.isOk() || options.isAnswer(result.error)) {
        return finish(result);
      }
      last = result.error;
      isUnknown ||= last.outcome !== 'not-run';
      if (next < attempts.length) return startNext();
      const outcome = isUnknown ? 'unknown' : 'not-run';
      if (active === 0) finish(err({...last, outcome}));
    };
    if (attempts.length === 0) return finish(err(last));
    startNext();
  });
}
