/**
 * Parses the rules file: YAML with one rule per line, each followed by a
 * comment that names who requested it.
 */
import {
  ATTRIBUTED_RULE_SCHEMA,
  AttributedRule,
  RULE_SCHEMAS,
  RuleFault,
  checkRules,
  isRuleKind,
} from '@sassafrasspan/core';
import {Result, err, ok} from 'neverthrow';
import {
  Document,
  LineCounter,
  YAMLMap,
  YAMLSeq,
  isMap,
  isSeq,
  parseDocument,
} from 'yaml';

const RULES_KEY = 'rules';

/** Parses and validates a rules file; returns all faults, ordered by line. */
export function parseRules(
  text: string,
): Result<AttributedRule[], RuleFault[]> {
  const lines = new LineCounter();
  const document = parseDocument(text, {lineCounter: lines});
  if (document.errors.length > 0) {
    return err(
      document.errors.map(error => ({
        line: lines.linePos(error.pos[0]).line,
        reason: error.message.split('\n')[0],
      })),
    );
  }
  const items = readItems(document);
  if (items.isErr()) return err([items.error]);
  const results = items.value.items.map(item => readRule(item, lines));
  const faults = results.flatMap(result =>
    result.isErr() ? result.error : [],
  );
  const rules = results.flatMap(result =>
    result.isOk() ? [result.value] : [],
  );
  const allFaults = [...faults, ...checkRules(rules)];
  return allFaults.length === 0 ? ok(rules) : err(sortFaults(allFaults));
}

function sortFaults(faults: readonly RuleFault[]): RuleFault[] {
  return [...faults].sort((a, b) => a.line - b.line);
}

function readItems(document: Document.Parsed): Result<YAMLSeq, RuleFault> {
  const root = document.contents;
  if (!isMap(root)) return err({line: 1, reason: 'expected a list "rules:"'});
  const unknownKeys = root.items
    .map(pair => String(pair.key))
    .filter(key => key !== RULES_KEY);
  if (unknownKeys.length > 0) {
    return err({line: 1, reason: `unknown key "${unknownKeys[0]}"`});
  }
  const items = root.get(RULES_KEY, true);
  if (isSeq(items)) return ok(items);
  return err({line: 1, reason: 'expected a list "rules:"'});
}

function readRule(
  item: unknown,
  lines: LineCounter,
): Result<AttributedRule, RuleFault[]> {
  if (!isMap(item) || !item.range) {
    return err([{line: 1, reason: 'expected a rule in braces'}]);
  }
  const line = lines.linePos(item.range[0]).line;
  const lastLine = lines.linePos(item.range[1] - 1).line;
  if (!item.flow || lastLine !== line) {
    return err([{line, reason: 'a rule must be in braces on a single line'}]);
  }
  const askedBy = item.comment?.trim() ?? '';
  if (askedBy === '') {
    const reason = 'a comment after the rule must name who requested it';
    return err([{line, reason}]);
  }
  return parseRule(item, askedBy, line);
}

function parseRule(
  item: YAMLMap,
  askedBy: string,
  line: number,
): Result<AttributedRule, RuleFault[]> {
  const value = item.toJSON() as Record<string, unknown>;
  const kind = String(value.kind);
  if (!isRuleKind(kind)) {
    const knownKinds = Object.keys(RULE_SCHEMAS).join(', ');
    const reason = `unknown kind "${kind}"; known kinds: ${knownKinds}`;
    return err([{line, reason}]);
  }
  const parsed = RULE_SCHEMAS[kind].safeParse(value);
  if (!parsed.success) {
    return err(
      parsed.error.issues.map(issue => ({
        line,
        reason: `${issue.path.join('.') || kind}: ${issue.message}`,
      })),
    );
  }
  const rule = parsed.data;
  return ok(ATTRIBUTED_RULE_SCHEMA.parse({rule, askedBy, line}));
}
