/**
 * An entry independent of wire formats: its readiness, the routing of requests,
 * and a shutdown that doesn't interrupt requests in progress.
 */
import {
  CapacityMode,
  Clock,
  EndpointSelector,
  RandomSource,
  Route,
  RouteBurnTracker,
  RouteTable,
  ServiceError,
  createError,
  decideAccess,
} from '@sassafrasspan/core';
import {EndpointRates} from '@sassafrasspan/limits';
import {
  ClusterWatch,
  PeerClient,
  PeerRoutes,
  StreamOriginKeeper,
} from '@sassafrasspan/peers';
import {
  FleetSource,
  FleetState,
  ObjectCollections,
} from '@sassafrasspan/platform';
import {EventLog, Metrics, waitMs} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {CallForwarder, CallResult} from './call_forwarder';
import type {
  EndpointCaller,
  EndpointProber,
  RoutedCall,
  StartRecorder,
} from './call_types';
import {CapacitySharing} from './capacity_sharing';
import {CrashWatch} from './crash_watch';
import {DrainedServer, decideDrain} from './entry_drain';
import {StreamForwarder} from './stream_forwarder';

/** Age of the configuration up to which a missing route is reported as such, in
 * ms: two waits of its watch. */
const MAX_FRESH_AGE_MS = 3_500;
/** Interval at which a drain checks for open requests, in ms; also the time for
 * which the process goes on after its last answers. */
const DRAIN_CHECK_MS = 50;

export interface EntryRoleOptions {
  readonly name: string;
  readonly failureDomain: string;
  readonly cluster: ClusterWatch;
  readonly peers: PeerClient;
  readonly store: ObjectCollections;
  readonly caller: EndpointCaller & EndpointProber;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly burn: RouteBurnTracker;
  /** Undefined if starts of calls are not counted. */
  readonly starts?: StartRecorder;
  /** Whether learned capacity decides on endpoints; off if absent. */
  readonly capacityEstimates?: CapacityMode;
  /** Called with each route table that takes effect. */
  readonly onRoutes: (table: RouteTable) => void;
}

/** The parts of a request that determine its route. */
export interface RoutableRequest {
  readonly id: string;
  readonly host: string;
  readonly path: string;
}

/** What identifies the caller of a request. */
export interface CallerCredentials {
  readonly id: string;
  /** Digest of the caller's API key; undefined if there is none. */
  readonly keyDigest: string | undefined;
}

export interface MatchedRoute {
  readonly route: Route;
  readonly configurationVersion: number;
}

/** Must be started before it is ready. */
export class EntryRole {
  private readonly fleet: FleetState;
  private readonly forwarder: CallForwarder;
  private readonly crashes: CrashWatch;
  private readonly rates: EndpointRates;
  private readonly originKeeper: StreamOriginKeeper;
  private readonly streams: StreamForwarder;
  private readonly capacity: CapacitySharing;
  private isDraining = false;

  private constructor(private readonly options: EntryRoleOptions) {
    const {failureDomain, caller, clock, random, log, metrics, burn} = options;
    this.fleet = FleetState.create({
      clock,
      log,
      onRoutesChanged: options.onRoutes,
      onEndpointsChanged: () => {
        const endpoints = this.fleet.endpoints.listAll();
        this.rates.removeUnregistered(endpoints);
        this.capacity.removeUnregistered(new Set(endpoints.map(({id}) => id)));
        this.crashes.setEndpoints(endpoints);
      },
    });
    this.originKeeper = StreamOriginKeeper.create(clock);
    this.capacity = CapacitySharing.create(options);
    this.rates = EndpointRates.create(options);
    this.crashes = CrashWatch.create({...options, prober: caller});
    this.forwarder = CallForwarder.create({
      endpoints: this.fleet.endpoints,
      pool: EndpointSelector.create(
        failureDomain,
        random,
        this.capacity.getPusher(),
      ),
      caller,
      rateGate: this.rates.gate,
      crashes: this.crashes,
      clock,
      random,
      log,
      metrics,
      burn,
      starts: options.starts,
    });
    const {forwarder} = this;
    const {originKeeper: keeper} = this;
    this.streams = StreamForwarder.create({...options, forwarder, keeper});
  }

  static create(options: EntryRoleOptions): EntryRole {
    return new EntryRole(options);
  }

  /** Starts to watch routes and endpoints. */
  start(source: FleetSource): void {
    this.crashes.start();
    this.fleet.start(source);
    this.rates.start();
    this.capacity.start();
  }

