/**
 * Shares the records of crashing requests among the nodes that send requests to
 * endpoints. Each change goes to the others at once. As one of them may be cut
 * off, stand still or start later, all records are also in one object of the
 * platform's store, which every node lists when it starts and watches.
 */
import {
  Clock,
  CrashRecord,
  CrashRecords,
  RandomSource,
} from '@sassafrasspan/core';
import {
  CLUSTER_COLLECTION,
  ClusterWatch,
  PeerClient,
  PeerRoutes,
  createHandler,
} from '@sassafrasspan/peers';
import type {
  CollectionObject,
  ObjectCollections,
} from '@sassafrasspan/platform';
import {EventLog, parseAddress, waitMs} from '@sassafrasspan/runtime';
import {ok} from 'neverthrow';
import * as z from 'zod/mini';

const PATH = '/crash-records';
/** Name of the object that holds the records. */
const RECORDS_OBJECT = 'crashes';
/** Timeout of a call to another node, in ms. */
const TIMEOUT_MS = 500;
/** Time for which changes are collected into one message, in ms. */
const COLLECT_MS = 20;
/** Mean time after which a node stores what it has heard from another one, which
 * stores it first unless it is lost, in ms. */
const STORE_HEARD_MS = 1_000;
/** Minimum time between two claims of trials, in ms. */
const CLAIM_INTERVAL_MS = 1_000;
/** Mean delay before a failed write to the store is repeated, in ms. */
const RETRY_MS = 500;

const ENTRIES_SCHEMA = z.array(z.object({id: z.string(), atMs: z.number()}));
const RECORDS_SCHEMA = z.object({
  records: z.array(
    z.object({
      fingerprint: z.string(),
      crashes: ENTRIES_SCHEMA,
      trials: ENTRIES_SCHEMA,
      cleared: z.array(z.string()),
    }),
  ),
});
const DONE_SCHEMA = z.object({});

/** How a write to the store ended; one without an answer has `failed`. */
type WriteEnd = 'stored' | 'conflict' | 'failed';

export interface CrashRecordExchangeOptions {
  /** Name of this node. */
  readonly name: string;
  readonly records: CrashRecords;
  readonly cluster: ClusterWatch;
  readonly peers: PeerClient;
  readonly store: ObjectCollections;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** Called with the fingerprints of records that have changed elsewhere. */
  readonly onMerged: (fingerprints: readonly string[]) => void;
}

