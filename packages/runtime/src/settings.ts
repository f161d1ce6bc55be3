/**
 * Loads settings files: YAML that is validated by a schema. Each fault names
 * the file, line and key, and the value that is expected there.
 */
import {readFileSync} from 'node:fs';
import {Result, err, ok} from 'neverthrow';
import {Document, LineCounter, isNode, parseDocument} from 'yaml';
import type {z} from 'zod';
import {describeError} from './describe_error';
import {SettingsSchemaReader} from './settings_expectations';

const MAX_SHOWN_VALUE_CHARS = 40;

/** An error in a settings file. */
export interface SettingsFault {
  readonly file: string;
  /** Line number, starting at 1. */
  readonly line: number;
  /** Dotted path of the key; empty if the file as a whole is invalid. */
  readonly key: string;
  readonly reason: string;
}

/** A validation issue of the schema library. */
type SchemaIssue = z.core.$ZodIssue;

/** A settings file parsed as YAML, before validation. */
interface ParsedFile {
  readonly file: string;
  readonly document: Document.Parsed;
  readonly lines: LineCounter;
}

/** Reads and validates a settings file; returns all faults found. */
export function loadSettings<T>(
  file: string,
  schema: z.ZodType<T>,
): Result<T, SettingsFault[]> {
  return readTextFile(file).andThen(text => parseSettings(file, text, schema));
}

/** Reads a text file; if that fails, returns a fault at line 1. */
export function readTextFile(file: string): Result<string, SettingsFault[]> {
  try {
    return ok(readFileSync(file, 'utf8'));
  } catch (error) {
    const reason = `cannot be read: ${describeError(error)}`;
    return err([{file, line: 1, key: '', reason}]);
  }
}

/** Validates the text of a settings file; `file` is only used in faults. */
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
  const source = {file, document, lines};
  const reader = SettingsSchemaReader.create(schema);
  return err(
    parsed.error.issues.flatMap(issue => convertIssue(source, reader, issue)),
  );
}

/** Converts an issue into faults, one for each unknown key it names. */
function convertIssue(
  source: ParsedFile,
  reader: SettingsSchemaReader,
  issue: SchemaIssue,
): SettingsFault[] {
  const path = issue.path.map(part => (typeof part === 'symbol' ? '' : part));
  if (issue.code === 'custom') {
    return [createFault(source, path, issue.message)];
  }
  if (issue.code !== 'unrecognized_keys') {
    return [
      createFault(source, path, describeValueFault(source, reader, path)),
    ];
  }
  const known = reader.listKeys(path).join(', ');
  const reason = `unknown key; expected one of: ${known}`;
  return issue.keys.map(key => createFault(source, [...path, key], reason));
}

function describeValueFault(
  source: ParsedFile,
  reader: SettingsSchemaReader,
  path: ReadonlyArray<string | number>,
): string {
  const expected = reader.describeExpected(path);
  const actual = readValue(source, path);
  if (actual === undefined) return `is missing; expected ${expected}`;
  return `expected ${expected}; found ${formatActualValue(actual)}`;
}

function readValue(
  source: ParsedFile,
  path: ReadonlyArray<string | number>,
): unknown {
  if (path.length === 0) return source.document.toJS();
  const node = source.document.getIn(path, true);
  return isNode(node) ? node.toJS(source.document) : node;
}

function formatActualValue(value: unknown): string {
  const text = JSON.stringify(value);
  if (text.length <= MAX_SHOWN_VALUE_CHARS) return text;
  return `${text.slice(0, MAX_SHOWN_VALUE_CHARS)}...`;
}

function createFault(
  source: ParsedFile,
  path: ReadonlyArray<string | number>,
  reason: string,
): SettingsFault {
  const line = findLine(source.document, source.lines, path);
  return {file: source.file, line, key: path.join('.'), reason};
}

/**
 * Finds the line of a key, or of its nearest existing parent; 1 if the file
 * can't be read.
 */
export function findKeyLine(
  file: string,
  path: ReadonlyArray<string | number>,
): number {
  const lines = new LineCounter();
  return readTextFile(file)
    .map(text =>
      findLine(parseDocument(text, {lineCounter: lines}), lines, path),
    )
    .unwrapOr(1);
}

/** Finds the line of a value, or of its nearest existing parent. */
function findLine(
  document: Document.Parsed,
  lines: LineCounter,
  path: ReadonlyArray<string | number>,
): number {
  for (let length = path.length; length >= 0; length--) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  }
  return 1;
}

/** Formats a fault as one line: `file:line: key: reason`. */
export function formatSettingsFault(fault: SettingsFault): string {
  const key = fault.key === '' ? '' : ` ${fault.key}:`;
  return `${fault.file}:${fault.line}:${key} ${fault.reason}`;
}
