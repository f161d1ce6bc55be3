/** Waiting calls end when woken, given up, or late. */
import {Waiters} from './waiters';

test('a call waits until it is woken, given up, or its time is over', async () => {
  const waiters = Waiters.create();
  const controller = new AbortController();
  const {signal} = new AbortController();
  const ends: string[] = [];
  const follow = async (name: string, waiting: Promise<void>) => {
    await waiting;
    ends.push(name);
  };
  const late = follow('late', waiters.wait(1, signal));
  await late;
  const all = [
    follow('given up', waiters.wait(60_000, controller.signal)),
    follow('woken', waiters.wait(60_000, signal)),
    follow('woken too', waiters.wait(60_000, signal)),
  ];
  controller.abort();
  await all[0];
  waiters.wakeAll();
  await Promise.all(all);
  expect(ends).toEqual(['late', 'given up', 'woken', 'woken too']);
});
