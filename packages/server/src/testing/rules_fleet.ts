/**
 * A fleet of real rules feeds, spreaders and heartbeat streams with fake links
 * and a fake platform, over virtual time. Notes violations of what operators
 * are promised: rules in force in time, and never an older revision.
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
/** The promise: accepted rules are in force within this time. */
export const IN_FORCE_WITHIN_MS = 9_000;
const RESTART_CHECK_MS = 4_500;
const SAMPLE_MS = 50;
/** Nodes of the fleet; the last letter names the failure domain. */
export const NODES = [
  'entry-a',
  'entry-b',
  'entry-c',
  'agent-a',
  'agent-b',
  'agent-c',
];
const LOST = createError('platform-down', 'no answer');
const LOG = createEventLog({node: 'fuzz', role: 'entry', level: 'error'});

/** Which parts of the mechanism a run has. */
export interface Mechanism {
  readonly hasPeers: boolean;
  /** Whether a node waits for its survey before it shows rules. */
  readonly hasSurvey: boolean;
}

/** A restart beside a node of a lagging domain. */
export interface RestartPlan {
  readonly name: string;
  readonly lagging: string;
}

/** One life of a node. */
interface Life {
  readonly name: string;
  readonly holder: RulesHolder;
  readonly feed: RulesFeed;
  readonly heartbeats: HeartbeatStreams<number>;
  spreader: RulesBroadcaster | undefined;
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

function createRevision(revision: number): RulesRevision {
  const operationId = `operation-${revision}`;
  const fields = {author: '', writtenAtMs: 0, text: '', rules: []};
  return {revision, operationId, ...fields};
}

/** Lets a duration in ms pass. */
export type Pause = (durationMs: number) => Promise<void>;

/** All nodes with the platform and the links among them. */
export class FakeFleet {
  readonly lives = new Map<string, Life>();
  readonly violations: string[] = [];
  /** Newest revision that each life of a node has shown. */
  private readonly shown = new Map<string, number>();
  /** Revision that each life of a node showed first. */
  private readonly firstShown = new Map<string, number>();
  private readonly cutDomains = new Set<string>();
  private readonly clock: Clock = {
    readMonotonicMs: () => Date.now(),
    readWallMs: () => Date.now(),
  };
  private accepted = 1;
  private connections = 0;
  private isPlatformDown = false;

  constructor(
    private readonly mechanism: Mechanism,
    private readonly random: RandomSource,
    /** Lets virtual time pass. */
    private readonly advanceClock: Pause,
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
    const spreader = isEntry ? RulesBroadcaster.create(options) : undefined;
    const life = {name, holder, feed, heartbeats, spreader};
    this.lives.set(name, life);
    feed.start();
    if (!this.mechanism.hasPeers) return;
    for (const other of this.lives.values()) {
      if (other === life) continue;
      if (other.spreader !== undefined) this.watchNode(other, life);
      if (isEntry) this.watchNode(life, other);
    }
  }

  private watchNode(watcher: Life, watched: Life): void {
    watched.feed.recordPeer(watcher.holder.getRevisionNumber());
    const peer = this.createPeer(watcher, watched);
    const writer: MessageWriter<number> = {
      send: revision => void this.deliver(watcher, watched, peer, revision),
      end: () => undefined,
      addCloseListener: () => undefined,
    };
    watched.heartbeats.addWatcher(writer);
  }

  private async deliver(
    watcher: Life,
    watched: Life,
    peer: AgentPeer,
    revision: number,
  ): Promise<void> {
    await waitFor(this.random() * MAX_DELAY_MS);
    if (!this.isLinked(watcher, watched)) return;
    if (watched.spreader !== undefined) {
      await watcher.feed.followPeer(peer, revision);
    } else {
      watcher.spreader?.recordAgent(watched.name, peer, revision);
    }
  }

  private createPeer(from: Life, to: Life): AgentPeer {
    const peer: Partial<AgentPeer> = {
      fetchRules: newerThan =>
        this.call(from, to, () => createRulesReply(to.holder, newerThan)),
      offerRules: offer =>
        this.call(from, to, () => to.feed.acceptOffer(offer)),
    };
    return peer as AgentPeer;
  }

  private async call<T>(
    from: Life,
    to: Life,
    run: () => T,
  ): Promise<Result<T, ServiceError>> {
    await waitFor(this.random() * MAX_DELAY_MS);
    if (!this.isLinked(from, to)) return err(LOST);
    const reply = run();
    await waitFor(this.random() * MAX_DELAY_MS);
    return this.isLinked(from, to) ? ok(reply) : err(LOST);
  }

  private isLinked(a: Life, b: Life): boolean {
    const areCurrent = [a, b].every(item => this.lives.get(item.name) === item);
    return areCurrent && this.readSide(a.name) === this.readSide(b.name);
  }

  /** Names the part of a divided network that a node is in. */
  private readSide(name: string): string {
    const domain = name.slice(-1);
    return this.cutDomains.has(domain) ? domain : 'main';
  }

