/**
 * Exchanges samples of endpoints' capacity between nodes: each node pushes its
 * own to the coordinator and receives estimates from the samples of all. If the
 * coordinator doesn't answer, a node continues with what it has.
 */
import {
  CapacityEstimator,
  CapacityHub,
  CapacityMode,
  CapacityPusher,
  Clock,
  MAX_ANSWERED_DIGESTS,
  MAX_PUSHED_SAMPLES,
  RandomSource,
  SLOWNESS_BOUNDS,
  selectEntries,
} from '@sassafrasspan/core';
import {
  ClusterWatch,
  PeerClient,
  PeerRoutes,
  createHandler,
} from '@sassafrasspan/peers';
import {EventLog, Metrics, parseAddress} from '@sassafrasspan/runtime';
import {ok} from 'neverthrow';
import * as z from 'zod/mini';

const PATH = '/capacity/push';
const TIMEOUT_MS = 500;
/** Minimum time between two pushes of a node with new samples, in ms. */
const PUSH_INTERVAL_MS = 500;
/** The same without new samples: time until it learns of others' samples. */
const IDLE_INTERVAL_MS = 1_000;
/** Minimum time per entry between two pushes, in ms: at most 100 pushes a second
 * arrive at the coordinator, whatever the number of entries. */
const INTERVAL_PER_ENTRY_MS = 10;
/** Most knees for which an estimate may have sums; more are malformed. */
const MAX_KNEES = 16;

const SAMPLE_SCHEMA = z.object({
  id: z.string(),
  tookMs: z.number(),
  concurrency: z.number(),
  slots: z.number(),
  slowness: z.optional(
    z.number().check(z.gte(SLOWNESS_BOUNDS.min), z.lte(SLOWNESS_BOUNDS.max)),
  ),
  ageMs: z.number(),
});
/** The samples are read one by one: one that can't be read must not cost those of
 * other endpoints. */
const PUSH_SCHEMA = z.object({
  samples: z.array(z.unknown()).check(z.maxLength(MAX_PUSHED_SAMPLES)),
  hub: z.string(),
  cursor: z.number(),
});
const KNEES_SCHEMA = z.array(z.number()).check(z.maxLength(MAX_KNEES));
const DIGEST_SCHEMA = z.object({
  id: z.string(),
  weight: z.number(),
  sums: KNEES_SCHEMA,
  squares: KNEES_SCHEMA,
  meanLoad: z.number(),
  meanSlowness: z.number(),
  slownessWeight: z.number(),
  ageMs: z.number(),
});
/** The estimates are read one by one, like the samples. */
const REPLY_SCHEMA = z.object({
  hub: z.string(),
  cursor: z.number(),
  digests: z.array(z.unknown()).check(z.maxLength(MAX_ANSWERED_DIGESTS)),
});

export interface CapacitySharingOptions {
  readonly capacityEstimates?: CapacityMode;
  readonly name: string;
  readonly cluster: ClusterWatch;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

export class CapacitySharing {
  private readonly pusher: CapacityPusher;
  private readonly hub: CapacityHub;
  private readonly mode: CapacityMode;
  private pushedAtMs = -Infinity;

  private constructor(private readonly options: CapacitySharingOptions) {
    const {name, clock, random, log, metrics} = options;
    this.mode = options.capacityEstimates ?? 'off';
    const estimator = CapacityEstimator.create({
      mode: this.mode,
      random,
      onChanged: change => {
        metrics.addCount('capacity_changes_total');
        log.writeEvent('capacity-changed', {...change});
      },
      onExplored: () => metrics.addCount('capacity_explored_total'),
    });
    this.pusher = CapacityPusher.create(estimator);
    const hubName = `${name}/${clock.readWallMs()}`;
    this.hub = CapacityHub.create(estimator, hubName);
  }

  static create(options: CapacitySharingOptions): CapacitySharing {
    return new CapacitySharing(options);
  }

  /** Returns what the choice of endpoints uses; undefined if it is off. */
  getPusher(): CapacityPusher | undefined {
    return this.mode === 'off' ? undefined : this.pusher;
  }

  /** Returns the handler for pushes; only those to the coordinator arrive. */
  createRoutes(): PeerRoutes {
    if (this.mode === 'off') return {};
    return {
      [PATH]: createHandler(PUSH_SCHEMA, push => {
        const read = this.readEntries(SAMPLE_SCHEMA, push.samples, 'sample');
        // JSON leaves out a slowness that is undefined.
        const samples = read.map(sample => ({
          ...sample,
          slowness: sample.slowness,
        }));
        const nowMs = this.options.clock.readMonotonicMs();
        return ok(this.hub.acceptPush({...push, samples}, nowMs));
      }),
    };
  }

  /** Starts to push; a coordinator needs no pushes of its own. */
  start(): void {
    if (this.mode === 'off') return;
    const timer = setInterval(() => void this.push(), PUSH_INTERVAL_MS);
    timer.unref();
  }

  /** Forgets endpoints that are no longer registered. */
  removeUnregistered(endpointIds: ReadonlySet<string>): void {
    this.hub.removeUnregistered(endpointIds);
  }

  private async push(): Promise<void> {
    const {cluster, peers, clock, metrics} = this.options;
    const {pusher} = this;
    const record = cluster.getCoordinator()?.record;
    const address = parseAddress(record?.address ?? '');
    if (address === undefined || !pusher.estimator.isInUse()) return;
    const nowMs = clock.readMonotonicMs();
    const minIntervalMs = Math.max(
      pusher.hasPending() ? 0 : IDLE_INTERVAL_MS,
      cluster.listNodes('entry').length * INTERVAL_PER_ENTRY_MS,
    );
    if (nowMs - this.pushedAtMs < minIntervalMs) return;
    this.pushedAtMs = nowMs;
    const reply = await peers.call({
      address,
      path: PATH,
      body: pusher.takePush(nowMs),
      schema: REPLY_SCHEMA,
      timeoutMs: TIMEOUT_MS,
    });
    const result = reply.isOk() ? 'answered' : 'failed';
    metrics.addCount('capacity_pushes_total', {result});
    if (reply.isErr()) return;
    const {value} = reply;
    const digests = this.readEntries(DIGEST_SCHEMA, value.digests, 'estimate');
    const imported = pusher.acceptReply(
      {...value, digests},
      clock.readMonotonicMs(),
    );
    metrics.addCount('capacity_digests_total', {}, imported);
  }

  /** Returns the entries of a list that can be read, and counts the others. */
  private readEntries<T>(
    schema: z.ZodMiniType<T>,
    values: readonly unknown[],
    entry: 'sample' | 'estimate',
  ): T[] {
    const {entries, rejected} = selectEntries(schema, values);
    if (rejected.length > 0) {
      const {metrics} = this.options;
      metrics.addCount('capacity_rejected_total', {entry}, rejected.length);
    }
    return entries;
  }
}
