/**
 * Brings newer rules revisions into a node: from the platform's object API,
 * and from peers whose heartbeats carry a higher revision.
 */
import {
  RULES_HEAD_KEY,
  RULES_HEAD_SCHEMA,
  RULES_REVISION_SCHEMA,
  RandomSource,
  RulesHolder,
  ServiceError,
} from '@sassafrasspan/core';
import type {FetchRulesReply} from '@sassafrasspan/nodes';
import {readRulesRevision} from '@sassafrasspan/operators';
import type {ObjectStore, StoredObject} from '@sassafrasspan/platform';
import {EventLog, describeError} from '@sassafrasspan/runtime';
import type {Result} from 'neverthrow';
import {ObjectWatch} from './object_watch';

/** A peer that can hand over its rules. */
export interface RulesPeer {
  fetchRules(newerThan: number): Promise<Result<FetchRulesReply, ServiceError>>;
}

/** What a feed is built from. */
export interface RulesFeedOptions {
  readonly store: ObjectStore;
  readonly holder: RulesHolder;
  readonly random: RandomSource;
  readonly log: EventLog;
}

/** Keeps the rules of a node up to date. */
export class RulesFeed {
  private readonly watch: ObjectWatch;
  private isFetching = false;

  private constructor(private readonly options: RulesFeedOptions) {
    this.watch = ObjectWatch.create({
      store: options.store,
      key: RULES_HEAD_KEY,
      random: options.random,
      log: options.log,
      listener: object => this.applyHead(object),
    });
  }

  /** Builds a feed that has not started. */
  static create(options: RulesFeedOptions): RulesFeed {
    return new RulesFeed(options);
  }

  /** Starts to follow the rules head. */
  start(): void {
    void this.watch.run();
  }

  /** Stops following. */
  stop(): void {
    this.watch.stop();
  }

  private async applyHead(object: StoredObject): Promise<boolean> {
    const head = RULES_HEAD_SCHEMA.safeParse(object.value);
    if (!head.success) return true;
    const own = this.options.holder.getRevisionNumber();
    if (head.data.revision <= own) return true;
    const found = await readRulesRevision(this.options.store, head.data);
    if (found.isErr()) return false;
    this.offerRevision(found.value, 'platform');
    return true;
  }

  /** Fetches the rules of a peer that says it holds a newer revision. */
  async followPeer(peer: RulesPeer, peerRevision: number): Promise<void> {
    const own = this.options.holder.getRevisionNumber();
    if (peerRevision <= own || this.isFetching) return;
    this.isFetching = true;
    const reply = await peer.fetchRules(own);
    this.isFetching = false;
    if (reply.isOk()) this.applyReply(reply.value);
  }

  private applyReply(reply: FetchRulesReply): void {
    if (reply.bodyJson === '') return;
    try {
      this.offerRevision(JSON.parse(reply.bodyJson), 'peer');
    } catch (error) {
      const detail = describeError(error);
      this.options.log.writeEvent('rules-rejected', {detail});
    }
  }

  private offerRevision(value: unknown, source: string): void {
    const parsed = RULES_REVISION_SCHEMA.safeParse(value);
    if (!parsed.success) {
      const detail = parsed.error.message;
      this.options.log.writeEvent('rules-rejected', {detail});
      return;
    }
    if (!this.options.holder.offerRevision(parsed.data)) return;
    const {revision} = parsed.data;
    this.options.log.writeEvent('rules-in-force', {revision, source});
  }
}

/** Answers a peer that asks for newer rules. */
export function createRulesReply(
  holder: RulesHolder,
  newerThan: number,
): FetchRulesReply {
  const revision = holder.getRevision();
  if (revision === undefined || revision.revision <= newerThan) {
    return {revision: holder.getRevisionNumber(), bodyJson: ''};
  }
  return {revision: revision.revision, bodyJson: JSON.stringify(revision)};
}
