/** Tests races between attempts that answer, fail or hang. */
import {ServiceError, createError} from '@sassafrasspan/core';
import {Result, err, ok} from 'neverthrow';
import {tryAttempts} from './staggered_race';

type Outcome = 'ok' | 'conflict' | 'unsent' | 'lost' | 'hangs';

const RESULTS: Readonly<
  Record<Exclude<Outcome, 'hangs'>, Result<string, ServiceError>>
> = {
  ok: ok('value'),
  conflict: err(createError('conflict', '')),
  unsent: err(createError('platform-down', 'a', {outcome: 'not-run'})),
  lost: err(createError('platform-down', 'b', {outcome: 'unknown'})),
};

async function runRace(outcomes: Outcome[]): Promise<string> {
  let started = 0;
  const attempts = outcomes.map(outcome => () => {
    started += 1;
    return outcome === 'hangs'
      ? new Promise<never>(() => undefined)
      : Promise.resolve(RESULTS[outcome]);
  });
  const result = await tryAttempts(attempts, {
    staggerMs: 5,
    isAnswer: error => error.kind === 'conflict',
  });
  const text = result.isOk()
    ? result.value
    : `${result.error.kind}, ${result.error.outcome}`;
  return `${text} after ${started}`;
}

test('the first answer is returned, and a failure states its outcome', async () => {
  const races: Outcome[][] = [
    ['ok', 'ok'],
    ['unsent', 'ok'],
    ['hangs', 'ok', 'ok'],
    ['hangs', 'conflict'],
    ['unsent', 'unsent'],
    ['lost', 'unsent'],
    ['unsent', 'lost'],
    [],
  ];
  const results: Record<string, string> = {};
  for (const outcomes of races) {
    results[outcomes.join(', ') || 'nothing'] = await runRace(outcomes);
  }
  expect(results).toMatchInlineSnapshot(`
    {
      "hangs, conflict": "conflict, undefined after 2",
      "hangs, ok, ok": "value after 2",
      "lost, unsent": "platform-down, unknown after 2",
      "nothing": "platform-down, not-run after 0",
      "ok, ok": "value after 1",
      "unsent, lost": "platform-down, unknown after 2",
      "unsent, ok": "value after 2",
      "unsent, unsent": "platform-down, not-run after 2",
    }
  `);
});
