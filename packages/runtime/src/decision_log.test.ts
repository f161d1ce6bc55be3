import {DecisionLog} from './decision_log';
import {SILENT_LOG} from './log';

function createLog(capacity: number): DecisionLog {
  let nowMs = 0;
  const clock = {readMonotonicMs: () => nowMs, readWallMs: () => (nowMs += 1)};
  return DecisionLog.create({log: SILENT_LOG, clock, capacity});
}

test('keeps the newest events of requests, oldest first', () => {
  const log = createLog(3);
  for (const number of [1, 2, 3, 4]) {
    const requestId = `mine~${number}`;
    log.writeEvent('request-dispatched', {requestId, endpoint: 'lm-1'});
  }
  log.writeEvent('rules-in-force', {revision: 1});
  expect(log.listDecisions('mine')).toMatchSnapshot();
  expect(log.listDecisions('other')).toEqual([]);
});

test('lists the parts of the platform that do not respond', () => {
  const log = createLog(3);
  log.writeEvent('platform-down', {key: 'rules/head', detail: 'refused'});
  log.writeEvent('platform-down', {key: 'rules/head', detail: 'again'});
  expect(log.listOutages()).toEqual([
    {part: 'rules/head', sinceMs: 1, detail: 'refused'},
  ]);
  log.writeEvent('platform-up', {key: 'rules/head'});
  expect(log.listOutages()).toEqual([]);
});
