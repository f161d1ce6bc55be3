/**
 * The rules revision that a process holds. It only ever grows.
 */
import {RuleSet} from './rule_set';
import type {RulesRevision} from './rule_schemas';

/** Called after a newer revision has come into force. */
export type RulesListener = (book: RuleSet) => void;

/** Holds the newest revision seen and tells listeners of each newer one. */
export class RulesHolder {
  private revision: RulesRevision | undefined;
  private ruleSet: RuleSet | undefined;
  private readonly listeners: RulesListener[] = [];

  private constructor() {}

  /** Builds a holder without rules. */
  static create(): RulesHolder {
    return new RulesHolder();
  }

  /** Takes a revision if it is newer; tells whether it was. */
  offerRevision(revision: RulesRevision): boolean {
    if (revision.revision <= this.getRevisionNumber()) return false;
    this.revision = revision;
    this.ruleSet = RuleSet.create(revision);
    for (const listener of this.listeners) listener(this.ruleSet);
    return true;
  }

  /** Returns the number of the revision held; 0 without one. */
  getRevisionNumber(): number {
    return this.revision?.revision ?? 0;
  }

  /** Returns the revision held. */
  getRevision(): RulesRevision | undefined {
    return this.revision;
  }

  /** Returns the lookups of the revision held. */
  getRuleSet(): RuleSet | undefined {
    return this.ruleSet;
  }

  /** Registers a listener for newer revisions. */
  addListener(listener: RulesListener): void {
    this.listeners.push(listener);
  }
}
