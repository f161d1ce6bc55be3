/**
 * The counters of every promise in force in a process. A rule that a new
 * revision leaves unchanged keeps its counters.
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
  /** Why it failed; undefined after a whole answer. */
  readonly kind: ErrorKind | undefined;
}

/** A promise with its events. */
export interface PromiseCount {
  readonly id: string;
  readonly kind: RuleKind;
  readonly askedBy: string;
  readonly text: string;
  /** Share of events that must be good; undefined when none are counted. */
  readonly objective: number | undefined;
  readonly windows: readonly WindowCount[];
}

/** A counted promise that is in force. */
interface TrackedPromise {
  readonly definition: string;
  readonly rule: Rule;
  readonly counter: BurnCounter;
}

/** Tells whether an event keeps a rule. */
type Predicate<K extends RuleKind> = (rule: RuleOf<K>) => boolean;

/** Counts the events of all promises. */
export class BurnTracker {
  private ruleSet: RuleSet | undefined;
  private promises = new Map<string, TrackedPromise[]>();

  private constructor(private readonly getRuleSet: () => RuleSet | undefined) {}

  /** Builds counters for whatever rules are in force. */
  static create(getBook: () => RuleSet | undefined): BurnTracker {
    return new BurnTracker(getBook);
  }

  /** Counts a call; one that its caller is to blame for is left out. */
  recordCall(call: EndedCall, nowMs: number): void {
    if (isCallerFault(call.kind)) return;
    const subject = formatCallSubject(call.customer, call.service);
    const isAnswered = call.kind === undefined;
    this.countEvents('latency', subject, nowMs, [
      rule => isAnswered && call.durationMs <= rule.withinMs,
    ]);
  }

  /** Counts delivered samples by their age in versions. */
  recordSamples(trainer: string, ages: readonly number[], nowMs: number): void {
    const judges = ages.map(
      (age): Predicate<'staleness'> =>
        rule =>
          age <= rule.maxVersions,
    );
    this.countEvents('staleness', trainer, nowMs, judges);
  }

  /** Counts a step that its trainer has received whole. */
  recordStep(trainer: string, durationMs: number, nowMs: number): void {
    this.countEvents('step-time', trainer, nowMs, [
      rule => durationMs <= rule.withinS * MS_PER_SECOND,
    ]);
  }

  /** Counts a published version that all engines run, or that is overdue. */
  recordWeights(service: string, durationMs: number, nowMs: number): void {
    this.countEvents('weights-within', service, nowMs, [
      rule => durationMs <= rule.withinMs,
    ]);
  }

  private countEvents<K extends RuleKind>(
    kind: K,
    subject: string,
    nowMs: number,
    judges: ReadonlyArray<Predicate<K>>,
  ): void {
    this.refresh();
    if (judges.length === 0) return;
    for (const {rule, counter} of this.promises.get(kind + subject) ?? []) {
      const good = judges.filter(judge => judge(rule as RuleOf<K>)).length;
      counter.addEvents(good, judges.length - good, nowMs);
    }
  }

  /** Takes up a newer revision, if there is one. */
  private refresh(): void {
    const book = this.getRuleSet();
    if (book === this.ruleSet || book === undefined) return;
    const known = new Map(
      [...this.promises.values()]
        .flat()
        .map(promise => [promise.definition, promise.counter]),
    );
    this.ruleSet = book;
    this.promises = new Map();
    for (const {rule} of book.entries) {
      const promise = describePromise(rule);
      if (promise === undefined) continue;
      const key = rule.kind + promise.subject;
      const definition = JSON.stringify(rule);
      const counter = known.get(definition) ?? BurnCounter.create();
      const group = this.promises.get(key) ?? [];
      this.promises.set(key, [...group, {definition, rule, counter}]);
    }
  }

  /** Lists every rule in force with its events, in the order of the file. */
  listPromises(nowMs: number): PromiseCount[] {
    this.refresh();
    const counters = new Map(
      [...this.promises.values()]
        .flat()
        .map(promise => [promise.rule.id, promise.counter]),
    );
    return (this.ruleSet?.entries ?? []).map(entry =>
      createPromiseCount(entry, counters.get(entry.rule.id), nowMs),
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
