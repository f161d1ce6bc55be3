/**
 * Notifies the other entries of requests that may crash endpoints, since such a
 * request may be repeated at any entry.
 */
import {CrashSuspicion, Quarantine} from '@sassafrasspan/core';
import {PeerClient, PeerRoutes, createHandler} from '@sassafrasspan/peers';
import type {PeerAddress} from '@sassafrasspan/runtime';
import {ok} from 'neverthrow';
import * as z from 'zod/mini';

const PATH = '/entry/suspicions';
/** Timeout of a call to another entry, in ms. */
const TIMEOUT_MS = 500;
/** Time for which suspicions are collected into one message, in ms. */
const COLLECT_MS = 20;

const MESSAGE_SCHEMA = z.object({
  suspicions: z.array(
    z.object({fingerprint: z.string(), crashIds: z.array(z.string())}),
  ),
});

const DONE_SCHEMA = z.object({});

export interface SuspicionBroadcasterOptions {
  readonly quarantine: Quarantine;
  readonly peers: PeerClient;
  /** Lists the other entries. */
  readonly listEntries: () => readonly PeerAddress[];
}

/** Sends each new suspicion once to every other entry. */
export class SuspicionBroadcaster {
  /** Number of crashes that the other entries know, by fingerprint. */
  private readonly sentCrashCounts = new Map<string, number>();
  private isReceiving = false;
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: SuspicionBroadcasterOptions) {
    options.quarantine.subscribe(() => this.schedule());
  }

  static create(options: SuspicionBroadcasterOptions): SuspicionBroadcaster {
    return new SuspicionBroadcaster(options);
  }

  /** Returns the handler for messages of other entries. */
  createRoutes(): PeerRoutes {
    return {
      [PATH]: createHandler(MESSAGE_SCHEMA, ({suspicions}) => {
        this.receive(suspicions);
        return ok({});
      }),
    };
  }

  private receive(suspicions: readonly CrashSuspicion[]): void {
    this.isReceiving = true;
    this.options.quarantine.addSuspicions(suspicions);
    this.isReceiving = false;
    for (const {fingerprint, crashIds} of suspicions) {
      this.sentCrashCounts.set(fingerprint, crashIds.length);
    }
  }

  private schedule(): void {
    if (this.isReceiving || this.timer !== undefined) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      void this.sendNewSuspicions();
    }, COLLECT_MS);
  }

  private async sendNewSuspicions(): Promise<void> {
    const {quarantine, peers, listEntries} = this.options;
    const suspicions = quarantine
      .listSuspicions()
      .filter(
        item =>
          item.crashIds.length >
          (this.sentCrashCounts.get(item.fingerprint) ?? 0),
      );
    if (suspicions.length === 0) return;
    for (const {fingerprint, crashIds} of suspicions) {
      this.sentCrashCounts.set(fingerprint, crashIds.length);
    }
    await Promise.all(
      listEntries().map(address =>
        peers.call({
          address,
          path: PATH,
          body: {suspicions},
          schema: DONE_SCHEMA,
          timeoutMs: TIMEOUT_MS,
        }),
      ),
    );
  }
}
