/**
 * The nodes of a deployment and the home of its batch jobs, as they stand in
 * the object API. Each node registers itself once a life; who is alive is
 * found by calls among the nodes, not here.
 */
import {isDeepStrictEqual} from 'node:util';
import type {Clock, HomeRecord, RandomSource} from '@sassafrasspan/core';
import {
  CollectionObject,
  KindListener,
  KindWatch,
  ObjectCollections,
} from '@sassafrasspan/platform';
import {EventLog, waitMs} from '@sassafrasspan/runtime';
import * as z from 'zod/mini';

/** Kind of the objects of the cluster. */
export const CLUSTER_COLLECTION = 'sassafrasspan';
/** Name of the object that names the home. */
export const COORDINATOR_OBJECT = 'home';
const NODE_PREFIX = 'node.';
/** Longest wait of a watch, in ms. */
export const CLUSTER_WATCH_WAIT_MS = 5_000;
/** Least time between two calls of the watch, in ms. */
const MIN_WATCH_INTERVAL_MS = 300;
/** Time before a failed registration is tried again, in ms. */
const REGISTER_RETRY_MS = 500;

const NODE_SCHEMA = z.object({
  name: z.string(),
  role: z.enum(['entry', 'home', 'agent']),
  /** `host:port` for calls of other nodes. */
  address: z.string(),
  failureDomain: z.string(),
  /** Endpoint beside an agent, `host:port`. */
  engine: z.optional(z.string()),
});

/** Schema of the home's object. */
export const COORDINATOR_SCHEMA = z.object({
  node: z.string(),
  incarnation: z.string(),
  address: z.string(),
  epoch: z.number(),
});

/** A registered node. */
export type RegisteredNode = z.infer<typeof NODE_SCHEMA>;

/** What the watch is built from. */
export interface ClusterWatchOptions {
  readonly store: ObjectCollections;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** Takes what the watch brings, for other nodes. */
  readonly cacheListener?: KindListener;
  /** Hears of every change. */
  readonly onChanged: () => void;
}

/** The home's object with its version for conditional updates. */
export interface VersionedCoordinator {
  readonly record: HomeRecord;
  readonly version: number;
}

/** Follows the nodes and the home. */
export class ClusterWatch {
  private readonly nodes = new Map<string, RegisteredNode>();
  private coordinator: VersionedCoordinator | undefined;
  private isListed = false;
  private readonly watch: KindWatch;

  private constructor(private readonly options: ClusterWatchOptions) {
    this.watch = KindWatch.create({
      ...options,
      kind: CLUSTER_COLLECTION,
      waitMs: CLUSTER_WATCH_WAIT_MS,
      paceMs: MIN_WATCH_INTERVAL_MS,
      onListed: (objects, storeVersion) => {
        options.cacheListener?.onListed(objects, storeVersion);
        this.nodes.clear();
        for (const object of objects) this.applyObject(object);
        this.isListed = true;
        options.onChanged();
      },
      onChanged: (changes, storeVersion) => {
        options.cacheListener?.onChanged(changes, storeVersion);
        if (changes.length === 0) return;
        for (const {object, isRemoved} of changes) {
          if (isRemoved) this.nodes.delete(object.name);
          else this.applyObject(object);
        }
        options.onChanged();
      },
    });
  }

  /** Builds a watch that has not started. */
  static create(options: ClusterWatchOptions): ClusterWatch {
    return new ClusterWatch(options);
  }

  /** Follows the cluster until stopped. */
  run(): Promise<void> {
    return this.watch.run();
  }

  /** Tells whether the cluster has been listed once. */
  hasListed(): boolean {
    return this.isListed;
  }

  /** Returns the home. */
  getCoordinator(): VersionedCoordinator | undefined {
    return this.coordinator;
  }

  /** Takes a home that was learnt otherwise, if it is newer. */
  acceptCoordinator(home: VersionedCoordinator): void {
    const known = this.coordinator?.record.epoch ?? 0;
    if (home.record.epoch >= known) this.coordinator = home;
  }

  /** Lists the nodes of a role, in the order of their names. */
  listNodes(role: RegisteredNode['role']): RegisteredNode[] {
    return [...this.nodes.values()]
      .filter(node => node.role === role)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /** Registers a node; tries until the store has taken it. */
  async register(node: RegisteredNode): Promise<void> {
    for (;;) {
      if (await this.tryRegister(node)) return;
      await waitMs(REGISTER_RETRY_MS * (0.5 + this.options.random()));
    }
  }

  private async tryRegister(node: RegisteredNode): Promise<boolean> {
    const {store} = this.options;
    const name = NODE_PREFIX + node.name;
    const created = await store.createObject(CLUSTER_COLLECTION, name, node);
    if (created.isOk()) return true;
    if (created.error.kind !== 'conflict') return false;
    const found = await store.readObject(CLUSTER_COLLECTION, name);
    if (found.isErr() || found.value === undefined) return false;
    const {value, version} = found.value;
    if (isDeepStrictEqual(value, node)) return true;
    const replaced = await store.replaceObject(
      CLUSTER_COLLECTION,
      name,
      node,
      version,
    );
    return replaced.isOk();
  }

  private applyObject(object: CollectionObject): void {
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