  private createStore(name: string): ObjectStore {
    const isReachable = () =>
      !this.isPlatformDown && this.readSide(name) === 'main';
    const read = async (): Promise<Result<StoredObject, ServiceError>> => {
      await waitFor(this.random() * MAX_DELAY_MS);
      return isReachable() ? ok(this.createHead()) : err(LOST);
    };
    return {
      readObject: read,
      watchObject: async (_key, newerThan, waitMs) => {
        const connections = this.connections;
        for (let waited = 0; waited < waitMs; waited += WATCH_POLL_MS) {
          if (this.connections !== connections) {
            await waitFor(waitMs - waited + CALL_TIMEOUT_MS);
            return err(LOST);
          }
          if (!isReachable() || this.accepted > newerThan) break;
          await waitFor(WATCH_POLL_MS);
        }
        return read();
      },
      listObjects: async () => err(LOST),
      writeObject: async () => err(LOST),
    };
  }

  private createHead(): StoredObject {
    const revision = this.accepted;
    const body = createRevision(revision);
    const {operationId} = body;
    const bodyKey = formatRulesBodyKey(revision, operationId);
    const recent = [{revision, operationId}];
    const value = {revision, operationId, bodyKey, body, recent};
    return {key: RULES_HEAD_KEY, version: revision, value};
  }

  acceptRevision(): void {
    if (!this.isPlatformDown) this.accepted += 1;
  }

  startOutage(): void {
    this.isPlatformDown = true;
  }

  cutDomain(domain: string): void {
    this.cutDomains.add(domain);
  }

  /** Makes every open call to the platform wait for its timeout. */
  async acceptInSilence(): Promise<void> {
    this.connections += 1;
    this.acceptRevision();
    await this.checkInForce();
  }

  healDomains(): void {
    this.cutDomains.clear();
  }

  healAll(): void {
    this.cutDomains.clear();
    this.isPlatformDown = false;
  }

  /** Restarts a node in an outage just after a lagging peer has come back. */
  async restartBesideLagging(drawn: RestartPlan): Promise<void> {
    const {name, lagging} = drawn;
    this.healAll();
    await this.advance(IN_FORCE_WITHIN_MS);
    this.cutDomain(lagging);
    this.acceptRevision();
    await this.advance(IN_FORCE_WITHIN_MS);
    this.startOutage();
    this.healDomains();
    await this.restartNode(name);
  }

  /** Restarts a node and checks what it shows once it is ready. */
  async restartNode(name: string): Promise<void> {
    const old = this.lives.get(name);
    old?.feed.stop();
    old?.heartbeats.close();
    const before = this.shown.get(name) ?? 0;
    const isKnownElsewhere = this.findNewestReachable(name) >= before;
    this.shown.delete(name);
    this.firstShown.delete(name);
    this.startNode(name);
    await this.advance(RESTART_CHECK_MS);
    const after = this.firstShown.get(name);
    if (!isKnownElsewhere || after === undefined || after >= before) return;
    this.violations.push(`reverted: ${name} from ${before} to ${after}`);
  }

  /** Returns the newest revision that a node could learn of. */
  private findNewestReachable(name: string): number {
    const side = this.readSide(name);
    const entries = [...this.lives.values()].filter(
      life => life.spreader !== undefined && life.name !== name,
    );
    const held = entries
      .filter(life => this.readSide(life.name) === side)
      .map(life => life.holder.getRevisionNumber());
    const isUp = side === 'main' && !this.isPlatformDown;
    return Math.max(0, isUp ? this.accepted : 0, ...held);
  }

  /** Lets time pass and notes what nodes show; the first show counts. */
  async advance(durationMs: number): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += SAMPLE_MS) {
      await this.advanceClock(SAMPLE_MS);
      for (const life of this.lives.values()) this.observeNode(life);
    }
  }

  private observeNode(life: Life): void {
    const revision = life.holder.getRevisionNumber();
    const isShown = this.mechanism.hasSurvey
      ? life.feed.isSettled()
      : revision > 0;
    if (!isShown) return;
    const before = this.shown.get(life.name) ?? 0;
    if (revision < before) this.violations.push(`reverted: ${life.name}`);
    if (before === 0) this.firstShown.set(life.name, revision);
    this.shown.set(life.name, Math.max(before, revision));
  }

  /** Checks that what could be known is in force in time. */
  async checkInForce(): Promise<void> {
    const due = NODES.map(name => this.findNewestReachable(name));
    await this.advance(IN_FORCE_WITHIN_MS);
    for (const [index, name] of NODES.entries()) {
      const held = this.lives.get(name)?.holder.getRevisionNumber() ?? 0;
      if (held >= due[index]) continue;
      this.violations.push(`behind: ${name} at ${held}, not ${due[index]}`);
    }
  }

  stop(): void {
    for (const life of this.lives.values()) {
      life.feed.stop();
      life.heartbeats.close();
    }
  }
}
