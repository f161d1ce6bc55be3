/**
 * What the pool of a service offers to rollout steps, from heartbeats and
 * from this entry's own dispatches.
 */
import {
  Clock,
  EndpointView,
  FleetView,
  PoolSupply,
  VersionTracker,
} from '@sassafrasspan/core';

/** Share of a pool that steps may fill whatever others do there; the agents'
 * fair queues then decide. */
const GUARANTEED_SHARE = 0.25;

/** What a step pool is built from. */
export interface StepPoolOptions {
  readonly fleet: FleetView;
  readonly clock: Clock;
}

/** Load of others at an endpoint, as of one heartbeat. */
interface ExternalLoad {
  readonly tick: number;
  readonly requests: number;
}

/** Supply of the pools that steps run on. */
export class StepPool {
  private readonly externalLoads = new Map<string, ExternalLoad>();
  private readonly versionTrackers = new Map<string, VersionTracker>();

  private constructor(private readonly options: StepPoolOptions) {}

  /** Builds a view that has seen no heartbeat. */
  static create(options: StepPoolOptions): StepPool {
    return new StepPool(options);
  }

  /** Takes in a published version of a service. */
  observeVersion(service: string, version: number): void {
    const nowMs = this.options.clock.readMonotonicMs();
    this.getTracker(service).observeVersion(version, nowMs);
  }

  private getTracker(service: string): VersionTracker {
    const known = this.versionTrackers.get(service);
    if (known !== undefined) return known;
    const tracker = VersionTracker.create();
    this.versionTrackers.set(service, tracker);
    return tracker;
  }

  /** Returns the newest version of a service that this entry knows of. */
  findNewestVersion(service: string): number {
    const nowMs = this.options.clock.readMonotonicMs();
    const endpoints = this.options.fleet.listEndpoints(service, nowMs);
    for (const endpoint of endpoints) {
      this.observeVersion(service, endpoint.weightVersion);
    }
    return this.getTracker(service).getNewestVersion();
  }

  /** Describes the supply while steps have `ownCopies` under way here. */
  describeSupply(service: string, ownCopies: number): PoolSupply {
    const nowMs = this.options.clock.readMonotonicMs();
    const serving = this.options.fleet.listServing(service, nowMs);
    const slots = sumAll(serving.map(item => item.slots));
    const free = sumAll(serving.map(item => this.countFree(item)));
    const floor = Math.ceil(slots * GUARANTEED_SHARE) - ownCopies;
    const speeds = serving
      .map(item => item.tokensPerSecond)
      .filter(speed => speed > 0);
    const pace = this.getTracker(service).describe(nowMs);
    return {
      slots,
      freeSlots: Math.max(0, free, floor),
      servedVersion: Math.max(0, ...serving.map(item => item.weightVersion)),
      versionIntervalMs: pace.intervalMs,
      sinceVersionMs: pace.sinceNewestMs,
      tokensPerSecond: speeds.length ? sumAll(speeds) / speeds.length : 0,
    };
  }

  /** Counts the slots of an endpoint that nobody uses. */
  private countFree(endpoint: EndpointView): number {
    const used = endpoint.outstanding + this.countExternal(endpoint);
    return Math.max(0, endpoint.slots - used);
  }

  /** Own dispatches are known at once, those of others by heartbeat. */
  private countExternal(endpoint: EndpointView): number {
    const known = this.externalLoads.get(endpoint.name);
    if (known?.tick === endpoint.tick) return known.requests;
    const reported = endpoint.running + endpoint.queued;
    const requests = Math.max(0, reported - endpoint.outstanding);
    this.externalLoads.set(endpoint.name, {tick: endpoint.tick, requests});
    return requests;
  }
}

function sumAll(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
