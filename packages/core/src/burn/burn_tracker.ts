/**
 * Tracks the burn of every promise in force in a process. A promise is a
 * service-level objective set by a rule; its burn is the rate at which bad
 * events consume the objective's error budget. A rule that a new revision
 * leaves unchanged keeps its counts.
 */
import type {ErrorKind} from '../errors/error_kinds';
import type {RuleSet} from '../rules/rule_set';
import type {
  AttributedRule,
  Rule,
  RuleKind,
  RuleOf,
} from '../rules/rule_schemas';
import {BurnCounter, WindowCount} from './burn_counter';
import {isCallerFault} from './caller_faults';
import {formatCallSubject, describePromise} from './promise_kinds';

const MS_PER_SECOND = 1_000;

/** A call that has ended. */
export interface EndedCall {
  readonly customer: string;
  readonly service: string;
  readonly durationMs: number;
  /** Why the call failed; undefined after a complete answer. */
  readonly kind: ErrorKind | undefined;
}

/** A promise and its event counts. */
export interface PromiseCount {
  readonly id: string;
  readonly kind: RuleKind;
  readonly askedBy: string;
  readonly text: string;
  /** Share of events that must be good; undefined if events aren't counted. */
  readonly objective: number | undefined;
  readonly windows: readonly WindowCount[];
}

/** A promise in force whose events are counted. */
interface TrackedPromise {
  readonly definition: string;
  readonly rule: Rule;
  readonly counter: BurnCounter;
}

/** Returns whether an event complies with a rule. */
type Predicate<K extends RuleKind> = (rule: RuleOf<K>) => boolean;

/** Counts the events of all promises in force. */
export class BurnTracker {
  private ruleSet: RuleSet | undefined;
  private promises = new Map<string, TrackedPromise[]>();

  private constructor(private readonly getRuleSet: () => RuleSet | undefined) {}

  /** `getRuleSet` returns the rules in force; it is read at every event. */
  static create(getBook: () => RuleSet | undefined): BurnTracker {
    return new BurnTracker(getBook);
  }

  /** Counts a call, unless it failed through a fault of its caller. */
  recordCall(call: EndedCall, nowMs: number): void {
    if (isCallerFault(call.kind)) return;
    const subject = formatCallSubject(call.customer, call.service);
    const isAnswered = call.kind === undefined;
    this.countEvents('latency', subject, nowMs, [
      rule => isAnswered && call.durationMs <= rule.withinMs,
    ]);
  }

  /** Counts delivered samples; ages are in versions. */
  recordSamples(trainer: string, ages: readonly number[], nowMs: number): void {
    const predicates = ages.map(
      (age): Predicate<'staleness'> =>
        rule =>
          age <= rule.maxVersions,
    );
    this.countEvents('staleness', trainer, nowMs, predicates);
  }

  /** Counts a step that its trainer has received completely. */
  recordStep(trainer: string, durationMs: number, nowMs: number): void {
    this.countEvents('step-time', trainer, nowMs, [
      rule => durationMs <= rule.withinS * MS_PER_SECOND,
    ]);
  }

  /** Counts a published version once all engines run it or it is overdue. */
  recordWeights(service: string, durationMs: number, nowMs: number): void {
    this.countEvents('weights-within', service, nowMs, [
      rule => durationMs <= rule.withinMs,
    ]);
  }

  private countEvents<K extends RuleKind>(
    kind: K,
    subject: string,
    nowMs: number,
    predicates: ReadonlyArray<Predicate<K>>,
  ): void {
    this.refresh();
    if (predicates.length === 0) return;
    for (const {rule, counter} of this.promises.get(kind + subject) ?? []) {
      const good = predicates.filter(predicate =>
        predicate(rule as RuleOf<K>),
      ).length;
      counter.addEvents(good, predicates.length - good, nowMs);
    }
  }

  /** Applies the rules in force if they have changed. */
  private refresh(): void {
    const ruleSet = this.getRuleSet();
    if (ruleSet === this.ruleSet || ruleSet === undefined) return;
    const counters = new Map(
      [...this.promises.values()]
        .flat()
        .map(promise => [promise.definition, promise.counter]),
    );
    this.ruleSet = ruleSet;
    this.promises = new Map();
    for (const {rule} of ruleSet.attributedRules) {
      const promise = describePromise(rule);
      if (promise === undefined) continue;
      const key = rule.kind + promise.subject;
      const definition = JSON.stringify(rule);
      const counter = counters.get(definition) ?? BurnCounter.create();
      const sameSubject = this.promises.get(key) ?? [];
      this.promises.set(key, [...sameSubject, {definition, rule, counter}]);
    }
  }

  /** Lists every active rule with its counts, in the order of the file. */
  listPromises(nowMs: number): PromiseCount[] {
    this.refresh();
    const counters = new Map(
      [...this.promises.values()]
        .flat()
        .map(promise => [promise.rule.id, promise.counter]),
    );
    return (this.ruleSet?.attributedRules ?? []).map(attributedRule =>
      createPromiseCount(
        attributedRule,
        counters.get(attributedRule.rule.id),
        nowMs,
      ),
    );
  }
}

function createPromiseCount(
  {rule, askedBy}: AttributedRule,
  counter: BurnCounter | undefined,
  nowMs: number,
): PromiseCount {
  const promise = describePromise(rule);
  return {
    id: rule.id,
    kind: rule.kind,
    askedBy,
    text: promise?.text ?? 'enforced at each node, nothing to count',
    objective: promise?.objective,
    windows: counter?.listWindows(nowMs) ?? [],
  };
}
