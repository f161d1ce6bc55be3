/**
 * The rules revision that a process holds. It only ever grows.
 */
import {RuleBook} from './rule_book';
import type {RulesRevision} from './rule_schemas';

/** Called after a newer revision has come into force. */
export type RulesListener = (book: RuleBook) => void;

/** Holds the newest revision seen and tells listeners of each newer one. */
export class RulesHolder {
  private revision: RulesRevision | undefined;
  private book: RuleBook | undefined;
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
    this.book = RuleBook.create(revision);
    for (const listener of this.listeners) listener(this.book);
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
  getBook(): RuleBook | undefined {
    return this.book;
  }

  /** Registers a listener for newer revisions. */
  addListener(listener: RulesListener): void {
    this.listeners.push(listener);
  }
}
