/**
 * Checks across rules: duplicate ids, conflicting rules, and names that no
 * other rule defines.
 */
import type {AttributedRule, RuleKind, RuleOf} from './rule_schemas';

/** An error in a rules file. */
export interface RuleFault {
  /** Line of the rules file, from 1. */
  readonly line: number;
  readonly reason: string;
}

type Check = (entries: readonly AttributedRule[]) => RuleFault[];

const MAX_TOTAL_PERCENT = 100;

/** All checks, in the order in which their faults are listed. */
const CHECKS: readonly Check[] = [
  checkIds,
  checkSameSubject,
  checkApiKeys,
  checkShares,
  checkKnownServices,
  checkKnownTrainers,
  checkSpillDomains,
  checkLimitFields,
];

/** Returns the faults of a set of rules; empty if the set is valid. */
export function checkRules(entries: readonly AttributedRule[]): RuleFault[] {
  return CHECKS.flatMap(check => check(entries));
}

function checkIds(entries: readonly AttributedRule[]): RuleFault[] {
  return findDuplicates(
    entries,
    entry => entry.rule.id,
    (key, line) => `id "${key}" is already used on line ${line}`,
  );
}

/**
 * Returns the key that must be unique among rules of a kind; undefined if any
 * number of rules may apply to the same subject.
 */
const SUBJECT_READERS: {
  [K in RuleKind]: (rule: RuleOf<K>) => string | undefined;
} = {
  'api-key': () => undefined,
  pool: rule => rule.service,
  trainer: rule => rule.trainer,
  latency: rule => `${rule.customer} ${rule.service} p${rule.percentile}`,
  staleness: rule => rule.trainer,
  share: rule => `${rule.customer} ${rule.service}`,
  limit: rule => `${rule.customer} ${rule.service ?? '*'}`,
  priority: rule => `${rule.customer} ${rule.service ?? '*'}`,
  domains: rule => `${rule.customer} ${rule.service ?? '*'}`,
  'non-idempotent': rule => `${rule.service} ${rule.method} ${rule.pathPrefix}`,
  'step-time': rule => rule.trainer,
  'weights-within': rule => rule.service,
};

function getSubject(entry: AttributedRule): string | undefined {
  const {rule} = entry;
  const read = SUBJECT_READERS[rule.kind] as (value: typeof rule) => string;
  const subject = read(rule);
  return subject === undefined ? undefined : `${rule.kind} of ${subject}`;
}

function checkSameSubject(entries: readonly AttributedRule[]): RuleFault[] {
  return findDuplicates(
    entries,
    getSubject,
    (key, line) => `${key} is already defined on line ${line}`,
  );
}

function checkApiKeys(entries: readonly AttributedRule[]): RuleFault[] {
  return findDuplicates(
    entries,
    ({rule}) => (rule.kind === 'api-key' ? rule.sha256 : undefined),
    (_key, line) => `the same API key is already used on line ${line}`,
  );
}

function checkShares(entries: readonly AttributedRule[]): RuleFault[] {
  const totals = new Map<string, number>();
  const faults: RuleFault[] = [];
  for (const {rule, line} of entries) {
    if (rule.kind !== 'share') continue;
    const total = (totals.get(rule.service) ?? 0) + rule.percent;
    totals.set(rule.service, total);
    if (total <= MAX_TOTAL_PERCENT) continue;
    const reason = `shares of ${rule.service} add up to ${total} percent`;
    faults.push({line, reason});
  }
  return faults;
}

function checkKnownServices(entries: readonly AttributedRule[]): RuleFault[] {
  const known = new Set(
    entries.flatMap(({rule}) => (rule.kind === 'pool' ? [rule.service] : [])),
  );
  return entries.flatMap(({rule, line}) => {
    if (!('service' in rule) || rule.service === undefined) return [];
    if (known.has(rule.service)) return [];
    return [{line, reason: `no pool rule defines service "${rule.service}"`}];
  });
}

function checkKnownTrainers(entries: readonly AttributedRule[]): RuleFault[] {
  const known = new Set(
    entries.flatMap(({rule}) =>
      rule.kind === 'trainer' ? [rule.trainer] : [],
    ),
  );
  return entries.flatMap(({rule, line}) => {
    if (!('trainer' in rule) || known.has(rule.trainer)) return [];
    return [{line, reason: `no trainer rule defines "${rule.trainer}"`}];
  });
}

function checkSpillDomains(entries: readonly AttributedRule[]): RuleFault[] {
  return entries.flatMap(({rule, line}) => {
    if (rule.kind !== 'domains') return [];
    const outside = rule.spill.filter(name => !rule.allowed.includes(name));
    return outside.map(name => ({
      line,
      reason: `spill domain "${name}" is not among the allowed domains`,
    }));
  });
}

function checkLimitFields(entries: readonly AttributedRule[]): RuleFault[] {
  return entries.flatMap(({rule, line}) => {
    if (rule.kind !== 'limit') return [];
    const bounds = [
      rule.requestsPerSecond,
      rule.tokensPerSecond,
      rule.concurrent,
    ];
    if (bounds.some(bound => bound !== undefined)) return [];
    const reason =
      'a limit needs requestsPerSecond, tokensPerSecond or concurrent';
    return [{line, reason}];
  });
}

/** Returns a fault for each entry that repeats the key of an earlier one. */
function findDuplicates(
  entries: readonly AttributedRule[],
  readKey: (entry: AttributedRule) => string | undefined,
  describe: (key: string, line: number) => string,
): RuleFault[] {
  const lines = new Map<string, number>();
  const faults: RuleFault[] = [];
  for (const entry of entries) {
    const key = readKey(entry);
    if (key === undefined) continue;
    const earlier = lines.get(key);
    if (earlier === undefined) lines.set(key, entry.line);
    else faults.push({line: entry.line, reason: describe(key, earlier)});
  }
  return faults;
}
