/** Decisions about a duty; guards against holders that act too early. */
import {DutyRecord, PERMIT_MS, decideAction, decideClaim} from './duty_lease';

const SELF = {node: 'a', incarnation: 'a1', leaseMs: 3_000};
const OWN: DutyRecord = {
  holder: 'a',
  incarnation: 'a1',
  token: 4,
  payload: 'p',
};
const OTHER: DutyRecord = {...OWN, holder: 'b', incarnation: 'b1'};

test.each<[string, DutyRecord | undefined, object]>([
  ['nobody held it', undefined, {waitMs: 0, token: 1}],
  ['another VM', OTHER, {waitMs: PERMIT_MS + 3_000, token: 5}],
  [
    'another VM released it',
    {...OTHER, releasedAt: 9},
    {waitMs: 3_000, token: 5},
  ],
  [
    'another VM released it before it could act',
    {...OTHER, releasedAt: 9, waitMs: 4_000},
    {waitMs: PERMIT_MS + 3_000, token: 5},
  ],
  [
    'an earlier process of this VM',
    {...OWN, incarnation: 'a0'},
    {waitMs: 0, token: 4},
  ],
  [
    'an earlier process of this VM that still had to wait',
    {...OWN, incarnation: 'a0', waitMs: 4_000},
    {waitMs: 4_000, token: 4},
  ],
  [
    'this process, which released it',
    {...OWN, releasedAt: 9},
    {waitMs: 0, token: 4},
  ],
])('a claim after: %s', (_name, record, expected) => {
  const decision = decideClaim(record, SELF);
  const token = decision.type === 'claim' ? decision.record.token : undefined;
  expect({waitMs: decision.waitMs, token}).toEqual(expected);
});

test('a holder that reads its own claim keeps the wait', () => {
  expect(decideClaim(OWN, SELF)).toEqual({type: 'held', waitMs: 0});
  const waiting = {...OWN, waitMs: 4_000};
  expect(decideClaim(waiting, SELF)).toEqual({type: 'held', waitMs: 4_000});
});

test('an action waits, then its write ends the wait and permits calls', () => {
  const record = {...OWN, waitMs: 4_000};
  const request = {record, payload: 'q', readyAtMs: 100};
  expect(decideAction({...request, nowMs: 99})).toEqual({
    type: 'wait',
    leftMs: 1,
  });
  expect(decideAction({...request, nowMs: 100})).toEqual({
    type: 'write',
    record: {...OWN, payload: 'q'},
    permitEndsAtMs: 100 + PERMIT_MS,
  });
});
