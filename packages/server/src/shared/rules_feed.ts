/**
 * Receives newer rules revisions at a node: from the platform's object API, from
 * peers whose heartbeats carry a higher revision, and from entries that offer
 * theirs. Determines when the node's rules are recent enough to work under.
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

/**
 * Together with the call timeout well below the 9 s within which rules must be
 * in force.
 */
const LATEST_REVISION_WAIT_MS = 3_000;

/** A peer from which rules can be fetched. */
export interface RulesPeer {
  fetchRules(newerThan: number): Promise<Result<FetchRulesReply, ServiceError>>;
}

export interface RulesFeedOptions {
  readonly store: ObjectStore;
  readonly holder: RulesHolder;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /**
   * Mean time between reads of the pointer to the latest revision; undefined to
   * watch it by long polls.
   */
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

  static create(options: RulesFeedOptions): RulesFeed {
    return new RulesFeed(options);
  }

  /** Starts to watch the pointer to the latest revision. */
  start(): void {
    void this.watch.run();
  }

  stop(): void {
    this.watch.stop();
  }

  /** Returns whether the node may work under the rules that it has. */
  isReady(): boolean {
    const ownRevision = this.options.holder.getRevisionNumber();
    const nowMs = this.options.clock.readMonotonicMs();
    return this.readiness.checkReady(ownRevision, nowMs);
  }

  /**
   * Applies the revision in the pointer to the latest one. An invalid pointer is
   * logged and counts as applied, so it isn't read again until it changes.
   */
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

  /** Records the revision of a peer that starts to watch this node. */
  recordPeerRevision(revision: number): void {
    this.readiness.recordPeerRevision(revision);
  }

  /** Records a peer's revision and fetches its rules if they are newer. */
  async fetchNewerRules(peer: RulesPeer, peerRevision: number): Promise<void> {
    this.readiness.recordPeerRevision(peerRevision);
    const ownRevision = this.options.holder.getRevisionNumber();
    if (peerRevision <= ownRevision || this.isFetching) return;
    this.isFetching = true;
    const reply = await peer.fetchRules(ownRevision);
    this.isFetching = false;
    if (reply.isOk()) this.applyReply(reply.value);
  }

  /** Applies a revision that an entry offers, if it is newer. */
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

/** Creates the reply to a peer's request; without a body if none is newer. */
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
