/**
 * The capacity that the pool of a service offers to rollout steps, computed
 * from heartbeats and from this entry's own dispatches.
 */
import {
  Clock,
  EndpointView,
  FleetView,
  PoolSupply,
  VersionTracker,
} from '@sassafrasspan/core';

/**
 * Share of a pool's slots that steps may always fill, however loaded the pool
 * is. The agents' fair queues then decide what runs first.
 */
const GUARANTEED_SHARE = 0.25;

export interface StepPoolOptions {
  readonly fleet: FleetView;
  readonly clock: Clock;
}

/** Load at an endpoint from other entries, computed at one heartbeat. */
interface ExternalLoad {
  /** Agent time of the heartbeat, which identifies it. */
  readonly tick: number;
  readonly requests: number;
}

/** Computes the free capacity and the weight versions of pools. */
export class StepPool {
  private readonly externalLoads = new Map<string, ExternalLoad>();
  private readonly versionTrackers = new Map<string, VersionTracker>();

  private constructor(private readonly options: StepPoolOptions) {}

  static create(options: StepPoolOptions): StepPool {
    return new StepPool(options);
  }

  /** Records a published version of a service. */
  observeVersion(service: string, version: number): void {
    const nowMs = this.options.clock.readMonotonicMs();
    this.getTracker(service).observeVersion(version, nowMs);
  }

  private getTracker(service: string): VersionTracker {
    const existing = this.versionTrackers.get(service);
    if (existing !== undefined) return existing;
    const tracker = VersionTracker.create();
    this.versionTrackers.set(service, tracker);
    return tracker;
  }

  /** Returns the newest version of a service, published or in a heartbeat. */
  findNewestVersion(service: string): number {
    const nowMs = this.options.clock.readMonotonicMs();
    const endpoints = this.options.fleet.listEndpoints(service, nowMs);
    for (const endpoint of endpoints) {
      this.observeVersion(service, endpoint.weightVersion);
    }
    return this.getTracker(service).getNewestVersion();
  }

  /** Describes the supply while this entry runs `ownCopies` copies for steps. */
  describeSupply(service: string, ownCopies: number): PoolSupply {
    const nowMs = this.options.clock.readMonotonicMs();
    const serving = this.options.fleet.listServing(service, nowMs);
    const slots = sumAll(serving.map(item => item.slots));
    const free = sumAll(serving.map(item => this.countFree(item)));
    const floor = Math.ceil(slots * GUARANTEED_SHARE) - ownCopies;
    const speeds = serving
      .map(item => item.tokensPerSecond)
      .filter(speed => speed > 0);
    const versions = this.getTracker(service).describe(nowMs);
    return {
      slots,
      freeSlots: Math.max(0, free, floor),
      servedVersion: Math.max(0, ...serving.map(item => item.weightVersion)),
      versionIntervalMs: versions.intervalMs,
      sinceVersionMs: versions.sinceNewestMs,
      tokensPerSecond: speeds.length ? sumAll(speeds) / speeds.length : 0,
    };
  }

  /** Counts the slots of an endpoint that no entry uses. */
  private countFree(endpoint: EndpointView): number {
    const used = endpoint.outstanding + this.countExternal(endpoint);
    return Math.max(0, endpoint.slots - used);
  }

  /**
   * Returns the requests of other entries at an endpoint. They are recomputed
   * only at a new heartbeat, since this entry's own dispatches between two
   * heartbeats are not in the reported load.
   */
  private countExternal(endpoint: EndpointView): number {
    const lastLoad = this.externalLoads.get(endpoint.name);
    if (lastLoad?.tick === endpoint.tick) return lastLoad.requests;
    const reported = endpoint.running + endpoint.queued;
    const requests = Math.max(0, reported - endpoint.outstanding);
    this.externalLoads.set(endpoint.name, {tick: endpoint.tick, requests});
    return requests;
  }
}

function sumAll(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
