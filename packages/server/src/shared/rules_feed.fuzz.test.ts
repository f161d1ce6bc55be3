/**
 * Entries and agents spread rules over virtual time while the platform goes
 * down, failure domains are cut off and nodes restart. The oracle sees what
 * each node shows to operators.
 */
import {
  Clock,
  RULES_HEAD_KEY,
  RandomSource,
  RulesHolder,
  RulesRevision,
  ServiceError,
  createError,
  createRandomSource,
  formatRulesBodyKey,
} from '@sassafrasspan/core';
import {readFuzzParameters} from '@sassafrasspan/core/testing';
import type {AgentPeer, MessageWriter} from '@sassafrasspan/nodes';
import type {ObjectStore, StoredObject} from '@sassafrasspan/platform';
import {createEventLog} from '@sassafrasspan/runtime';
import fc from 'fast-check';
import {Result, err, ok} from 'neverthrow';
import {RulesSpreader} from '../entry/rules_spreader';
import {HeartbeatStreams} from './heartbeat_streams';
import {RulesFeed, createRulesReply} from './rules_feed';

const MAX_DELAY_MS = 300;
const WATCH_POLL_MS = 100;
const IN_FORCE_WITHIN_MS = 9_000;
const RESTART_CHECK_MS = 4_500;
const SAMPLE_MS = 50;
const NODES = [
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
interface Mechanism {
  readonly hasPeers: boolean;
  /** Whether a node waits for its survey before it shows rules. */
  readonly hasSurvey: boolean;
}

const FULL: Mechanism = {hasPeers: true, hasSurvey: true};

/** One life of a node. */
interface Life {
  readonly name: string;
  readonly holder: RulesHolder;
  readonly feed: RulesFeed;
  readonly heartbeats: HeartbeatStreams<number>;
  spreader: RulesSpreader | undefined;
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

function createRevision(revision: number): RulesRevision {
  const operationId = `operation-${revision}`;
  const fields = {author: 'fuzz', writtenAtMs: 0, text: '', rules: []};
  return {revision, operationId, ...fields};
}

/** All nodes with the platform and the links among them. */
class FakeFleet {
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
  private isPlatformDown = false;

  constructor(
    private readonly mechanism: Mechanism,
    private readonly random: RandomSource,
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
    const spreader = isEntry ? RulesSpreader.create(options) : undefined;
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
    const isCurrent = [a, b].every(life => this.lives.get(life.name) === life);
    return isCurrent && this.readSide(a.name) === this.readSide(b.name);
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
        for (let waited = 0; waited < waitMs; waited += WATCH_POLL_MS) {
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

  setPlatformDown(isDown: boolean): void {
    this.isPlatformDown = isDown;
  }

  cutDomain(domain: string): void {
    this.cutDomains.add(domain);
  }

  healDomains(): void {
    this.cutDomains.clear();
  }

  healAll(): void {
    this.healDomains();
    this.isPlatformDown = false;
  }

  /** Restarts a node in an outage just after a lagging peer has come back. */
  async restartBesideLagging(name: string, lagging: string): Promise<void> {
    this.healAll();
    await this.advance(IN_FORCE_WITHIN_MS);
    this.cutDomain(lagging);
    this.acceptRevision();
    await this.advance(IN_FORCE_WITHIN_MS);
    this.setPlatformDown(true);
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
      await jest.advanceTimersByTimeAsync(SAMPLE_MS);
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

/** Something that happens to the fleet. */
type Step = (fleet: FakeFleet) => Promise<void> | void;

const DOMAINS = fc.constantFrom('a', 'b', 'c');

const STEPS: fc.Arbitrary<Step> = fc.oneof(
  fc.constant<Step>(fleet => fleet.acceptRevision()),
  fc.constant<Step>(fleet => fleet.setPlatformDown(true)),
  fc.constant<Step>(fleet => fleet.setPlatformDown(false)),
  fc.constant<Step>(fleet => fleet.healAll()),
  fc.constant<Step>(fleet => fleet.healDomains()),
  fc.constant<Step>(fleet => fleet.checkInForce()),
  fc.record({name: fc.constantFrom(...NODES), lagging: DOMAINS}).map<Step>(
    ({name, lagging}) =>
      fleet =>
        fleet.restartBesideLagging(name, lagging),
  ),
  DOMAINS.map<Step>(domain => fleet => fleet.cutDomain(domain)),
  fc.constantFrom(...NODES).map<Step>(name => fleet => fleet.restartNode(name)),
  fc
    .integer({min: 1, max: 2_500})
    .map<Step>(durationMs => fleet => fleet.advance(durationMs)),
);

const SCENARIOS = fc.record({
  seed: fc.nat(),
  steps: fc.array(STEPS, {minLength: 5, maxLength: 20}),
});

async function runScenario(
  mechanism: Mechanism,
  seed: number,
  steps: readonly Step[],
): Promise<string[]> {
  const fleet = new FakeFleet(mechanism, createRandomSource(seed));
  await fleet.advance(IN_FORCE_WITHIN_MS);
  for (const step of steps) await step(fleet);
  fleet.healAll();
  await fleet.checkInForce();
  fleet.stop();
  await jest.advanceTimersByTimeAsync(200_000);
  jest.clearAllTimers();
  return fleet.violations;
}

async function collectViolations(mechanism: Mechanism): Promise<Set<string>> {
  const found = new Set<string>();
  const property = fc.asyncProperty(SCENARIOS, async ({seed, steps}) => {
    const violations = await runScenario(mechanism, seed, steps);
    for (const violation of violations) found.add(violation.split(':')[0]);
  });
  await fc.assert(property, readFuzzParameters(9_002, 60));
  return found;
}

describe('rules among entries and agents', () => {
  beforeAll(() => {
    jest.useFakeTimers();
  });

  afterAll(() => {
    jest.useRealTimers();
  });

  test('come into force in time and never revert', async () => {
    const property = fc.asyncProperty(SCENARIOS, async ({seed, steps}) => {
      expect(await runScenario(FULL, seed, steps)).toEqual([]);
    });
    await fc.assert(property, readFuzzParameters(9_002, 60));
  });

  test('control: without a survey a restarted node reverts', async () => {
    const found = await collectViolations({...FULL, hasSurvey: false});
    expect([...found]).toEqual(['reverted']);
  });

  test('control: without peers nodes stay behind', async () => {
    const found = await collectViolations({...FULL, hasPeers: false});
    expect([...found]).toContain('behind');
  });
});
