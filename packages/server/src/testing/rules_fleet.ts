/**
 * Simulates a fleet over virtual time: the real rules feeds, broadcasters and
 * heartbeat streams, with simulated links and a simulated platform. Records
 * violations of two guarantees: rules are in force in time, and no node reverts
 * to an older revision.
 */
import {
  Clock,
  RULES_HEAD_KEY,
  RandomSource,
  RulesHolder,
  RulesRevision,
  ServiceError,
  createError,
  formatRulesBodyKey,
} from '@sassafrasspan/core';
import type {AgentPeer, MessageWriter} from '@sassafrasspan/nodes';
import type {ObjectStore, StoredObject} from '@sassafrasspan/platform';
import {createEventLog} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {RulesBroadcaster} from '../entry/rules_broadcaster';
import {HeartbeatStreams} from '../shared/heartbeat_streams';
import {RulesFeed, createRulesReply} from '../shared/rules_feed';

const MAX_DELAY_MS = 300;
const WATCH_POLL_MS = 100;
const CALL_TIMEOUT_MS = 2_000;
/** Time within which accepted rules must be in force. */
export const IN_FORCE_WITHIN_MS = 9_000;
const RESTART_CHECK_MS = 4_500;
const OBSERVATION_INTERVAL_MS = 50;
/** Nodes of the fleet; the last letter is the failure domain. */
export const NODES = [
  'entry-a',
  'entry-b',
  'entry-c',
  'agent-a',
  'agent-b',
  'agent-c',
];
const NO_ANSWER = createError('platform-down', 'no answer');
const LOG = createEventLog({node: 'fuzz', role: 'entry', level: 'error'});

/** Mechanisms that are enabled in a simulation. */
export interface Mechanism {
  readonly hasPeers: boolean;
  /** Whether a node waits until its rules are ready before it reports them. */
  readonly waitsUntilReady: boolean;
}

/** Restart of a node while another failure domain has old rules. */
export interface RestartPlan {
  readonly name: string;
  readonly laggingDomain: string;
}

interface NodeIncarnation {
  readonly name: string;
  readonly holder: RulesHolder;
  readonly feed: RulesFeed;
  readonly heartbeats: HeartbeatStreams<number>;
  broadcaster: RulesBroadcaster | undefined;
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

function createRevision(revision: number): RulesRevision {
  const operationId = `operation-${revision}`;
  const fields = {author: '', writtenAtMs: 0, text: '', rules: []};
  return {revision, operationId, ...fields};
}

export type AdvanceClock = (durationMs: number) => Promise<void>;

export class SimulatedFleet {
  readonly incarnations = new Map<string, NodeIncarnation>();
  readonly violations: string[] = [];
  /** Newest revision that each running incarnation has reported. */
  private readonly newestReported = new Map<string, number>();
  /** First revision that each running incarnation has reported. */
  private readonly firstReported = new Map<string, number>();
  private readonly isolatedDomains = new Set<string>();
  private readonly clock: Clock = {
    readMonotonicMs: () => Date.now(),
    readWallMs: () => Date.now(),
  };
  private acceptedRevision = 1;
  private connectionGeneration = 0;
  private isPlatformDown = false;

  constructor(
    private readonly mechanism: Mechanism,
    private readonly random: RandomSource,
    private readonly advanceClock: AdvanceClock,
  ) {
    for (const name of NODES) this.startNode(name);
  }

  private startNode(name: string): void {
    const holder = RulesHolder.create();
    const isEntry = name.startsWith('entry');
    const feed = RulesFeed.create({
      store: this.createStore(name),
      holder,
      clock: this.clock,
      random: this.random,
      log: LOG,
      pollIntervalMs: isEntry ? undefined : 60_000,
    });
    const heartbeats = HeartbeatStreams.create(() =>
      holder.getRevisionNumber(),
    );
    holder.addListener(() => heartbeats.sendNow());
    const options = {self: name, rules: holder, feed, random: this.random};
    const broadcaster = isEntry ? RulesBroadcaster.create(options) : undefined;
    const node = {name, holder, feed, heartbeats, broadcaster};
    this.incarnations.set(name, node);
    feed.start();
    if (!this.mechanism.hasPeers) return;
    for (const other of this.incarnations.values()) {
      if (other === node) continue;
      if (other.broadcaster !== undefined) this.watchNode(other, node);
      if (isEntry) this.watchNode(node, other);
    }
  }

