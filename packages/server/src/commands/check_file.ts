/** Checks the files that operators write: settings of a role, and rules. */
import {parseRules} from '@sassafrasspan/operators';
import {
  SettingsFault,
  parseSettings,
  readTextFile,
} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {parseDocument} from 'yaml';
import {
  SETTINGS_SCHEMAS,
  SettingsRole,
  isSettingsRole,
} from '../shared/settings_schemas';

const RULES_KEY = 'rules';

/** Description of a valid file, in a few words. */
export type FileSummary = string;

/** Checks a file whose kind follows from its content. */
export function checkFile(file: string): Result<FileSummary, SettingsFault[]> {
  return readTextFile(file).andThen(text => checkFileText(file, text));
}

/** Checks the text of a file; `file` only names it in faults. */
export function checkFileText(
  file: string,
  text: string,
): Result<FileSummary, SettingsFault[]> {
  const root = readRoot(text);
  if (Object.hasOwn(root, RULES_KEY)) return checkRulesText(file, text);
  if (isSettingsRole(root.role)) return checkSettings(file, text, root.role);
  const hasSyntaxErrors = parseDocument(text).errors.length > 0;
  if (hasSyntaxErrors) return checkSettings(file, text, 'entry');
  const expected = Object.keys(SETTINGS_SCHEMAS).join(', ');
  const reason = `expected one of ${expected}, or a list "rules:" at the top`;
  return err([{file, line: 1, key: 'role', reason}]);
}

function readRoot(text: string): Readonly<Record<string, unknown>> {
  const value: unknown = parseDocument(text).toJS();
  const isMapping = typeof value === 'object' && value !== null;
  return isMapping ? (value as Readonly<Record<string, unknown>>) : {};
}

function checkSettings(
  file: string,
  text: string,
  role: SettingsRole,
): Result<FileSummary, SettingsFault[]> {
  const parsed = parseSettings<unknown>(file, text, SETTINGS_SCHEMAS[role]);
  return parsed.map(() => `settings of role ${role}`);
}

function checkRulesText(
  file: string,
  text: string,
): Result<FileSummary, SettingsFault[]> {
  const parsed = parseRules(text);
  if (parsed.isOk()) return ok(`${parsed.value.length} rules`);
  return err(parsed.error.map(fault => ({file, key: '', ...fault})));
}
