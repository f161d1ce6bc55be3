/**
 * Replays slow readers on a VM of 202 MB. Guards against memory that grows with
 * unread answers, against refusals that outlast them, and against one customer
 * that shuts out the others.
 */
import {MemoryAccount} from './memory_account';

const MB = 1_000_000;
const LIMITS = {softBytes: 40 * MB, hardBytes: 70 * MB, stallMs: 15_000};
const TICK_MS = 250;

/** Number of the next connection. */
let nextConnection = 1;

interface Reader {
  readonly customer: string;
  /** Requests per second of this kind of reader. */
  readonly perSecond: number;
  /** Bytes per second that it reads of each answer; 0 for none. */
  readonly bytesPerSecond: number;
}

interface OpenAnswer {
  readonly bytesPerSecond: number;
  leftBytes: number;
}

/** Replays readers with answers of 1 MB after 200 ms; returns what became of
 * the requests of each customer. */
function replayReaders(
  readers: readonly Reader[],
  seconds: number,
  limits: typeof LIMITS = LIMITS,
) {
  const account = MemoryAccount.create(limits);
  const counts = new Map<string, {served: number; refused: number}>();
  const runs: {id: number; reader: Reader; endsAtMs: number}[] = [];
  const open = new Map<number, OpenAnswer>();
  const cutStages = new Map<string, number>();
  let peakBytes = 0;
  const stepMs = 50;
  for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += stepMs) {
    for (const reader of readers) {
      const count = counts.get(reader.customer) ?? {served: 0, refused: 0};
      counts.set(reader.customer, count);
      const before = Math.floor(((nowMs - stepMs) * reader.perSecond) / 1_000);
      const after = Math.floor((nowMs * reader.perSecond) / 1_000);
      for (let i = before; i < after; i += 1) {
        if (account.admitRequest(reader.customer) !== undefined) {
          count.refused += 1;
          continue;
        }
        const id = account.startRequest(
          reader.customer,
          nextConnection++,
          nowMs,
        );
        account.startRun(id);
        runs.push({id, reader, endsAtMs: nowMs + 200});
        count.served += 1;
      }
    }
    while (runs.length > 0 && runs[0].endsAtMs <= nowMs) {
      const {id, reader} = runs.shift() as (typeof runs)[number];
      account.startAnswer(id, MB, nowMs);
      const {bytesPerSecond} = reader;
      open.set(id, {bytesPerSecond, leftBytes: MB});
    }
    for (const [id, answer] of open) {
      if (answer.bytesPerSecond === 0) continue;
      account.recordProgress(id, nowMs);
      answer.leftBytes -= (answer.bytesPerSecond * stepMs) / 1_000;
      if (answer.leftBytes > 0) continue;
      account.endRequest(id);
      open.delete(id);
    }
    if (nowMs % TICK_MS === 0) {
      account.advance(nowMs);
      for (const {id, stage, reason} of account.planCuts(nowMs)) {
        const key = `${reason} ${stage}`;
        cutStages.set(key, (cutStages.get(key) ?? 0) + 1);
        account.endRequest(id);
        open.delete(id);
      }
    }
    peakBytes = Math.max(peakBytes, account.describe().heldBytes);
  }
  return {counts: Object.fromEntries(counts), cutStages, peakBytes};
}

const NORMAL = {customer: 'b', perSecond: 20, bytesPerSecond: 20 * MB};

test('callers that read normally are never refused alone', () => {
  const {counts, cutStages} = replayReaders([{...NORMAL, perSecond: 200}], 20);
  expect(counts.b.refused).toBe(0);
  expect(cutStages.size).toBe(0);
});

test('slow readers of one customer do not shut out another', () => {
  const slow = {customer: 'a', perSecond: 40, bytesPerSecond: 50_000};
  const {counts, cutStages, peakBytes} = replayReaders([slow, NORMAL], 60);
  expect(counts.b.refused).toBe(0);
  expect(counts.a.refused).toBeGreaterThan(0);
  // Finished answers that are read, if slowly, are delivered.
  expect(cutStages.size).toBe(0);
  expect(peakBytes).toBeLessThan(LIMITS.hardBytes);
});

test('callers that read nothing are cut, and others are served again', () => {
  const stuck = {customer: '', perSecond: 10, bytesPerSecond: 0};
  const normal = {...NORMAL, customer: ''};
  const {counts, cutStages, peakBytes} = replayReaders([stuck, normal], 120);
  expect(peakBytes).toBeLessThan(LIMITS.hardBytes);
  expect([...cutStages.keys()]).toEqual(['stalled finished']);
  expect(counts[''].served).toBeGreaterThan(500);
});

