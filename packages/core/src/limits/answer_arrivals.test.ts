/** Answers that arrive from several endpoints, one of which sends too much. */
import fc from 'fast-check';
import {readFuzzParameters} from '../testing';
import {AnswerArrivals} from './answer_arrivals';

const MB = 1_000_000;
const LIMITS = {
  startBytes: 14 * MB,
  readingBytes: 27 * MB,
  waitingBytes: 14 * MB,
};

test('an answer with a stated size waits for room', () => {
  const arrivals = AnswerArrivals.create(LIMITS);
  const first = arrivals.add('a', 50 * MB);
  expect(arrivals.advance()).toEqual({starts: [first], drops: []});
  const second = arrivals.add('a', MB);
  expect(arrivals.advance()).toEqual({starts: [], drops: []});
  arrivals.remove(first);
  expect(arrivals.advance()).toEqual({starts: [second], drops: []});
});

// Guards against ordinary answers that wait for, or pay for, a faulty endpoint.
test('an endpoint that holds most takes nothing from others', () => {
  const arrivals = AnswerArrivals.create(LIMITS);
  const faulty = Array.from({length: 30}, () => arrivals.add('faulty', 0));
  const sound = arrivals.add('sound', 0);
  arrivals.recordArrived(sound, 4 * MB);
  const drops: number[] = [];
  for (let bytes = 0; bytes <= 8 * MB; bytes += MB / 4) {
    for (const id of faulty) {
      arrivals.recordArrived(id, bytes);
      drops.push(...arrivals.advance().drops);
    }
  }
  const small = arrivals.add('sound', 10);
  const stated = arrivals.add('other', MB);
  const {starts} = arrivals.advance();
  expect(arrivals.isReading(small)).toBe(true);
  expect(arrivals.isReading(sound)).toBe(true);
  expect(starts).toEqual([stated]);
  expect(drops.length).toBeGreaterThan(20);
  expect(drops.every(id => faulty.includes(id))).toBe(true);
  expect(arrivals.getBytes()).toBeLessThanOrEqual(LIMITS.readingBytes);
});

test('of answers that wait, those of the endpoint with most are dropped', () => {
  const arrivals = AnswerArrivals.create(LIMITS);
  const faulty = Array.from({length: 4}, () => arrivals.add('faulty', 8 * MB));
  const sound = arrivals.add('sound', 5 * MB);
  const {starts, drops} = arrivals.advance();
  expect(starts).toEqual([faulty[0], sound]);
  expect(drops).toEqual([faulty[1], faulty[2]]);
});

test('what is read and what waits stays within its limits, one answer excepted', () => {
  const step = fc.record({
    source: fc.constantFrom('a', 'b', 'c'),
    stated: fc.constantFrom(0, 0, 10, MB, 8 * MB),
    grows: fc.integer({min: 0, max: 8}),
    ends: fc.integer({min: 0, max: 40}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 80}), steps => {
      const arrivals = AnswerArrivals.create(LIMITS);
      const open = new Map<number, {stated: number; bytes: number}>();
      const advance = () => {
        const {starts, drops} = arrivals.advance();
        for (const id of drops) open.delete(id);
        expect(starts.every(id => open.has(id))).toBe(true);
        const bytes = [...open]
          .filter(([id]) => arrivals.isReading(id))
          .map(([, item]) => Math.max(item.stated, item.bytes));
        const sum = bytes.reduce((all, one) => all + one, 0);
        expect(arrivals.getBytes()).toBe(sum);
        const isSingle = bytes.filter(one => one > 0).length <= 1;
        expect(isSingle || sum <= LIMITS.readingBytes).toBe(true);
        // What waits starts at the latest when nothing else is read.
        const isAllReading = [...open.keys()].every(id =>
          arrivals.isReading(id),
        );
        expect(sum > 0 || isAllReading).toBe(true);
      };
      for (const {source, stated, grows, ends} of steps) {
        open.set(arrivals.add(source, stated), {stated, bytes: 0});
        advance();
        const ids = [...open.keys()];
        const id = ids[grows % ids.length];
        const item = open.get(id);
        if (item !== undefined && arrivals.isReading(id)) {
          const most = item.stated === 0 ? 8 * MB : item.stated;
          item.bytes = Math.min(most, item.bytes + grows * MB);
          arrivals.recordArrived(id, item.bytes);
          advance();
        }
        const ended = ids[ends];
        if (ended === undefined) continue;
        arrivals.remove(ended);
        open.delete(ended);
        advance();
      }
    }),
    readFuzzParameters(6, 500),
  );
});
