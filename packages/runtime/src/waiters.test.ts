/** A wait ends when it is woken, aborted or over its time limit. */
import {Waiters} from './waiters';

test('a wait ends when woken, aborted or over its time limit', async () => {
  const waiters = Waiters.create();
  const controller = new AbortController();
  const {signal} = new AbortController();
  const ends: string[] = [];
  const recordEnd = async (name: string, waiting: Promise<void>) => {
    await waiting;
    ends.push(name);
  };
  const timedOut = recordEnd('timed out', waiters.wait(1, signal));
  await timedOut;
  const all = [
    recordEnd('aborted', waiters.wait(60_000, controller.signal)),
    recordEnd('woken', waiters.wait(60_000, signal)),
    recordEnd('also woken', waiters.wait(60_000, signal)),
  ];
  controller.abort();
  await all[0];
  waiters.wakeAll();
  await Promise.all(all);
  expect(ends).toEqual(['timed out', 'aborted', 'woken', 'also woken']);
});
