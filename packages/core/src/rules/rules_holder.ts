/** Holds a process's rules revision, whose number only increases. */
import {RuleSet} from './rule_set';
import type {RulesRevision} from './rule_schemas';

/** Called after a newer revision has come into force. */
export type RulesListener = (ruleSet: RuleSet) => void;

/** Holds the newest revision received and notifies listeners of each change. */
export class RulesHolder {
  private revision: RulesRevision | undefined;
  private ruleSet: RuleSet | undefined;
  private readonly listeners: RulesListener[] = [];

  private constructor() {}

  static create(): RulesHolder {
    return new RulesHolder();
  }

  /** Applies a revision if it is newer, and returns whether it was. */
  offerRevision(revision: RulesRevision): boolean {
    if (revision.revision <= this.getRevisionNumber()) return false;
    this.revision = revision;
    this.ruleSet = RuleSet.create(revision);
    for (const listener of this.listeners) listener(this.ruleSet);
    return true;
  }

  /** Returns the number of the revision; 0 before the first. */
  getRevisionNumber(): number {
    return this.revision?.revision ?? 0;
  }

  /** Returns the revision; undefined before the first. */
  getRevision(): RulesRevision | undefined {
    return this.revision;
  }

  /** Returns the revision's rules for lookup; undefined before the first. */
  getRuleSet(): RuleSet | undefined {
    return this.ruleSet;
  }

  /** Registers a listener for newer revisions. */
  addListener(listener: RulesListener): void {
    this.listeners.push(listener);
  }
}