test('without a stall time the hard limit is the only cut', () => {
  const stuck = {customer: 'a', perSecond: 10, bytesPerSecond: 0};
  const limits = {...LIMITS, stallMs: Infinity};
  const {cutStages, counts} = replayReaders([stuck, NORMAL], 120, limits);
  expect(cutStages.size).toBe(0);
  expect(counts.b.refused).toBe(0);
});

test('a burst beyond the hard limit cuts finished answers last', () => {
  const account = MemoryAccount.create(LIMITS);
  const start = (customer: string, nowMs: number) =>
    account.startRequest(customer, nextConnection++, nowMs);
  const body = start('a', 50);
  account.addBodyBytes(body, 10 * MB, 50);
  const streaming = start('a', 0);
  account.startAnswer(streaming, 10 * MB, 40, 'streaming');
  const running = start('a', 0);
  account.addBodyBytes(running, 10 * MB, 0);
  account.startRun(running);
  const finished = [30, 10, 20].map(nowMs => {
    const id = start('a', nowMs);
    account.startAnswer(id, 20 * MB, nowMs);
    return id;
  });
  expect(account.getLevel()).toBe('hard');
  const cuts = account.planCuts(100);
  // 90 MB are held: a body and an unfinished answer bring them to 70 MB.
  expect(cuts.map(({id}) => id)).toEqual([body, streaming]);
  for (const {id} of cuts) account.endRequest(id);
  const next = start('a', 100);
  account.startAnswer(next, 25 * MB, 100);
  expect(account.planCuts(200).map(({id, idleMs}) => [id, idleMs])).toEqual([
    [finished[1], 190],
    [finished[2], 180],
  ]);
});

test('a customer within its share is cut after one above it', () => {
  const account = MemoryAccount.create(LIMITS);
  const small = account.startRequest('small', nextConnection++, 0);
  account.startAnswer(small, 10 * MB, 0);
  const large = account.startRequest('large', nextConnection++, 50);
  account.startAnswer(large, 65 * MB, 50);
  expect(account.planCuts(100).map(({id}) => id)).toEqual([large]);
});

test('above the soft limit one body at a time is read on', () => {
  const account = MemoryAccount.create(LIMITS);
  const ids = [1, 2, 3].map(nowMs =>
    account.startRequest('a', nextConnection++, nowMs),
  );
  for (const id of ids) account.addBodyBytes(id, 12 * MB, 0);
  expect(ids.map(id => account.canRead(id))).toEqual([true, true, true]);
  account.addBodyBytes(ids[2], 10 * MB, 10);
  expect(ids.map(id => account.canRead(id))).toEqual([true, false, false]);
  account.startRun(ids[0]);
  // Another customer's body is not held up.
  const other = account.startRequest('b', nextConnection++, 20);
  expect(account.canRead(other)).toBe(true);
  account.endRequest(other);
  const bodies = ids.slice(1);
  expect(bodies.map(id => account.canRead(id))).toEqual([true, false]);
  account.endRequest(ids[0]);
  expect(bodies.map(id => account.canRead(id))).toEqual([true, true]);
});

test('the account follows what the process measures', () => {
  const account = MemoryAccount.create(LIMITS);
  const update = (measuredBytes: number) => {
    for (let i = 0; i < 40; i += 1) account.updateMeasured(measuredBytes);
  };
  update(5 * MB);
  const id = account.startRequest('a', nextConnection++, 0);
  account.startAnswer(id, 25 * MB, 0);
  expect(account.admitRequest('a')).toBeUndefined();
  // Node holds a copy of each answer.
  update(55 * MB);
  expect(account.describe().estimatedBytes).toBeGreaterThan(48 * MB);
  expect(account.admitRequest('a')).toMatchObject({softBytes: 40 * MB});
  // Buffers that nobody holds are garbage: they refuse nobody.
  account.endRequest(id);
  update(300 * MB);
  expect(account.admitRequest('a')).toBeUndefined();
  expect(account.getLevel()).toBe('normal');
});

