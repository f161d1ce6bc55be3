/**
 * Lookups in one rules revision. The indexes are built once, when the revision
 * becomes active.
 */
import type {
  AttributedRule,
  Rule,
  RuleKind,
  RuleOf,
  RulesRevision,
} from './rule_schemas';

const DEFAULT_PRIORITY = 5;
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);

/** Where a customer's work on a service may run. */
export interface DomainPlacement {
  /** Failure domains that may run the work; undefined for any. */
  readonly allowed: readonly string[] | undefined;
  /** Failure domains used only when the entry's own is busy. */
  readonly spill: readonly string[];
}

/** The rules that are active in a process. */
export class RuleSet {
  private constructor(
    readonly revision: number,
    readonly attributedRules: readonly AttributedRule[],
    private readonly customersByKey: ReadonlyMap<string, string>,
    private readonly pools: ReadonlyMap<string, RuleOf<'pool'>>,
    private readonly trainers: ReadonlyMap<string, RuleOf<'trainer'>>,
  ) {}

  /** Indexes a revision. */
  static create(revision: RulesRevision): RuleSet {
    const rules = revision.rules.map(({rule}) => rule);
    return new RuleSet(
      revision.revision,
      revision.rules,
      new Map(
        selectRules(rules, 'api-key').map(rule => [rule.sha256, rule.customer]),
      ),
      new Map(selectRules(rules, 'pool').map(rule => [rule.service, rule])),
      new Map(selectRules(rules, 'trainer').map(rule => [rule.trainer, rule])),
    );
  }

  listRules<K extends RuleKind>(kind: K): RuleOf<K>[] {
    return selectRules(
      this.attributedRules.map(({rule}) => rule),
      kind,
    );
  }

  /** Returns the customer of an API key, given its SHA-256 in hexadecimal. */
  findCustomer(keySha256: string): string | undefined {
    return this.customersByKey.get(keySha256);
  }

  findPool(service: string): RuleOf<'pool'> | undefined {
    return this.pools.get(service);
  }

  findTrainer(trainer: string): RuleOf<'trainer'> | undefined {
    return this.trainers.get(trainer);
  }

  /** Returns how many versions old a trainer's samples may be, if bounded. */
  getStalenessBound(trainer: string): number | undefined {
    const rule = this.listRules('staleness').find(
      candidate => candidate.trainer === trainer,
    );
    return rule?.maxVersions;
  }

  /** Returns the priority of a customer's work; 0 is served first. */
  getPriority(customer: string, service: string): number {
    const rule = findMostSpecific(
      this.listRules('priority'),
      customer,
      service,
    );
    return rule?.priority ?? DEFAULT_PRIORITY;
  }

  /** Returns the customer's guaranteed share of a service, from 0 to 1. */
  getShare(customer: string, service: string): number {
    const rule = findMostSpecific(this.listRules('share'), customer, service);
    return (rule?.percent ?? 0) / 100;
  }

  /** Returns the guaranteed shares of a service by customer, from 0 to 1. */
  listShares(service: string): ReadonlyMap<string, number> {
    const rules = this.listRules('share').filter(
      rule => rule.service === service,
    );
    return new Map(rules.map(rule => [rule.customer, rule.percent / 100]));
  }

  /** Returns where a customer's work on a service may run. */
  getPlacement(customer: string, service: string): DomainPlacement {
    const rule = findMostSpecific(this.listRules('domains'), customer, service);
    return {allowed: rule?.allowed, spill: rule?.spill ?? []};
  }

  /** Returns the limits that apply to a customer's use of a service. */
  listLimits(customer: string, service: string): RuleOf<'limit'>[] {
    return this.listRules('limit').filter(
      rule => rule.customer === customer && matchesService(rule, service),
    );
  }

  /**
   * Returns whether a call of a plain service (an HTTP service that is not a
   * model engine) may be repeated.
   */
  isIdempotent(service: string, method: string, path: string): boolean {
    const forbidden = this.listRules('non-idempotent').some(
      rule =>
        rule.service === service &&
        rule.method === method &&
        path.startsWith(rule.pathPrefix),
    );
    return !forbidden && IDEMPOTENT_METHODS.has(method);
  }
}

function selectRules<K extends RuleKind>(
  rules: readonly Rule[],
  kind: K,
): RuleOf<K>[] {
  return rules.filter((rule): rule is RuleOf<K> => rule.kind === kind);
}

/** A rule that applies to a customer on one service, or on all services if it
 * names none. */
interface CustomerRule {
  readonly customer: string;
  readonly service?: string;
}

function matchesService(rule: CustomerRule, service: string): boolean {
  return rule.service === undefined || rule.service === service;
}

/** Finds the customer's rule; one that names the service takes precedence. */
function findMostSpecific<T extends CustomerRule>(
  rules: readonly T[],
  customer: string,
  service: string,
): T | undefined {
  const own = rules.filter(
    rule => rule.customer === customer && matchesService(rule, service),
  );
  return own.find(rule => rule.service !== undefined) ?? own[0];
}