export class CrashRecordExchange {
  /** The stored records as this node knows them; none before the first. */
  private stored: CrashRecord[] = [];
  /** Version of the stored object; undefined if there is none. */
  private version: number | undefined;
  private readonly unsent = new Set<string>();
  private claimedAtMs = -Infinity;
  private isStopped = false;
  private sendTimer: NodeJS.Timeout | undefined;
  private storeTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: CrashRecordExchangeOptions) {}

  static create(options: CrashRecordExchangeOptions): CrashRecordExchange {
    return new CrashRecordExchange(options);
  }

  /** Follows the records in the store; must be called before the cluster runs. */
  start(): void {
    this.options.cluster.subscribeObject(RECORDS_OBJECT, object =>
      this.acceptStored(object),
    );
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.sendTimer);
    clearTimeout(this.storeTimer);
  }

  /** Returns the handler for messages of other nodes. */
  createRoutes(): PeerRoutes {
    return {
      [PATH]: createHandler(RECORDS_SCHEMA, ({records}) => {
        this.merge(records, 'node');
        return ok({});
      }),
    };
  }

  /** Sends a record that has changed here to the other nodes and the store. */
  publish(fingerprint: string): void {
    this.unsent.add(fingerprint);
    this.sendTimer ??= setTimeout(() => this.sendRecords(), COLLECT_MS);
    this.scheduleStore(COLLECT_MS);
  }

  /**
   * Records a trial in the store, so that no other node makes it too. Returns
   * whether this node may; if the store doesn't answer, nobody may for now.
   */
  async claimTrial(fingerprint: string, id: string): Promise<boolean> {
    const {clock} = this.options;
    const nowMs = clock.readMonotonicMs();
    if (nowMs - this.claimedAtMs < CLAIM_INTERVAL_MS) return false;
    this.claimedAtMs = nowMs;
    const claimed = CrashRecords.create(this.mergeStored());
    claimed.addTrial(fingerprint, {id, atMs: clock.readWallMs()});
    const written = await this.write(claimed.list());
    if (written === 'conflict') await this.readStored();
    return written === 'stored';
  }

  private merge(added: readonly CrashRecord[], source: 'node' | 'store'): void {
    const {records, clock, log, onMerged} = this.options;
    const changed = records.merge(added, clock.readWallMs());
    if (changed.length === 0) return;
    const fingerprints = changed.join(' ');
    log.writeEvent('crash-records-merged', {source, fingerprints});
    onMerged(changed);
    if (source === 'node') this.scheduleStore(STORE_HEARD_MS);
  }

  private sendRecords(): void {
    const {records, cluster, peers, name} = this.options;
    this.sendTimer = undefined;
    const changed = [...this.unsent]
      .map(fingerprint => records.find(fingerprint))
      .filter(record => record !== undefined);
    this.unsent.clear();
    const nodes = [...cluster.listNodes('entry'), ...cluster.listNodes('home')];
    for (const node of nodes) {
      const address = parseAddress(node.address);
      if (node.name === name || address === undefined) continue;
      void peers.call({
        address,
        path: PATH,
        body: {records: changed},
        schema: DONE_SCHEMA,
        timeoutMs: TIMEOUT_MS,
      });
    }
  }

  /** Takes over the stored records; without them, an operator has removed them. */
  private acceptStored(object: CollectionObject | undefined): void {
    if (object === undefined) {
      this.stored = [];
      this.version = undefined;
      return this.options.records.reset();
    }
    if (object.version < (this.version ?? 0)) return;
    this.version = object.version;
    const parsed = RECORDS_SCHEMA.safeParse(object.value);
    this.stored = parsed.success ? parsed.data.records : [];
    this.merge(this.stored, 'store');
    if (!this.isStored()) this.scheduleStore(STORE_HEARD_MS);
  }

  private isStored(): boolean {
    const stored = CrashRecords.create(this.stored);
    return stored.hasAll(this.options.records.list());
  }

  private scheduleStore(delayMs: number): void {
    const {random} = this.options;
    this.storeTimer ??= setTimeout(
      () => void this.storeRecords(),
      delayMs * (0.5 + random()),
    );
  }

  /** Writes until the store holds all that this node knows. */
  private async storeRecords(): Promise<void> {
    const {random, records, clock} = this.options;
    records.dropExpired(clock.readWallMs());
    while (!this.isStopped && !this.isStored()) {
      const written = await this.write(this.mergeStored());
      if (written === 'conflict') await this.readStored();
      if (written !== 'stored') await waitMs(RETRY_MS * (0.5 + random()));
    }
    this.storeTimer = undefined;
  }

  private mergeStored(): CrashRecord[] {
    const {records, clock} = this.options;
    const merged = CrashRecords.create(this.stored);
    merged.merge(records.list(), clock.readWallMs());
    merged.dropExpired(clock.readWallMs());
    return merged.list();
  }

  /** Writes the records if the stored ones are those that this node knows. */
  private async write(records: readonly CrashRecord[]): Promise<WriteEnd> {
    const {store, log} = this.options;
    const value = {records};
    const written = await (this.version === undefined
      ? store.createObject(CLUSTER_COLLECTION, RECORDS_OBJECT, value)
      : store.replaceObject(
          CLUSTER_COLLECTION,
          RECORDS_OBJECT,
          value,
          this.version,
        ));
    const detail = written.isErr() ? written.error.detail : undefined;
    log.writeEvent('crash-records-stored', {count: records.length, detail});
    if (written.isErr()) {
      return written.error.kind === 'conflict' ? 'conflict' : 'failed';
    }
    this.acceptStored({...written.value, value});
    return 'stored';
  }

  private async readStored(): Promise<void> {
    const {store} = this.options;
    const read = await store.readObject(CLUSTER_COLLECTION, RECORDS_OBJECT);
    if (read.isErr()) return;
    if (read.value === undefined) this.version = undefined;
    else this.acceptStored(read.value);
  }
}
