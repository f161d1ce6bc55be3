/**
 * Watches the nodes of a deployment and the batch-job coordinator (`home` in the
 * store) in the object API. Each node registers itself once per process start.
 * Liveness is determined by calls between the nodes, not here.
 */
import {isDeepStrictEqual} from 'node:util';
import type {Clock, CoordinatorRecord, RandomSource} from '@sassafrasspan/core';
import {
  CollectionObject,
  CollectionListener,
  CollectionWatch,
  ObjectCollections,
} from '@sassafrasspan/platform';
import {EventLog, Waiters, waitMs} from '@sassafrasspan/runtime';
import * as z from 'zod/mini';

/** Collection of the registered nodes and the coordinator. */
export const CLUSTER_COLLECTION = 'sassafrasspan';
/** Name of the object that holds the coordinator's record. */
export const COORDINATOR_OBJECT = 'home';
const NODE_PREFIX = 'node.';
/** Maximum time that the store holds a watch call, in ms. */
export const CLUSTER_WATCH_WAIT_MS = 5_000;
/** Minimum time between two watch calls, in ms. */
const MIN_WATCH_INTERVAL_MS = 300;
/** Mean delay before a failed registration or read of the coordinator is retried,
 * in ms. */
const RETRY_MS = 500;

const NODE_SCHEMA = z.object({
  name: z.string(),
  role: z.enum(['entry', 'home', 'agent']),
  /** `host:port` for calls of other nodes. */
  address: z.string(),
  failureDomain: z.string(),
  /** Endpoint on an agent's VM, `host:port`. */
  engine: z.optional(z.string()),
});

/** Schema of the coordinator's record. */
export const COORDINATOR_SCHEMA = z.object({
  node: z.string(),
  incarnation: z.string(),
  address: z.string(),
  epoch: z.number(),
});

export type RegisteredNode = z.infer<typeof NODE_SCHEMA>;

export interface ClusterWatchOptions {
  readonly store: ObjectCollections;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** Called first with everything that the watch receives. */
  readonly cacheListener?: CollectionListener;
  /** Called after every change of the nodes or the coordinator. */
  readonly onChanged: () => void;
}

/** Receives an object when it is listed or has changed; undefined once it has been
 * removed. */
type ObjectListener = (object: CollectionObject | undefined) => void;

/** The coordinator's record with its version for conditional updates. */
export interface VersionedCoordinator {
  readonly record: CoordinatorRecord;
  readonly version: number;
}

/** Must be started with `run`. */
export class ClusterWatch {
  private readonly nodes = new Map<string, RegisteredNode>();
  private coordinator: VersionedCoordinator | undefined;
  private isListed = false;
  private isCoordinatorRead = false;
  private readonly listWaiters = Waiters.create();
  /** Listeners to other objects of the collection, by name. */
  private readonly objectListeners = new Map<string, ObjectListener>();
  private readonly watch: CollectionWatch;

  private constructor(private readonly options: ClusterWatchOptions) {
    this.watch = CollectionWatch.create({
      ...options,
      kind: CLUSTER_COLLECTION,
      waitMs: CLUSTER_WATCH_WAIT_MS,
      minIntervalMs: MIN_WATCH_INTERVAL_MS,
      onListed: (objects, storeVersion) => {
        options.cacheListener?.onListed(objects, storeVersion);
        this.nodes.clear();
        for (const object of objects) this.applyObject(object);
        this.isListed = true;
        this.listWaiters.wakeAll();
        options.onChanged();
      },
      onChanged: (changes, storeVersion) => {
        options.cacheListener?.onChanged(changes, storeVersion);
        if (changes.length === 0) return;
        for (const {object, isRemoved} of changes) {
          if (isRemoved) this.removeObject(object.name);
          else this.applyObject(object);
        }
        options.onChanged();
      },
    });
  }

  static create(options: ClusterWatchOptions): ClusterWatch {
    return new ClusterWatch(options);
  }

