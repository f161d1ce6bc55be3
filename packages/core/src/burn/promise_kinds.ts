/**
 * Describes the promise of each rule kind as a share of good events. Kinds
 * that are not listed are enforced at each node and have no events to count.
 */
import type {Rule, RuleKind, RuleOf} from '../rules/rule_schemas';

/** A promise that is met as long as enough of its events are good. */
export interface CountedPromise {
  /** For operators; also the key, with the id, by which reports merge counts of
   * several nodes, so builds that run together must use the same text. */
  readonly text: string;
  /** Share of events that must be good, from 0 to 1. */
  readonly objective: number;
  /** Whose events count: customer and service, trainer, or service. */
  readonly subject: string;
}

const EVERY_EVENT = 1;

/** Promises by rule kind. */
const PROMISE_DESCRIBERS: {
  readonly [K in RuleKind]?: (rule: RuleOf<K>) => CountedPromise;
} = {
  latency: rule => ({
    text: `${rule.percentile}% of calls of ${rule.customer} to ${rule.service} are answered within ${rule.withinMs} ms`,
    objective: rule.percentile / 100,
    subject: formatCallSubject(rule.customer, rule.service),
  }),
  staleness: rule => ({
    text: `samples for ${rule.trainer} are at most ${rule.maxVersions} versions old`,
    objective: EVERY_EVENT,
    subject: rule.trainer,
  }),
  'step-time': rule => ({
    text: `steps of ${rule.trainer} are whole within ${rule.withinS} s`,
    objective: EVERY_EVENT,
    subject: rule.trainer,
  }),
  'weights-within': rule => ({
    text: `every engine of ${rule.service} runs new weights within ${rule.withinMs} ms`,
    objective: EVERY_EVENT,
    subject: rule.service,
  }),
};

/** Returns the promise of a rule; undefined if its events aren't counted. */
export function describePromise(rule: Rule): CountedPromise | undefined {
  const describe = PROMISE_DESCRIBERS[rule.kind] as
    ((value: Rule) => CountedPromise) | undefined;
  return describe?.(rule);
}

/** Returns the subject of a customer's calls to a service. */
export function formatCallSubject(customer: string, service: string): string {
  return `${customer} ${service}`;
}
