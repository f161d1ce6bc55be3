/**
 * An entry without its wire formats: when it is ready, which route a request
 * takes, and how it leaves without cutting anything off.
 */
import {
  Clock,
  EndpointPool,
  Quarantine,
  RandomSource,
  Route,
  RouteBurnTracker,
  RouteTable,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
import type {ClusterWatch, PeerClient, PeerRoutes} from '@sassafrasspan/peers';
import {FleetSource, FleetState} from '@sassafrasspan/platform';
import {
  EventLog,
  Metrics,
  PeerAddress,
  parseAddress,
  waitMs,
} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {CallForwarder, CallResult} from './call_forwarder';
import type {EndpointCaller, RoutedCall} from './call_types';
import {SuspicionSpreader} from './suspicion_spreader';

/** Age of the configuration up to which a missing route is stated, in ms: two
 * waits of its watch. */
const FRESH_ROUTES_MS = 3_500;
/** Endpoints that a request may crash before it is not run any more. */
const MAX_CRASHES = 3;
/** Time after the start of a drain in which the balancer may still send work,
 * in ms: two of its questions. */
const DRAIN_MIN_MS = 2_200;
/** Time kept free before the end of the grace period, in ms. */
const DRAIN_RESERVE_MS = 500;
const DRAIN_CHECK_MS = 50;

/** What an entry is built from. */
export interface EntryRoleOptions {
  readonly name: string;
  readonly failureDomain: string;
  readonly cluster: ClusterWatch;
  readonly peers: PeerClient;
  readonly caller: EndpointCaller;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly burn: RouteBurnTracker;
  /** Hears of routes that came into force. */
  readonly onRoutes: (table: RouteTable) => void;
}

/** A request as far as its route depends on it. */
export interface RoutableRequest {
  readonly id: string;
  readonly host: string;
  readonly path: string;
}

/** A request's route. */
export interface MatchedRoute {
  readonly route: Route;
  readonly configurationVersion: number;
}

/** An entry. */
export class EntryRole {
  private readonly fleet: FleetState;
  private readonly forwarder: CallForwarder;
  private readonly spreader: SuspicionSpreader;
  private isDraining = false;

  private constructor(private readonly options: EntryRoleOptions) {
    const {failureDomain, caller, clock, random, log, metrics, peers, burn} =
      options;
    this.fleet = FleetState.create({
      clock,
      log,
      onRoutes: options.onRoutes,
      onEndpoints: () => undefined,
    });
    const quarantine = Quarantine.create(MAX_CRASHES);
    this.spreader = SuspicionSpreader.create({
      quarantine,
      peers,
      listEntries: () => this.listOthers(),
    });
    this.forwarder = CallForwarder.create({
      endpoints: this.fleet.endpoints,
      pool: EndpointPool.create(failureDomain, random),
      caller,
      quarantine,
      clock,
      random,
      log,
      metrics,
      burn,
    });
  }

  /** Builds an entry that has not started. */
  static create(options: EntryRoleOptions): EntryRole {
    return new EntryRole(options);
  }

  /** Follows routes and endpoints. */
  start(source: FleetSource): void {
    this.fleet.follow(source);
  }

  /** Returns the calls that other entries make. */
  createRoutes(): PeerRoutes {
    return this.spreader.createRoutes();
  }

  /** Tells whether the balancer should send work. */
  isReady(): boolean {
    return this.fleet.isComplete() && !this.isDraining;
  }

  /** Tells whether the entry finishes what it has and then ends. */
  isLeaving(): boolean {
    return this.isDraining;
  }

  /** Returns the routes in force. */
  getTable(): Result<RouteTable, ServiceError> {
    const table = this.fleet.getTable();
    return table === undefined
      ? err(createError('not-ready', 'no routes yet'))
      : ok(table);
  }

  /** Returns the routes in force for a request, which is refused without. */
  findTable(requestId: string): Result<RouteTable, ServiceError> {
    const table = this.getTable();
    if (table.isErr()) {
      const {kind, detail} = table.error;
      const fields = {requestId, kind, detail};
      this.options.log.writeEvent('request-refused', fields);
    }
    return table;
  }

  /** Finds the route of a request; a missing one is stated only by routes that
   * are known to be fresh. */
  matchRoute(request: RoutableRequest): Result<MatchedRoute, ServiceError> {
    const {id, host, path} = request;
    return this.getTable().andThen(table => {
      const {version} = table.configuration;
      const route = table.findRoute(host, path);
      if (route !== undefined) {
        return ok({route, configurationVersion: version});
      }
      const ageMs = this.fleet.computeRouteAgeMs();
      const kind = ageMs > FRESH_ROUTES_MS ? 'not-ready' : 'not-found';
      const detail = `no route for ${host}${path}`;
      const fields = {requestId: id, configuration: version, ageMs};
      this.options.log.writeEvent('request-refused', {...fields, kind, detail});
      return err(createError(kind, detail));
    });
  }

  /** Forwards a call to an endpoint of its route. */
  forward(call: RoutedCall, matched: MatchedRoute): Promise<CallResult> {
    return this.forwarder.forward({call, ...matched});
  }

  /**
   * Leaves: is not ready from now on, and resolves when nothing is open and the
   * balancer has had time to notice, or the grace period is nearly over.
   */
  async drain(graceMs: number, countOpen: () => number): Promise<void> {
    this.isDraining = true;
    const {clock} = this.options;
    const startedAtMs = clock.readMonotonicMs();
    for (;;) {
      await waitMs(DRAIN_CHECK_MS);
      const passedMs = clock.readMonotonicMs() - startedAtMs;
      if (passedMs > graceMs - DRAIN_RESERVE_MS) return;
      if (passedMs >= DRAIN_MIN_MS && countOpen() === 0) return;
    }
  }

  private listOthers(): PeerAddress[] {
    return this.options.cluster
      .listNodes('entry')
      .filter(node => node.name !== this.options.name)
      .map(node => parseAddress(node.address))
      .filter(address => address !== undefined);
  }
}