  private watchNode(watcher: NodeIncarnation, watched: NodeIncarnation): void {
    watched.feed.recordPeerRevision(watcher.holder.getRevisionNumber());
    const peer = this.createPeer(watcher, watched);
    const writer: MessageWriter<number> = {
      send: revision => void this.deliver(watcher, watched, peer, revision),
      end: () => undefined,
      addCloseListener: () => undefined,
    };
    watched.heartbeats.addWatcher(writer);
  }

  private async deliver(
    watcher: NodeIncarnation,
    watched: NodeIncarnation,
    peer: AgentPeer,
    revision: number,
  ): Promise<void> {
    await waitFor(this.random() * MAX_DELAY_MS);
    if (!this.isLinked(watcher, watched)) return;
    if (watched.broadcaster !== undefined) {
      await watcher.feed.fetchNewerRules(peer, revision);
    } else {
      watcher.broadcaster?.recordAgent(watched.name, peer, revision);
    }
  }

  private createPeer(from: NodeIncarnation, to: NodeIncarnation): AgentPeer {
    const peer: Partial<AgentPeer> = {
      fetchRules: newerThan =>
        this.call(from, to, () => createRulesReply(to.holder, newerThan)),
      offerRules: offer =>
        this.call(from, to, () => to.feed.acceptOffer(offer)),
    };
    return peer as AgentPeer;
  }

  private async call<T>(
    from: NodeIncarnation,
    to: NodeIncarnation,
    run: () => T,
  ): Promise<Result<T, ServiceError>> {
    await waitFor(this.random() * MAX_DELAY_MS);
    if (!this.isLinked(from, to)) return err(NO_ANSWER);
    const reply = run();
    await waitFor(this.random() * MAX_DELAY_MS);
    return this.isLinked(from, to) ? ok(reply) : err(NO_ANSWER);
  }

  private isLinked(a: NodeIncarnation, b: NodeIncarnation): boolean {
    const areRunning = [a, b].every(
      node => this.incarnations.get(node.name) === node,
    );
    return (
      areRunning && this.getPartition(a.name) === this.getPartition(b.name)
    );
  }

  /** Returns the name of the network partition that a node is in. */
  private getPartition(name: string): string {
    const domain = name.slice(-1);
    return this.isolatedDomains.has(domain) ? domain : 'main';
  }

  private createStore(name: string): ObjectStore {
    const isReachable = () =>
      !this.isPlatformDown && this.getPartition(name) === 'main';
    const read = async (): Promise<Result<StoredObject, ServiceError>> => {
      await waitFor(this.random() * MAX_DELAY_MS);
      return isReachable() ? ok(this.createLatestRevision()) : err(NO_ANSWER);
    };
    return {
      readObject: read,
      watchObject: async (_key, newerThan, waitMs) => {
        const connections = this.connectionGeneration;
        for (let waitedMs = 0; waitedMs < waitMs; waitedMs += WATCH_POLL_MS) {
          if (this.connectionGeneration !== connections) {
            await waitFor(waitMs - waitedMs + CALL_TIMEOUT_MS);
            return err(NO_ANSWER);
          }
          if (!isReachable() || this.acceptedRevision > newerThan) break;
          await waitFor(WATCH_POLL_MS);
        }
        return read();
      },
      listObjects: async () => err(NO_ANSWER),
      writeObject: async () => err(NO_ANSWER),
    };
  }

  private createLatestRevision(): StoredObject {
    const revision = this.acceptedRevision;
    const body = createRevision(revision);
    const {operationId} = body;
    const bodyKey = formatRulesBodyKey(revision, operationId);
    const recent = [{revision, operationId}];
    const value = {revision, operationId, bodyKey, body, recent};
    return {key: RULES_HEAD_KEY, version: revision, value};
  }

  /** Accepts the next revision, unless the platform is down. */
  acceptRevision(): void {
    if (!this.isPlatformDown) this.acceptedRevision += 1;
  }

