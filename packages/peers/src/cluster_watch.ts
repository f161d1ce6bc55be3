/**
 * The nodes of a deployment and the home of its batch jobs, as they stand in
 * the object API. Each node registers itself once a life; who is alive is
 * found by calls among the nodes, not here.
 */
import {isDeepStrictEqual} from 'node:util';
import type {Clock, CoordinatorRecord, RandomSource} from '@sassafrasspan/core';
import {
  CollectionObject,
  KindListener,
  KindWatch,
  ObjectCollections,
} from '@sassafrasspan/platform';
import {EventLog, waitMs} from '@sassafrasspan/runtime';
import * as z from 'zod/mini';

/** Kind of the objects of the cluster. */
export const CLUSTER_KIND = 'sassafrasspan';
/** Name of the object that names the home. */
export const HOME_NAME = 'home';
const NODE_PREFIX = 'node.';
/** Longest wait of a watch, in ms. */
export const CLUSTER_WATCH_WAIT_MS = 5_000;
/** Least time between two calls of the watch, in ms. */
const WATCH_PACE_MS = 300;
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
export const HOME_SCHEMA = z.object({
  node: z.string(),
  incarnation: z.string(),
  address: z.string(),
  epoch: z.number(),
});

/** A registered node. */
export type NodeEntry = z.infer<typeof NODE_SCHEMA>;

/** What the watch is built from. */
export interface ClusterWatchOptions {
  readonly store: ObjectCollections;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** Takes what the watch brings, for other nodes. */
  readonly hub?: KindListener;
  /** Hears of every change. */
  readonly onChanged: () => void;
}

/** The home's object with its version for conditional updates. */
export interface VersionedHome {
  readonly record: CoordinatorRecord;
  readonly version: number;
}

/** Follows the nodes and the home. */
export class ClusterWatch {
  private readonly nodes = new Map<string, NodeEntry>();
  private home: VersionedHome | undefined;
  private isListed = false;
  private readonly watch: KindWatch;

  private constructor(private readonly options: ClusterWatchOptions) {
    this.watch = KindWatch.create({
      ...options,
      kind: CLUSTER_KIND,
      waitMs: CLUSTER_WATCH_WAIT_MS,
      paceMs: WATCH_PACE_MS,
      onListed: (objects, storeVersion) => {
        options.hub?.onListed(objects, storeVersion);
        this.nodes.clear();
        for (const object of objects) this.applyObject(object);
        this.isListed = true;
        options.onChanged();
      },
      onChanged: (changes, storeVersion) => {
        options.hub?.onChanged(changes, storeVersion);
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
  getHome(): VersionedHome | undefined {
    return this.home;
  }

  /** Takes a home that was learnt otherwise, if it is newer. */
  acceptHome(home: VersionedHome): void {
    const known = this.home?.record.epoch ?? 0;
    if (home.record.epoch >= known) this.home = home;
  }

  /** Lists the nodes of a role, in the order of their names. */
  listNodes(role: NodeEntry['role']): NodeEntry[] {
    return [...this.nodes.values()]
      .filter(node => node.role === role)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /** Registers a node; tries until the store has taken it. */
  async register(node: NodeEntry): Promise<void> {
    for (;;) {
      if (await this.tryRegister(node)) return;
      await waitMs(REGISTER_RETRY_MS * (0.5 + this.options.random()));
    }
  }

  private async tryRegister(node: NodeEntry): Promise<boolean> {
    const {store} = this.options;
    const name = NODE_PREFIX + node.name;
    const created = await store.createObject(CLUSTER_KIND, name, node);
    if (created.isOk()) return true;
    if (created.error.kind !== 'conflict') return false;
    const found = await store.readObject(CLUSTER_KIND, name);
    if (found.isErr() || found.value === undefined) return false;
    const {value, version} = found.value;
    if (isDeepStrictEqual(value, node)) return true;
    const replaced = await store.replaceObject(
      CLUSTER_KIND,
      name,
      node,
      version,
    );
    return replaced.isOk();
  }

  private applyObject(object: CollectionObject): void {
    if (object.name === HOME_NAME) {
      const parsed = HOME_SCHEMA.safeParse(object.value);
      if (!parsed.success) return;
      this.acceptHome({record: parsed.data, version: object.version});
      return;
    }
    const parsed = NODE_SCHEMA.safeParse(object.value);
    if (parsed.success) this.nodes.set(object.name, parsed.data);
  }
}
