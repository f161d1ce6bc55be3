/**
 * The operator's configuration of routed calls: which service answers which
 * host and path, and within which limits.
 */

import {Customer, CustomerDirectory} from './customer_directory';

/** Kind of a route's requests, which determines whether they may be retried. */
export type RouteKind =
  'idempotent' | 'non-idempotent' | 'streaming' | 'rollout';

/** A service that receives a share of a route's calls. */
export interface RouteTarget {
  readonly service: string;
  /** Share relative to the weights of the route's other targets. */
  readonly weight: number;
}

/** Maps a host and a path prefix to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Prefix of the route's paths, which starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Maximum time that a caller waits for the answer, in ms. */
  readonly timeoutMs: number;
  /** Latency that answers should not exceed, in ms. */
  readonly targetLatencyMs: number;
  /** Maximum number of endpoints to which one call is sent. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isResumable: boolean;
  /** Whether all events of a result must have one weight version. */
  readonly isSingleVersion: boolean;
  /** Whether callers without an API key may use the route. */
  readonly isPublic?: boolean;
  /** Time from the submission of a batch job to its last result, in ms. */
  readonly runDeadlineMs: number;
  /** Time from submission after which an item may be abandoned, in ms. */
  readonly retentionMs: number;
}

/** Properties of a service's model engines. */
export interface EngineDescription {
  /** Number of requests that run concurrently. */
  readonly slots: number;
  /** Capacity for prompt and generated tokens, in tokens. */
  readonly memoryTokens: number;
  /** Maximum number of tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  readonly models: readonly string[];
}

/** A service and the limits of its endpoints. */
export interface ServiceDescription {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum connections to one endpoint from all callers. */
  readonly maxConnections: number;
  readonly engine: EngineDescription | undefined;
}

/** Limits on the size of callers' requests and on their time to send them. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceDescription[];
  readonly limits: CallerLimits;
  /** Undefined if callers need no API key. */
  readonly customers?: readonly Customer[];
}

/** Routes by host, longest prefix first. */
export class RouteTable {
  private constructor(
    readonly configuration: Configuration,
    private readonly routesByHost: ReadonlyMap<string, readonly Route[]>,
    private readonly servicesByName: ReadonlyMap<string, ServiceDescription>,
    /** Undefined if callers need no API key. */
    readonly customers: CustomerDirectory | undefined,
  ) {}

  static create(configuration: Configuration): RouteTable {
    const byHost = new Map<string, Route[]>();
    for (const route of configuration.routes) {
      const routes = byHost.get(route.host) ?? [];
      routes.push(route);
      byHost.set(route.host, routes);
    }
    for (const routes of byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    const byService = new Map(
      configuration.services.map(service => [service.name, service]),
    );
    const {customers} = configuration;
    const directory = customers && CustomerDirectory.create(customers);
    return new RouteTable(configuration, byHost, byService, directory);
  }

  /** Finds the route of a host and path; `path` must not include the query. */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host.toLowerCase());
    return routes?.find(route => path.startsWith(route.pathPrefix));
  }

  /** Finds the rollout route of a host, which serves calls on its batch jobs. */
  findRolloutRoute(host: string): Route | undefined {
    const routes = this.routesByHost.get(host.toLowerCase());
    return routes?.find(route => route.kind === 'rollout');
  }

  findService(name: string): ServiceDescription | undefined {
    return this.servicesByName.get(name);
  }
}

/** Holds the newest configuration and rejects older ones. */
export class ConfigurationHolder {
  private table: RouteTable | undefined;

  private constructor() {}

  static create(): ConfigurationHolder {
    return new ConfigurationHolder();
  }

  /** Applies a configuration if it is newer, and returns whether it was. */
  accept(configuration: Configuration): boolean {
    const current = this.table?.configuration.version ?? -1;
    if (configuration.version <= current) return false;
    this.table = RouteTable.create(configuration);
    return true;
  }

  /** Returns the routes in force; undefined before the first configuration. */
  getTable(): RouteTable | undefined {
    return this.table;
  }
}

/** Picks a service at random by the weights of the route's targets. */
export function pickTarget(
  route: Route,
  random: () => number,
): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let point = random() * total;
  for (const target of route.targets) {
    point -= target.weight;
    if (point < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}
