/** The tables in docs/ must match those in the code. */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {ERROR_ANSWERS} from './errors/error_kinds';
import {EVENTS} from './events/event_table';

function readTable(file: string): string[] {
  const text = readFileSync(
    path.join(__dirname, '../../../docs', file),
    'utf8',
  );
  const lines = text.split('\n').filter(line => line.startsWith('|'));
  return lines.slice(2).map(line => line.replace(/ +/g, ' ').trim());
}

test('docs/ERRORS.md lists every error kind', () => {
  const rows = Object.entries(ERROR_ANSWERS).map(
    ([kind, {status, outcome, retryAfterMs, summary}]) =>
      `| \`${kind}\` | ${status} | ${outcome} | ${retryAfterMs} | ${summary} |`,
  );
  expect(readTable('ERRORS.md')).toEqual(rows);
});

test('docs/EVENTS.md lists every event', () => {
  const rows = Object.entries(EVENTS).map(
    ([name, {number, level, meaning}]) =>
      `| ${number} | \`${name}\` | ${level} | ${meaning} |`,
  );
  expect(readTable('EVENTS.md')).toEqual(rows);
});
