/**
 * Brings newer rules revisions into a node: from the platform's object API,
 * from peers whose heartbeats carry a higher revision, and from entries that
 * offer theirs. Says when the node may work under what it holds.
 */
import {
  Clock,
  RULES_HEAD_KEY,
  RULES_HEAD_SCHEMA,
  RULES_REVISION_SCHEMA,
  RandomSource,
  RulesHolder,
  RulesRevision,
  RulesReadiness,
  ServiceError,
} from '@sassafrasspan/core';
import type {
  FetchRulesReply,
  OfferRulesReply,
  OfferRulesRequest,
} from '@sassafrasspan/nodes';
import {parseHeadRevision} from '@sassafrasspan/operators';
import type {ObjectStore, StoredObject} from '@sassafrasspan/platform';
import {EventLog, describeError} from '@sassafrasspan/runtime';
import type {Result} from 'neverthrow';
import {ObjectWatch} from './object_watch';

/** With the call timeout on top, well under the 9 s that rules have. */
const LATEST_REVISION_WAIT_MS = 3_000;

/** A peer that can hand over its rules. */
export interface RulesPeer {
  fetchRules(newerThan: number): Promise<Result<FetchRulesReply, ServiceError>>;
}

/** What a feed is built from. */
export interface RulesFeedOptions {
  readonly store: ObjectStore;
  readonly holder: RulesHolder;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** Mean time between reads of the head; undefined to watch it. */
  readonly pollIntervalMs?: number;
}

/** Keeps the rules of a node up to date. */
export class RulesFeed {
  private readonly watch: ObjectWatch;
  private readonly readiness: RulesReadiness;
  private isFetching = false;

  private constructor(private readonly options: RulesFeedOptions) {
    this.readiness = RulesReadiness.create(options.clock.readMonotonicMs());
    this.watch = ObjectWatch.create({
      ...options,
      key: RULES_HEAD_KEY,
      watchWaitMs: LATEST_REVISION_WAIT_MS,
      listener: object => this.applyLatestRevision(object),
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

  /** Tells whether the node may work under the rules it holds. */
  isReady(): boolean {
    const ownRevision = this.options.holder.getRevisionNumber();
    const nowMs = this.options.clock.readMonotonicMs();
    return this.readiness.checkReady(ownRevision, nowMs);
  }

  /** Takes a head. A damaged one stays out until a newer head replaces it. */
  private async applyLatestRevision(object: StoredObject): Promise<boolean> {
    const latest = RULES_HEAD_SCHEMA.safeParse(object.value);
    if (!latest.success) {
      this.rejectRevision(latest.error.message);
      return true;
    }
    const revision = parseHeadRevision(latest.data);
    if (revision.isErr()) this.rejectRevision(revision.error.detail);
    else this.offerRevision(revision.value, 'platform');
    this.readiness.recordLatestRevision(
      this.options.holder.getRevisionNumber(),
    );
    return true;
  }

  /** Notes the revision of a peer that begins to watch this node. */
  recordPeerRevision(revision: number): void {
    this.readiness.recordPeerRevision(revision);
  }

  /** Fetches the rules of a peer that says it holds a newer revision. */
  async fetchNewerRules(peer: RulesPeer, peerRevision: number): Promise<void> {
    this.readiness.recordPeerRevision(peerRevision);
    const ownRevision = this.options.holder.getRevisionNumber();
    if (peerRevision <= ownRevision || this.isFetching) return;
    this.isFetching = true;
    const reply = await peer.fetchRules(ownRevision);
    this.isFetching = false;
    if (reply.isOk()) this.applyReply(reply.value);
  }

  /** Takes a revision that an entry offers. */
  acceptOffer(offer: OfferRulesRequest): OfferRulesReply {
    this.readiness.recordPeerRevision(offer.revision);
    this.applyJson(offer.bodyJson);
    return {revision: this.options.holder.getRevisionNumber()};
  }

  private applyReply(reply: FetchRulesReply): void {
    if (reply.bodyJson !== '') this.applyJson(reply.bodyJson);
  }

  private applyJson(bodyJson: string): void {
    try {
      const parsed = RULES_REVISION_SCHEMA.safeParse(JSON.parse(bodyJson));
      if (parsed.success) this.offerRevision(parsed.data, 'peer');
      else this.rejectRevision(parsed.error.message);
    } catch (error) {
      this.rejectRevision(describeError(error));
    }
  }

  private rejectRevision(detail: string): void {
    this.options.log.writeEvent('rules-rejected', {detail});
  }

  private offerRevision(value: RulesRevision, source: string): void {
    if (!this.options.holder.offerRevision(value)) return;
    const {revision} = value;
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
