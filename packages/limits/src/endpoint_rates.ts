/**
 * A node's part in keeping the limits that endpoints state: it admits its own
 * sends, keeps the limits of some endpoints, and exchanges what it observes.
 */
import {Clock, EndpointEntry, RateKeeper} from '@sassafrasspan/core';
import {
  ClusterWatch,
  PeerClient,
  PeerRoutes,
  createHandler,
} from '@sassafrasspan/peers';
import type {EventLog, Metrics} from '@sassafrasspan/runtime';
import {ok} from 'neverthrow';
import {KeeperDirectory} from './keeper_directory';
import {LimitExchange} from './limit_exchange';
import {GRANT_REQUEST_SCHEMA, LIMIT_PATHS} from './limit_messages';
import {RateGate} from './rate_gate';

/** Time for which sends are denied by a node that does not keep the limit, in
 * ms: its view of the nodes may be newer than the sender's. */
const NOT_KEEPER_MS = 250;

export interface EndpointRatesOptions {
  readonly name: string;
  readonly cluster: ClusterWatch;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

export class EndpointRates {
  readonly gate: RateGate;
  private readonly directory: KeeperDirectory;
  private readonly keeper = RateKeeper.create();
  private readonly exchange: LimitExchange;

  private constructor(private readonly options: EndpointRatesOptions) {
    const {name, cluster} = options;
    this.directory = KeeperDirectory.create(cluster, name);
    this.gate = RateGate.create({
      ...options,
      directory: this.directory,
      keeper: this.keeper,
      onChanged: observation => this.exchange.notifyOthers(observation),
    });
    this.exchange = LimitExchange.create({
      ...options,
      directory: this.directory,
      onObserved: observation => this.gate.recordObservation(observation),
      listObservations: () => this.gate.listObservations(),
    });
  }

  static create(options: EndpointRatesOptions): EndpointRates {
    return new EndpointRates(options);
  }

  /** Learns the limits that other nodes know. */
  start(): void {
    void this.exchange.fetchKnown();
  }

  /** Returns the handlers for calls of other nodes. */
  createRoutes(): PeerRoutes {
    return {
      ...this.exchange.createRoutes(),
      [LIMIT_PATHS.grant]: createHandler(GRANT_REQUEST_SCHEMA, request => {
        const isKeeper =
          this.directory.findOwnRank(request.endpointId) === request.rank;
        if (!isKeeper) return ok({granted: 0, nextInMs: NOT_KEEPER_MS});
        const nowMs = this.options.clock.readMonotonicMs();
        return ok(this.keeper.grantSends(request, nowMs));
      }),
    };
  }

  /** Forgets endpoints that are no longer registered. */
  removeUnregistered(endpoints: readonly EndpointEntry[]): void {
    const ids = new Set(endpoints.map(endpoint => endpoint.id));
    this.gate.removeUnregistered(ids);
    this.keeper.removeUnregistered(ids);
  }
}
