/**
 * Reads structured logs of the nodes: one JSON object a line, also behind the
 * prefix of a log collector.
 */
import {Result, err, ok} from 'neverthrow';
import * as z from 'zod/mini';

const LINE_SCHEMA = z.looseObject({
  msg: z.string(),
  time: z.optional(z.string()),
  node: z.optional(z.string()),
  pid: z.optional(z.number()),
});

/** Name that a bounded log gives to its report of dropped lines. */
const DROPPED = 'log-dropped';

/** A log event. */
export interface LogEvent {
  /** Wall-clock time of the node, in Unix ms. */
  readonly atMs: number;
  readonly node: string;
  readonly pid: number;
  /** Name of the event. */
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The events of logs, in order of time. */
export interface ReadLogs {
  readonly events: readonly LogEvent[];
  /** Number of lines that the nodes dropped to bound their logs. */
  readonly droppedLines: number;
}

/** Reads the text of a log. Fails with a description if no line is an event. */
export function readLog(text: string): Result<ReadLogs, string> {
  const events: LogEvent[] = [];
  let droppedLines = 0;
  for (const line of text.split('\n')) {
    const fields = parseLine(line);
    if (fields === undefined) continue;
    if (fields.msg === DROPPED) droppedLines += Number(fields.dropped ?? 0);
    const atMs = Date.parse(fields.time ?? '');
    if (Number.isNaN(atMs)) continue;
    const {msg: name, node = '', pid = 0} = fields;
    events.push({atMs, node, pid, name, fields});
  }
  if (events.length === 0) return err('no line is a log event with a time');
  events.sort((a, b) => a.atMs - b.atMs);
  return ok({events, droppedLines});
}

function parseLine(line: string) {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  try {
    const parsed = LINE_SCHEMA.safeParse(JSON.parse(line.slice(start)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // Other lines, such as a stack trace, are no events.
    return undefined;
  }
}
