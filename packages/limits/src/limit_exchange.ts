/**
 * Exchanges what nodes observe of endpoints' limits, so that each of them knows a
 * limit before its own first send, and none keeps to a limit that has ended.
 */
import type {Clock, LimitObservation} from '@sassafrasspan/core';
import {PeerClient, PeerRoutes, createHandler} from '@sassafrasspan/peers';
import {parseAddress, waitMs} from '@sassafrasspan/runtime';
import {ok} from 'neverthrow';
import * as z from 'zod/mini';
import type {KeeperDirectory} from './keeper_directory';
import {
  DONE_SCHEMA,
  LIMIT_PATHS,
  OBSERVATIONS_SCHEMA,
  ObservationsMessage,
} from './limit_messages';

/** Timeout of a call to another node, in ms. */
const TIMEOUT_MS = 500;
/** Time for which observations are collected into one message, in ms. */
const COLLECT_MS = 20;
/** Delay before a node that has started asks again, in ms, and how often. */
const LIST_RETRY_MS = 200;
const LIST_ATTEMPTS = 10;

export interface LimitExchangeOptions {
  readonly directory: KeeperDirectory;
  readonly peers: PeerClient;
  readonly clock: Clock;
  /** Applies an observation of another node. */
  readonly onObserved: (observation: LimitObservation) => void;
  readonly listObservations: () => readonly LimitObservation[];
}

export class LimitExchange {
  /** Latest observations that are not sent yet, by endpoint. */
  private readonly unsent = new Map<string, LimitObservation>();
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: LimitExchangeOptions) {}

  static create(options: LimitExchangeOptions): LimitExchange {
    return new LimitExchange(options);
  }

  /** Returns the handlers for calls of other nodes. */
  createRoutes(): PeerRoutes {
    return {
      [LIMIT_PATHS.observed]: createHandler(OBSERVATIONS_SCHEMA, message => {
        this.receive(message);
        return ok({});
      }),
      [LIMIT_PATHS.list]: createHandler(z.unknown(), () =>
        ok(this.createMessage(this.options.listObservations())),
      ),
    };
  }

  /** Sends an observation of this node to all others that send calls. */
  notifyOthers(observation: LimitObservation): void {
    this.unsent.set(observation.endpointId, observation);
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.sendObservations();
    }, COLLECT_MS);
  }

  /** Asks other nodes for the limits that they know, until one answers. */
  async fetchKnown(): Promise<void> {
    for (let attempt = 0; attempt < LIST_ATTEMPTS; attempt++) {
      const others = this.options.directory.listOtherSenders();
      const address = parseAddress(others[attempt % others.length] ?? '');
      if (address !== undefined) {
        const reply = await this.options.peers.call({
          address,
          path: LIMIT_PATHS.list,
          body: {},
          schema: OBSERVATIONS_SCHEMA,
          timeoutMs: TIMEOUT_MS,
        });
        if (reply.isOk()) return this.receive(reply.value);
      }
      await waitMs(LIST_RETRY_MS);
    }
  }

  private receive({observations}: ObservationsMessage): void {
    const nowMs = this.options.clock.readMonotonicMs();
    for (const {endpointId, perSecond, ageMs} of observations) {
      const atMs = nowMs - ageMs;
      this.options.onObserved({endpointId, perSecond, atMs});
    }
  }

  private createMessage(
    observations: readonly LimitObservation[],
  ): ObservationsMessage {
    const nowMs = this.options.clock.readMonotonicMs();
    return {
      observations: observations.map(({endpointId, perSecond, atMs}) => ({
        endpointId,
        perSecond,
        ageMs: nowMs - atMs,
      })),
    };
  }

  private sendObservations(): void {
    const body = this.createMessage([...this.unsent.values()]);
    this.unsent.clear();
    for (const text of this.options.directory.listOtherSenders()) {
      const address = parseAddress(text);
      if (address === undefined) continue;
      void this.options.peers.call({
        address,
        path: LIMIT_PATHS.observed,
        body,
        schema: DONE_SCHEMA,
        timeoutMs: TIMEOUT_MS,
      });
    }
  }
}