  startOutage(): void {
    this.isPlatformDown = true;
  }

  /** Disconnects a failure domain from the other domains and the platform. */
  cutDomain(domain: string): void {
    this.isolatedDomains.add(domain);
  }

  /** Accepts a revision while every open call to the platform times out. */
  async acceptOverSilentConnections(): Promise<void> {
    this.connectionGeneration += 1;
    this.acceptRevision();
    await this.checkInForce();
  }

  /** Reconnects all failure domains. */
  healDomains(): void {
    this.isolatedDomains.clear();
  }

  /** Reconnects all failure domains and ends the platform outage. */
  healAll(): void {
    this.isolatedDomains.clear();
    this.isPlatformDown = false;
  }

  /**
   * Restarts a node during a platform outage, right after a domain with old
   * rules is connected again.
   */
  async restartBesideLagging(plan: RestartPlan): Promise<void> {
    const {name, laggingDomain} = plan;
    this.healAll();
    await this.advance(IN_FORCE_WITHIN_MS);
    this.cutDomain(laggingDomain);
    this.acceptRevision();
    await this.advance(IN_FORCE_WITHIN_MS);
    this.startOutage();
    this.healDomains();
    await this.restartNode(name);
  }

  /** Restarts a node and checks the first revision that it reports. */
  async restartNode(name: string): Promise<void> {
    const previous = this.incarnations.get(name);
    previous?.feed.stop();
    previous?.heartbeats.close();
    const newestBefore = this.newestReported.get(name) ?? 0;
    const isKnownElsewhere = this.findNewestReachable(name) >= newestBefore;
    this.newestReported.delete(name);
    this.firstReported.delete(name);
    this.startNode(name);
    await this.advance(RESTART_CHECK_MS);
    const after = this.firstReported.get(name);
    if (!isKnownElsewhere || after === undefined) return;
    if (after >= newestBefore) return;
    this.violations.push(`reverted: ${name} from ${newestBefore} to ${after}`);
  }

  /** Returns the newest revision that a node could receive. */
  private findNewestReachable(name: string): number {
    const partition = this.getPartition(name);
    const entries = [...this.incarnations.values()].filter(
      node => node.broadcaster !== undefined && node.name !== name,
    );
    const revisions = entries
      .filter(node => this.getPartition(node.name) === partition)
      .map(node => node.holder.getRevisionNumber());
    const isUp = partition === 'main' && !this.isPlatformDown;
    return Math.max(0, isUp ? this.acceptedRevision : 0, ...revisions);
  }

  /** Advances time and records the revisions that nodes report. */
  async advance(durationMs: number): Promise<void> {
    for (
      let passed = 0;
      passed < durationMs;
      passed += OBSERVATION_INTERVAL_MS
    ) {
      await this.advanceClock(OBSERVATION_INTERVAL_MS);
      for (const node of this.incarnations.values()) this.observeNode(node);
    }
  }

  private observeNode(node: NodeIncarnation): void {
    const revision = node.holder.getRevisionNumber();
    const isReporting = this.mechanism.waitsUntilReady
      ? node.feed.isReady()
      : revision > 0;
    if (!isReporting) return;
    const newestBefore = this.newestReported.get(node.name) ?? 0;
    if (revision < newestBefore) this.violations.push(`reverted: ${node.name}`);
    if (newestBefore === 0) this.firstReported.set(node.name, revision);
    this.newestReported.set(node.name, Math.max(newestBefore, revision));
  }

  /** Checks that every node applies the newest reachable revision in time. */
  async checkInForce(): Promise<void> {
    const expected = NODES.map(name => this.findNewestReachable(name));
    await this.advance(IN_FORCE_WITHIN_MS);
    for (const [index, name] of NODES.entries()) {
      const revision =
        this.incarnations.get(name)?.holder.getRevisionNumber() ?? 0;
      if (revision >= expected[index]) continue;
      this.violations.push(
        `behind: ${name} at ${revision}, not ${expected[index]}`,
      );
    }
  }

  stop(): void {
    for (const node of this.incarnations.values()) {
      node.feed.stop();
      node.heartbeats.close();
    }
  }
}
