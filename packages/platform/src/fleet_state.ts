/**
 * A node's current view of routes and endpoints, updated by watches. A
 * configuration is never replaced by an older one, and endpoints whose
 * registration lapsed in an outage have a grace period to register again.
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

const LAPSE_CHECK_INTERVAL_MS = 250;

export interface FleetStateOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Called when newer routes come into force. */
  readonly onRoutesChanged: (table: RouteTable) => void;
  /** Called when the registered endpoints may have changed. */
  readonly onEndpointsChanged: () => void;
}

export class FleetState {
  readonly endpoints = EndpointDirectory.create();
  private readonly configuration = ConfigurationHolder.create();
  private watches: RunnableWatch[] = [];
  private routeWatch: RunnableWatch | undefined;
  private timer: NodeJS.Timeout | undefined;
  private hasListedEndpoints = false;

  private constructor(private readonly options: FleetStateOptions) {}

  static create(options: FleetStateOptions): FleetState {
    return new FleetState(options);
  }

  /** Starts the watches of a source. */
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

  /** Stops all watches; routes and endpoints keep their last state. */
  stop(): void {
    for (const watch of this.watches) watch.stop();
    this.watches = [];
    clearInterval(this.timer);
  }

  /** Returns the routes in force; undefined before the first configuration. */
  getTable(): RouteTable | undefined {
    return this.configuration.getTable();
  }

  /** Returns whether both routes and endpoints have been received. */
  isComplete(): boolean {
    return this.hasListedEndpoints && this.getTable() !== undefined;
  }

  /**
   * Returns the time since the routes' watch last received an answer, in ms;
   * Infinity before the first.
   */
  computeRouteAgeMs(): number {
    const lastAnswerAtMs = this.routeWatch?.getLastAnswerAtMs() ?? -Infinity;
    return this.readMs() - lastAnswerAtMs;
  }

  private createListener(): EndpointListener {
    const {endpoints} = this;
    const {log, onEndpointsChanged} = this.options;
    return {
      onListed: entries => {
        this.hasListedEndpoints = true;
        endpoints.replaceAll(entries, this.readMs());
        onEndpointsChanged();
      },
      onPut: entry => {
        this.putEndpoint(entry);
        onEndpointsChanged();
      },
      onRemoved: id => {
        endpoints.remove(id, this.readMs());
        onEndpointsChanged();
      },
      onInvalid: id => {
        log.writeEvent('endpoint-rejected', {endpoint: id});
        endpoints.remove(id, this.readMs());
        onEndpointsChanged();
      },
      onStoreUnavailable: () => endpoints.markStoreUnavailable(),
      onStoreAvailable: () => endpoints.markStoreAvailable(this.readMs()),
    };
  }

  private putEndpoint(entry: EndpointEntry): void {
    const previous = this.endpoints.find(entry.id);
    this.endpoints.put(entry);
    if (previous === undefined || !entry.isDraining) return;
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
