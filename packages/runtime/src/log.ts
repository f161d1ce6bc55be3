/**
 * Structured logs: bunyan records with the number of an event from the event
 * table of the core package.
 */
import bunyan from 'bunyan';
import {EVENTS, EventName} from '@sassafrasspan/core';

/** Fields of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Log of one process's events. */
export interface EventLog {
  /** Writes one event, at the level that the event table gives it. */
  writeEvent(name: EventName, fields?: LogFields): void;
}

/** Settings of a log. */
export interface EventLogOptions {
  /** Name of the process. */
  readonly node: string;
  readonly role: string;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  /** Destination of the lines; standard error by default. */
  readonly output?: {write(line: string): boolean};
}

/** Creates a log that writes one JSON object per line. */
export function createEventLog(options: EventLogOptions): EventLog {
  const logger = bunyan.createLogger({
    name: 'sassafrasspan',
    node: options.node,
    role: options.role,
    level: options.level,
    stream: (options.output ?? process.stderr) as NodeJS.WritableStream,
  });
  return {
    writeEvent: (name, fields = {}) => {
      const event = EVENTS[name];
      logger[event.level]({event: event.number, ...fields}, name);
    },
  };
}

/** A log that discards all events, for tests. */
export const SILENT_LOG: EventLog = {
  writeEvent: () => undefined,
};
