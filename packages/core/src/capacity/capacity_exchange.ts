/**
 * What nodes tell each other about the capacity of endpoints. Each node pushes
 * its samples to the coordinator, which answers with estimates that changed
 * since the node's previous push. Both are limited in number, so that a push
 * costs the same for any number of endpoints.
 */
import {CapacityEstimator} from './capacity_estimator';
import type {CapacityDigest, CapacitySample} from './endpoint_estimate';

/** Samples in a push; further ones replace the oldest. */
export const MAX_PUSHED_SAMPLES = 32;
/** Estimates in an answer. */
export const MAX_ANSWERED_DIGESTS = 32;
/** Samples of an endpoint after which its estimate is told again. */
const PUBLISH_SAMPLES = 3;
/** Published changes that are kept for nodes that push late. */
const MAX_PUBLICATIONS = 2_048;

export interface PushedSample extends CapacitySample {
  readonly id: string;
  readonly ageMs: number;
}

export interface CapacityPush {
  readonly samples: readonly PushedSample[];
  /** Hub of the previous answer, and up to where that answer went. */
  readonly hub: string;
  readonly cursor: number;
}

export interface CapacityReply {
  readonly hub: string;
  readonly cursor: number;
  readonly digests: readonly CapacityDigest[];
}

interface OwnSample extends CapacitySample {
  readonly id: string;
  readonly atMs: number;
  readonly ownOutstanding: number;
}

/** A node's side: its samples since the previous push. */
export class CapacityPusher {
  private pending: OwnSample[] = [];
  private hub = '';
  private cursor = 0;

  private constructor(readonly estimator: CapacityEstimator) {}

  static create(estimator: CapacityEstimator): CapacityPusher {
    return new CapacityPusher(estimator);
  }

  /** Takes in an answered call of this node. */
  learnSample(
    id: string,
    sample: CapacitySample,
    ownOutstanding: number,
    nowMs: number,
  ): void {
    if (!this.estimator.needsSample(id, sample.slowness)) return;
    this.estimator.learnSample(id, sample, ownOutstanding, nowMs);
    this.pending.push({...sample, id, atMs: nowMs, ownOutstanding});
    if (this.pending.length > MAX_PUSHED_SAMPLES) this.pending.shift();
  }

  hasPending(): boolean {
    return this.pending.length > 0;
  }

  /** Takes the samples to push. They are not pushed again if the push is lost:
   * the estimate of this node has them. */
  takePush(nowMs: number): CapacityPush {
    const samples = this.pending.map(
      ({id, tookMs, concurrency, slots, slowness, atMs}) => ({
        id,
        tookMs,
        concurrency,
        slots,
        slowness,
        ageMs: Math.round(nowMs - atMs),
      }),
    );
    this.pending = [];
    return {samples, hub: this.hub, cursor: this.cursor};
  }

  /** Replaces estimates by those of the answer, and adds the samples that were
   * taken after the push. Returns the number of replaced estimates. */
  acceptReply(reply: CapacityReply, nowMs: number): number {
    this.hub = reply.hub;
    this.cursor = reply.cursor;
    let count = 0;
    for (const digest of reply.digests) {
      if (!this.estimator.importDigest(digest, nowMs)) continue;
      count += 1;
      for (const sample of this.pending) {
        if (sample.id !== digest.id) continue;
        const {ownOutstanding} = sample;
        this.estimator.learnSample(sample.id, sample, ownOutstanding, nowMs);
      }
    }
    return count;
  }
}

/** The coordinator's side: estimates from the samples of all nodes. */
export class CapacityHub {
  /** Published changes, oldest first; the number of each is its index plus
   * `firstNumber`. */
  private publications: string[] = [];
  private firstNumber = 1;
  private readonly unpublished = new Map<string, number>();

  private constructor(
    private readonly estimator: CapacityEstimator,
    private readonly name: string,
  ) {}

  /** `name` differs for each process that acts as hub. */
  static create(estimator: CapacityEstimator, name: string): CapacityHub {
    return new CapacityHub(estimator, name);
  }

  /** Takes in a node's samples and answers with what it does not know. */
  acceptPush(push: CapacityPush, nowMs: number): CapacityReply {
    for (const sample of push.samples) {
      const {id} = sample;
      const isChange = this.estimator.learnSample(id, sample, 0, nowMs);
      const count = (this.unpublished.get(id) ?? PUBLISH_SAMPLES - 1) + 1;
      this.unpublished.set(id, count);
      if (isChange || count >= PUBLISH_SAMPLES) this.publish(id);
    }
    const cursor = push.hub === this.name ? push.cursor : 0;
    const last = this.firstNumber + this.publications.length - 1;
    const ids = new Set<string>();
    // The latest changes come first; older ones that do not fit are skipped.
    for (let i = this.publications.length - 1; i >= 0; i--) {
      if (this.firstNumber + i <= cursor) break;
      if (ids.size >= MAX_ANSWERED_DIGESTS) break;
      ids.add(this.publications[i]);
    }
    const digests = [...ids]
      .map(id => this.estimator.exportDigest(id, nowMs))
      .filter(digest => digest !== undefined);
    return {hub: this.name, cursor: last, digests};
  }

  /** Forgets endpoints that are no longer registered. */
  removeUnregistered(registeredIds: ReadonlySet<string>): void {
    this.estimator.removeUnregistered(registeredIds);
    for (const id of this.unpublished.keys()) {
      if (!registeredIds.has(id)) this.unpublished.delete(id);
    }
  }

  private publish(id: string): void {
    this.unpublished.set(id, 0);
    this.publications.push(id);
    if (this.publications.length <= MAX_PUBLICATIONS) return;
    const removed = MAX_PUBLICATIONS / 2;
    this.publications = this.publications.slice(removed);
    this.firstNumber += removed;
  }
}