  /** Watches the cluster until the process exits. */
  run(): Promise<void> {
    return this.watch.run();
  }

  /** Returns whether the cluster has been listed at least once. */
  hasListed(): boolean {
    return this.isListed;
  }

  /** Resolves once the cluster has been listed, or after `limitMs`. */
  async waitUntilListed(limitMs: number): Promise<void> {
    if (this.isListed) return;
    await this.listWaiters.wait(limitMs, new AbortController().signal);
  }

  /** Returns the coordinator; undefined if none is known. */
  getCoordinator(): VersionedCoordinator | undefined {
    return this.coordinator;
  }

  /** Applies a record from the watch or from another node, unless outdated. */
  acceptCoordinator(coordinator: VersionedCoordinator): void {
    const knownEpoch = this.coordinator?.record.epoch ?? 0;
    if (coordinator.record.epoch >= knownEpoch) this.coordinator = coordinator;
  }

  /** Reads the coordinator's record once; returns whether the store answered. */
  async readCoordinator(): Promise<boolean> {
    const object = await this.options.store.readObject(
      CLUSTER_COLLECTION,
      COORDINATOR_OBJECT,
    );
    if (object.isErr()) return false;
    if (object.value !== undefined) this.applyObject(object.value);
    this.isCoordinatorRead = true;
    return true;
  }

  /** Reads the coordinator's record; retries until the store answers. */
  async fetchCoordinator(): Promise<void> {
    while (!(await this.readCoordinator())) {
      await this.waitRetry();
    }
  }

  /**
   * Returns the epoch of the newest coordinator that is known, 0 if there was
   * none yet; undefined until the store was read.
   */
  getEpoch(): number | undefined {
    if (!this.isListed && !this.isCoordinatorRead) return undefined;
    return this.coordinator?.record.epoch ?? 0;
  }

  /** Lists the nodes of a role, sorted by name. */
  listNodes(role: RegisteredNode['role']): RegisteredNode[] {
    return [...this.nodes.values()]
      .filter(node => node.role === role)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /** Registers a node; retries until it is stored. */
  async register(node: RegisteredNode): Promise<void> {
    for (;;) {
      if (await this.tryRegister(node)) return;
      await this.waitRetry();
    }
  }

  private waitRetry(): Promise<void> {
    return waitMs(RETRY_MS * (0.5 + this.options.random()));
  }

  private async tryRegister(node: RegisteredNode): Promise<boolean> {
    const {store} = this.options;
    const name = NODE_PREFIX + node.name;
    const created = await store.createObject(CLUSTER_COLLECTION, name, node);
    if (created.isOk()) return true;
    if (created.error.kind !== 'conflict') return false;
    const existing = await store.readObject(CLUSTER_COLLECTION, name);
    if (existing.isErr() || existing.value === undefined) return false;
    const {value, version} = existing.value;
    if (isDeepStrictEqual(value, node)) return true;
    const replaced = await store.replaceObject(
      CLUSTER_COLLECTION,
      name,
      node,
      version,
    );
    return replaced.isOk();
  }

  /** Calls a listener with an object of the collection that is neither a node nor
   * the coordinator's record. */
  subscribeObject(name: string, listener: ObjectListener): void {
    this.objectListeners.set(name, listener);
  }

  private removeObject(name: string): void {
    this.nodes.delete(name);
    this.objectListeners.get(name)?.(undefined);
  }

  private applyObject(object: CollectionObject): void {
    this.objectListeners.get(object.name)?.(object);
    if (object.name === COORDINATOR_OBJECT) {
      const parsed = COORDINATOR_SCHEMA.safeParse(object.value);
      if (!parsed.success) return;
      this.acceptCoordinator({record: parsed.data, version: object.version});
      return;
    }
    const parsed = NODE_SCHEMA.safeParse(object.value);
    if (parsed.success) this.nodes.set(object.name, parsed.data);
  }
}
