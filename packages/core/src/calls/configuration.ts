/**
 * The operator's configuration of routed calls: which service answers which
 * host and path, and within which bounds. One that was taken is only ever
 * followed by a newer one.
 */

/** What a route's requests are, and so what may be repeated. */
export type RouteKind =
  'idempotent' | 'non-idempotent' | 'streaming' | 'rollout';

/** A service that a route sends to, with its share. */
export interface RouteTarget {
  readonly service: string;
  /** Share among the targets of the route. */
  readonly weight: number;
}

/** A route. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Beginning of the paths of the route, with a slash at both ends. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Longest time for which a caller is kept waiting, in ms. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth most, in ms. */
  readonly targetLatencyMs: number;
  /** Endpoints to which one call may be sent. */
  readonly maxAttempts: number;
  /** Rank, 0 is the most urgent. */
  readonly priority: number;
  readonly isResumable: boolean;
  /** Whether all events of a result must have one weight version. */
  readonly isSingleVersion: boolean;
  /** Time from the submission of a batch job to its last result, in ms. */
  readonly runDeadlineMs: number;
  /** Time from a submission after which an item may be given up, in ms. */
  readonly retentionMs: number;
}

/** A model engine as the operator describes it. */
export interface EngineDescription {
  /** Requests that run at once. */
  readonly slots: number;
  /** Memory for prompts and generated tokens, in tokens. */
  readonly memoryTokens: number;
  /** Most tokens of one event of a stream. */
  readonly tokensPerEvent: number;
  readonly models: readonly string[];
}

/** A service and what bounds its endpoints. */
export interface ServiceDescription {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one endpoint accepts from all callers. */
  readonly maxConnections: number;
  readonly engine: EngineDescription | undefined;
}

/** What callers may send, and how slowly. */
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
}

/** Routes by host, longest prefix first. */
export class RouteTable {
  private constructor(
    readonly configuration: Configuration,
    private readonly routesByHost: ReadonlyMap<string, readonly Route[]>,
    private readonly servicesByName: ReadonlyMap<string, ServiceDescription>,
  ) {}

  /** Indexes a configuration. */
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
    const services = configuration.services;
    const byService = new Map(services.map(item => [item.name, item]));
    return new RouteTable(configuration, byHost, byService);
  }

  /** Finds the route of a host and path without its query. */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host.toLowerCase());
    return routes?.find(route => path.startsWith(route.pathPrefix));
  }

  /** Finds the rollout route of a host, for calls about its batch jobs. */
  findRolloutRoute(host: string): Route | undefined {
    const routes = this.routesByHost.get(host.toLowerCase());
    return routes?.find(route => route.kind === 'rollout');
  }

  /** Finds a service. */
  findService(name: string): ServiceDescription | undefined {
    return this.servicesByName.get(name);
  }
}

/** Keeps the newest configuration; an older one is never taken. */
export class ConfigurationHolder {
  private table: RouteTable | undefined;

  private constructor() {}

  /** Builds a holder without a configuration. */
  static create(): ConfigurationHolder {
    return new ConfigurationHolder();
  }

  /** Takes a configuration if it is newer than the one in force. */
  accept(configuration: Configuration): boolean {
    const current = this.table?.configuration.version ?? -1;
    if (configuration.version <= current) return false;
    this.table = RouteTable.create(configuration);
    return true;
  }

  /** Returns the routes in force; undefined before the first. */
  getTable(): RouteTable | undefined {
    return this.table;
  }
}

/** Chooses the service of a route by the shares of its targets. */
export function pickTarget(
  route: Route,
  random: () => number,
): string | undefined {
  const total = route.targets.reduce((sum, item) => sum + item.weight, 0);
  let point = random() * total;
  for (const target of route.targets) {
    point -= target.weight;
    if (point < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}
