/**
 * Routes and endpoints as a node knows them, kept current by a source. What is
 * in force never goes back, and endpoints that lapsed in an outage have their
 * time to return.
 */
import {
  Clock,
  ConfigurationHolder,
  EndpointDirectory,
  EndpointEntry,
  RouteTable,
} from '@sassafrasspan/core';
import type {EventLog} from '@sassafrasspan/runtime';
import type {
  EndpointListener,
  FleetSource,
  RunnableWatch,
} from './fleet_source';

/** Time between checks of lapsed registrations, in ms. */
const LAPSE_CHECK_INTERVAL_MS = 250;

/** What a fleet's state is built from. */
export interface FleetStateOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Hears of routes that came into force. */
  readonly onRoutesChanged: (table: RouteTable) => void;
  /** Hears of changed endpoints. */
  readonly onEndpointsChanged: () => void;
}

/** Routes and endpoints. */
export class FleetState {
  readonly endpoints = EndpointDirectory.create();
  private readonly configuration = ConfigurationHolder.create();
  private watches: RunnableWatch[] = [];
  private routeWatch: RunnableWatch | undefined;
  private timer: NodeJS.Timeout | undefined;
  private hasListedEndpoints = false;

  private constructor(private readonly options: FleetStateOptions) {}

  /** Builds a state that knows nothing. */
  static create(options: FleetStateOptions): FleetState {
    return new FleetState(options);
  }

  /** Follows a source from now on. */
  start(source: FleetSource): void {
    this.routeWatch = source.createRouteWatch(configuration => {
      if (!this.configuration.accept(configuration)) return;
      const {version} = configuration;
      this.options.log.writeEvent('configuration-in-force', {version});
      const table = this.configuration.getTable();
      if (table !== undefined) this.options.onRoutesChanged(table);
    });
    const endpointWatch = source.createEndpointWatch(this.createListener());
    this.watches = [this.routeWatch, endpointWatch];
    for (const watch of this.watches) void watch.run();
    this.timer = setInterval(() => this.dropLapsed(), LAPSE_CHECK_INTERVAL_MS);
  }

  /** Follows nothing any more; what is known stays. */
  stop(): void {
    for (const watch of this.watches) watch.stop();
    this.watches = [];
    clearInterval(this.timer);
  }

  /** Returns the routes in force; undefined before the first. */
  getTable(): RouteTable | undefined {
    return this.configuration.getTable();
  }

  /** Tells whether routes and endpoints have been read once. */
  isComplete(): boolean {
    return this.hasListedEndpoints && this.getTable() !== undefined;
  }

  /** Returns the age of the routes' last confirmation, in ms. */
  computeRouteAgeMs(): number {
    const confirmedAtMs = this.routeWatch?.getLastAnswerAtMs() ?? -Infinity;
    return this.readMs() - confirmedAtMs;
  }

  private createListener(): EndpointListener {
    const {endpoints} = this;
    const {log, onEndpointsChanged: onEndpoints} = this.options;
    return {
      onListed: entries => {
        this.hasListedEndpoints = true;
        endpoints.replaceAll(entries, this.readMs());
        onEndpoints();
      },
      onPut: entry => {
        this.putEndpoint(entry);
        onEndpoints();
      },
      onRemoved: id => {
        endpoints.remove(id, this.readMs());
        onEndpoints();
      },
      onInvalid: id => {
        log.writeEvent('endpoint-rejected', {endpoint: id});
        endpoints.remove(id, this.readMs());
        onEndpoints();
      },
      onStoreUnavailable: () => endpoints.markStoreUnavailable(),
      onStoreAvailable: () => endpoints.markStoreAvailable(this.readMs()),
    };
  }

  private putEndpoint(entry: EndpointEntry): void {
    const before = this.endpoints.find(entry.id);
    this.endpoints.put(entry);
    if (before === undefined || !entry.isDraining) return;
    this.options.log.writeEvent('endpoint-leaving', {endpoint: entry.id});
  }

  private dropLapsed(): void {
    const dropped = this.endpoints.dropLapsed(this.readMs());
    for (const endpoint of dropped) {
      this.options.log.writeEvent('endpoint-gone', {endpoint});
    }
    if (dropped.length > 0) this.options.onEndpointsChanged();
  }

  private readMs(): number {
    return this.options.clock.readMonotonicMs();
  }
}
