/**
 * The rules file: YAML, one rule a line, each with a trailing comment that
 * names who asked for it.
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

/** Reads and checks the text of a rules file. */
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
  const entries = results.flatMap(result =>
    result.isOk() ? [result.value] : [],
  );
  const all = [...faults, ...checkRules(entries)];
  return all.length === 0 ? ok(entries) : err(sortFaults(all));
}

function sortFaults(faults: readonly RuleFault[]): RuleFault[] {
  return [...faults].sort((a, b) => a.line - b.line);
}

function readItems(document: Document.Parsed): Result<YAMLSeq, RuleFault> {
  const root = document.contents;
  if (!isMap(root)) return err({line: 1, reason: 'expected a list "rules:"'});
  const others = root.items
    .map(pair => String(pair.key))
    .filter(key => key !== RULES_KEY);
  if (others.length > 0) {
    return err({line: 1, reason: `unknown key "${others[0]}"`});
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
    return err([{line, reason: 'a rule stands in braces on one line'}]);
  }
  const askedBy = item.comment?.trim() ?? '';
  if (askedBy === '') {
    const reason = 'a comment behind the rule must name who asked for it';
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
    const known = Object.keys(RULE_SCHEMAS).join(', ');
    const reason = `unknown kind "${kind}"; known kinds: ${known}`;
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
