/**
 * What each kind of rule promises, as a share of good events. Kinds without
 * events of their own are enforced at each node instead of counted.
 */
import type {Rule, RuleKind, RuleOf} from '../rules/rule_schemas';

/** A promise that is kept as long as enough of its events are good. */
export interface CountedPromise {
  /** What is promised, in words. */
  readonly text: string;
  /** Share of events that must be good, from 0 to 1. */
  readonly objective: number;
  /** Whose events count: customer and service, trainer, or service. */
  readonly subject: string;
}

const EVERY_EVENT = 1;

/** Reads the promise of each counted kind. */
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

/** Returns the promise of a rule; undefined when it is not counted. */
export function describePromise(rule: Rule): CountedPromise | undefined {
  const read = PROMISE_DESCRIBERS[rule.kind] as
    ((value: Rule) => CountedPromise) | undefined;
  return read?.(rule);
}

/** Returns the subject of calls of a customer to a service. */
export function formatCallSubject(customer: string, service: string): string {
  return `${customer} ${service}`;
}
