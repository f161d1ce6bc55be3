/**
 * Tries ways of making one call, each a while after the one before unless that
 * has failed sooner. The first answer counts; attempts that are still under way
 * then may only be such as do no harm when they are carried out as well.
 */
import {ServiceError, createError} from '@sassafrasspan/core';
import {Result, err} from 'neverthrow';

/** One way of making a call. */
export type Attempt<T> = () => Promise<Result<T, ServiceError>>;

/** How a race is run. */
export interface RaceOptions {
  /** Time without an answer after which the next way is tried, in ms. */
  readonly staggerMs: number;
  /** Tells whether an error is an answer, which ends the race. */
  readonly isAnswer: (error: ServiceError) => boolean;
}

/** Tries attempts; fails when every attempt has. */
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
    let last = createError('platform-down', 'no way to try', {
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
      void attempt().then(takeResult);
    };
    const takeResult = (result: Result<T, ServiceError>) => {
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
