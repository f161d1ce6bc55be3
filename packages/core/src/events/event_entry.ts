/** Type of the entries of the event table and of its parts. */

/** Severity of an event, with bunyan's names. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** An event of the table. */
export interface EventEntry {
  readonly number: number;
  readonly level: EventLevel;
  readonly meaning: string;
}
