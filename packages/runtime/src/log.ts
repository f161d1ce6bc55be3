/**
 * Structured logs: bunyan records that carry the number of an event of the
 * table in the core.
 */
import bunyan from 'bunyan';
import {EVENTS, EventName} from '@sassafrasspan/core';

/** Values that a log line may carry. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes events of one process. */
export interface EventLog {
  /** Writes one event with its fields. */
  writeEvent(name: EventName, fields?: LogFields): void;
}

/** Settings of a log. */
export interface EventLogOptions {
  /** Name of the process. */
  readonly node: string;
  readonly role: string;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  /** Where the lines go; standard error when there is none. */
  readonly output?: {write(line: string): boolean};
}

/** Builds a log that writes JSON lines. */
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

/** A log that drops everything, for tests. */
export const SILENT_LOG: EventLog = {
  writeEvent: () => undefined,
};