  /** Returns handlers for the calls of other entries. */
  createRoutes(): PeerRoutes {
    return {
      ...this.crashes.createRoutes(),
      ...this.rates.createRoutes(),
      ...this.originKeeper.createRoutes(),
    };
  }

  /** Returns whether the load balancer should send requests. */
  isReady(): boolean {
    return this.fleet.isComplete() && !this.isDraining;
  }

  /** Returns whether the entry only finishes its open requests. */
  isShuttingDown(): boolean {
    return this.isDraining;
  }

  /** Returns the current routes; fails with `not-ready` if there are none. */
  getTable(): Result<RouteTable, ServiceError> {
    const table = this.fleet.getTable();
    return table === undefined
      ? err(createError('not-ready', 'no routes yet'))
      : ok(table);
  }

  /** Like `getTable`, but logs that the request is refused on failure. */
  findTable(requestId: string): Result<RouteTable, ServiceError> {
    const table = this.getTable();
    if (table.isErr()) {
      const {kind, detail} = table.error;
      const fields = {requestId, kind, detail};
      this.options.log.writeEvent('request-refused', fields);
    }
    return table;
  }

  /**
   * Finds the route of a request. If there is none, fails with `not-found` when
   * the routes are known to be fresh, and with `not-ready` otherwise.
   */
  matchRoute(request: RoutableRequest): Result<MatchedRoute, ServiceError> {
    const {id, host, path} = request;
    return this.getTable().andThen(table => {
      const {version} = table.configuration;
      const route = table.findRoute(host, path);
      if (route !== undefined) {
        return ok({route, configurationVersion: version});
      }
      const ageMs = this.fleet.computeRouteAgeMs();
      const kind = ageMs > MAX_FRESH_AGE_MS ? 'not-ready' : 'not-found';
      const detail = `no route for ${host}${path}`;
      const fields = {requestId: id, configuration: version, ageMs};
      this.options.log.writeEvent('request-refused', {...fields, kind, detail});
      return err(createError(kind, detail));
    });
  }

  /**
   * Finds the customer of a request to a route; undefined if callers need no key.
   * Fails with `unauthenticated` for an unknown key, and with `not-ready` while a
   * newer configuration may hold the key.
   */
  authenticate(
    credentials: CallerCredentials,
    route: Pick<Route, 'name' | 'isPublic'>,
    table: RouteTable,
  ): Result<string | undefined, ServiceError> {
    const {id, keyDigest} = credentials;
    const ageMs = this.fleet.computeRouteAgeMs();
    const access = decideAccess({
      customers: table.customers,
      keyDigest,
      isPublic: route.isPublic ?? false,
      isFresh: ageMs <= MAX_FRESH_AGE_MS,
    });
    if (access.type === 'allowed') return ok(access.customer);
    const {kind, detail} = access.error;
    const {version} = table.configuration;
    const fields = {requestId: id, route: route.name, ageMs};
    this.options.log.writeEvent('request-refused', {
      ...fields,
      configuration: version,
      kind,
      detail,
    });
    this.options.metrics.addCount('requests_refused_total', {kind});
    return err(access.error);
  }

  forward(call: RoutedCall, matched: MatchedRoute): Promise<CallResult> {
    const isStream = matched.route.kind === 'streaming';
    const forwarder = isStream ? this.streams : this.forwarder;
    return forwarder.forward({call, ...matched});
  }

  /**
   * Makes the entry not ready. Resolves when the load balancer has had time to
   * notice and no request is passed on without an answer, at the latest shortly
   * before the grace period ends. Near its end, further requests are refused.
   */
  async drain(graceMs: number, server: DrainedServer): Promise<void> {
    this.isDraining = true;
    const {clock, log} = this.options;
    const startedAtMs = clock.readMonotonicMs();
    let isRefusing = false;
    for (;;) {
      await waitMs(DRAIN_CHECK_MS);
      const elapsedMs = clock.readMonotonicMs() - startedAtMs;
      const open = server.countOpen();
      const passedOn = server.countPassedOn();
      const progress = {elapsedMs, graceMs, open, passedOn, isRefusing};
      const decision = decideDrain(progress);
      if (decision !== 'serve' && !isRefusing) {
        isRefusing = true;
        server.refuseRequests();
        log.writeEvent('entry-closing', {elapsedMs, graceMs, open, passedOn});
      }
      if (decision === 'abandon') server.abandonPassedOn();
      if (decision === 'exit' || decision === 'abandon') break;
    }
    await waitMs(DRAIN_CHECK_MS);
  }
}