test('a refusal names a time from the rate at which memory is released', () => {
  const account = MemoryAccount.create(LIMITS);
  for (let nowMs = 0; nowMs <= 20_000; nowMs += TICK_MS) {
    account.advance(nowMs);
    const id = account.startRequest('a', nextConnection++, nowMs);
    account.startAnswer(id, 5 * MB, nowMs);
    account.endRequest(id);
  }
  const id = account.startRequest('a', nextConnection++, 0);
  account.startAnswer(id, 60 * MB, 0);
  // 20 MB are too many, and 20 MB are released each second.
  const refusal = account.admitRequest('a');
  expect(refusal?.retryAfterMs).toBeGreaterThan(900);
  expect(refusal?.retryAfterMs).toBeLessThan(1_100);
});

test('a connection with several requests is cut once and judged as one', () => {
  const account = MemoryAccount.create(LIMITS);
  const start = (connection: number, nowMs: number) => {
    const id = account.startRequest('a', connection, nowMs);
    account.startAnswer(id, 20 * MB, nowMs);
    return id;
  };
  const [reading, queued] = [start(1, 0), start(1, 0)];
  const [idle] = [start(2, 50), start(2, 50)];
  account.recordProgress(reading, 100);
  // The first connection reads, so that its queued answer is not idle; the
  // second one holds 40 MB, which is enough.
  expect(account.planCuts(200)).toMatchObject([
    {id: idle, bytes: 40 * MB, idleMs: 150},
  ]);
  expect(queued).toBeLessThan(idle);
});

test('bodies that stop short of their end give way to a request that comes next', () => {
  const limits = {...LIMITS, patienceMs: 2_000, maxHeldBack: 2};
  const account = MemoryAccount.create(limits);
  const stopped = Array.from({length: 41}, () => {
    const id = account.startRequest('', nextConnection++, 0);
    account.addBodyBytes(id, MB, 0);
    return id;
  });
  expect(account.admitRequest('', undefined)).toBeDefined();
  expect(account.planCuts(1_000)).toEqual([]);
  expect(account.admitRequest('', undefined)).toBeDefined();
  const cuts = account.planCuts(2_000);
  expect(cuts.map(({id, reason}) => [id, reason])).toEqual([
    [stopped[0], 'stalled'],
  ]);
  account.endRequest(stopped[0]);
  expect(account.admitRequest('', undefined)).toBeUndefined();
});

test('a byte now and then is no progress', () => {
  const account = MemoryAccount.create({...LIMITS, patienceMs: 2_000});
  const [slow, fast] = [MB, 40 * MB].map(bytes => {
    const id = account.startRequest('', nextConnection++, 0);
    account.addBodyBytes(id, bytes, 0);
    return id;
  });
  for (let nowMs = 0; nowMs <= 3_000; nowMs += 100) {
    account.addBodyBytes(slow, 1, nowMs);
    account.addBodyBytes(fast, 2_000, nowMs);
  }
  expect(account.admitRequest('', undefined)).toBeDefined();
  expect(account.planCuts(3_000).map(({id}) => id)).toEqual([slow]);
});

test('small requests are admitted while bodies pass the soft limit', () => {
  const account = MemoryAccount.create(LIMITS);
  const body = account.startRequest('', nextConnection++, 0);
  account.addBodyBytes(body, 50 * MB, 0);
  expect(account.admitRequest('', 1_000)).toBeUndefined();
  expect(account.admitRequest('', undefined)).toBeDefined();
  account.startRun(body);
  account.startAnswer(body, 50 * MB, 0);
  expect(account.admitRequest('', 1_000)).toBeDefined();
});

test('bodies that are held back are bounded', () => {
  const account = MemoryAccount.create({...LIMITS, maxHeldBack: 1});
  const [first, second] = [1, 2].map(() =>
    account.startRequest('', nextConnection++, 0),
  );
  expect([account.holdBody(first), account.holdBody(second)]).toEqual([
    true,
    false,
  ]);
  account.resumeBody(first, 0);
  expect(account.holdBody(second)).toBe(true);
});

test('long polls of peers foretell no unread answers', () => {
  const account = MemoryAccount.create(LIMITS);
  const start = () => {
    const id = account.startRequest('peers', nextConnection++, 0, true);
    account.startRun(id);
    return id;
  };
  for (let i = 0; i < 100; i += 1) start();
  const slow = Array.from({length: 20}, start);
  for (const id of slow) account.startAnswer(id, MB, 0);
  account.advance(1_000);
  for (const id of slow) account.endRequest(id);
  expect(account.admitRequest('peers', MB, true)).toBeUndefined();
});
