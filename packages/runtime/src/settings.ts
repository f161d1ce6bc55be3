/**
 * Settings files: YAML, checked by a schema, with faults that name file, line
 * and key.
 */
import {readFileSync} from 'node:fs';
import {Result, err, ok} from 'neverthrow';
import {Document, LineCounter, isNode, parseDocument} from 'yaml';
import type {z} from 'zod';

/** A fault of a settings file. */
export interface SettingsFault {
  readonly file: string;
  /** Line from 1. */
  readonly line: number;
  /** Dotted path of the key. */
  readonly key: string;
  readonly reason: string;
}

/** Reads and checks a settings file. */
export function loadSettings<T>(
  file: string,
  schema: z.ZodType<T>,
): Result<T, SettingsFault[]> {
  try {
    return parseSettings(file, readFileSync(file, 'utf8'), schema);
  } catch (error) {
    return err([{file, line: 1, key: '', reason: describeError(error)}]);
  }
}

/** Checks the text of a settings file. */
export function parseSettings<T>(
  file: string,
  text: string,
  schema: z.ZodType<T>,
): Result<T, SettingsFault[]> {
  const lines = new LineCounter();
  const document = parseDocument(text, {lineCounter: lines});
  if (document.errors.length > 0) {
    return err(
      document.errors.map(error => ({
        file,
        line: lines.linePos(error.pos[0]).line,
        key: '',
        reason: error.message.split('\n')[0],
      })),
    );
  }
  const parsed = schema.safeParse(document.toJS());
  if (parsed.success) return ok(parsed.data);
  return err(
    parsed.error.issues.map(issue => ({
      file,
      line: findLine(document, lines, issue.path, issue),
      key: issue.path.map(String).join('.'),
      reason: issue.message,
    })),
  );
}

/** Finds the line of a key, or of its nearest parent that is there. */
function findLine(
  document: Document.Parsed,
  lines: LineCounter,
  path: readonly PropertyKey[],
  issue: {readonly code?: string; readonly keys?: readonly string[]},
): number {
  const keys = path.map(part => (typeof part === 'symbol' ? '' : part));
  const full = issue.keys === undefined ? keys : [...keys, issue.keys[0]];
  for (let length = full.length; length >= 0; length--) {
    const node = document.getIn(full.slice(0, length), true);
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  }
  return 1;
}

/** Writes a fault as one line for a person. */
export function formatSettingsFault(fault: SettingsFault): string {
  const key = fault.key === '' ? '' : ` ${fault.key}:`;
  return `${fault.file}:${fault.line}:${key} ${fault.reason}`;
}

/** Returns the message of anything thrown. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
