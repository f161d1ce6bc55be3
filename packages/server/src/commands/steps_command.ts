/** The `steps` command: tells from logs what the steps of trainers waited for. */
import {readFileSync} from 'node:fs';
import {
  ReadLogs,
  collectHistory,
  explainSteps,
  formatSteps,
  readLog,
} from '@sassafrasspan/operators';
import {describeError} from '@sassafrasspan/runtime';
import {command, number, oneOf, option, restPositionals, string} from 'cmd-ts';
import {Result, err} from 'neverthrow';
import {EXIT_USAGE, printFailure, printLine} from './output';

const STANDARD_INPUT = '-';
const MS_PER_SECOND = 1_000;

/** The `steps` command. */
export const STEPS_COMMAND = command({
  name: 'steps',
  description:
    'Tell from structured logs what each step of a trainer waited for. Reads ' +
    'the logs of the coordinator and the agents. Exits with 2 if a file ' +
    'cannot be read or is no log.',
  args: {
    files: restPositionals({
      type: string,
      displayName: 'LOG',
      description: 'log files; - or none: standard input',
    }),
    atLeast: option({
      type: number,
      long: 'at-least',
      defaultValue: () => 0,
      description: 'leave out steps that took less, in seconds',
    }),
    format: option({
      type: oneOf(['text', 'json'] as const),
      long: 'format',
      defaultValue: () => 'text' as const,
      description: 'text or json',
    }),
  },
  handler: ({files, atLeast, format}) => {
    const names = files.length === 0 ? [STANDARD_INPUT] : files;
    const logs = Result.combine(names.map(readLogFile));
    if (logs.isErr()) return printFailure(logs.error, EXIT_USAGE);
    const {events, droppedLines} = joinLogs(logs.value);
    const history = collectHistory(events);
    const report = explainSteps(history, atLeast * MS_PER_SECOND);
    if (format === 'text') return printLine(formatSteps(report, droppedLines));
    return printLine(JSON.stringify({...report, droppedLines}, undefined, 2));
  },
});

/** Reads a log file; fails with a description that names it. */
export function readLogFile(file: string): Result<ReadLogs, string> {
  const name = file === STANDARD_INPUT ? 'standard input' : file;
  try {
    const text = readFileSync(file === STANDARD_INPUT ? 0 : file, 'utf8');
    return readLog(text).mapErr(detail => `${name}: ${detail}`);
  } catch (error) {
    return err(`${name}: cannot be read: ${describeError(error)}`);
  }
}

function joinLogs(logs: readonly ReadLogs[]): ReadLogs {
  const events = logs.flatMap(log => log.events);
  events.sort((a, b) => a.atMs - b.atMs);
  const droppedLines = logs.reduce((sum, log) => sum + log.droppedLines, 0);
  return {events, droppedLines};
}
