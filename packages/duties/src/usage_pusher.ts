/** Pushes the starts of an entry's calls to the coordinator. */
import {Clock, UsageLedger} from '@sassafrasspan/core';
import type {ClusterWatch, PeerClient} from '@sassafrasspan/peers';
import {parseAddress, waitMs} from '@sassafrasspan/runtime';
import {USAGE_PATH, USAGE_RECEIVED_SCHEMA} from './usage_messages';

/** Time between two pushes, in ms. */
const PUSH_INTERVAL_MS = 1_000;
/** Time before a push that failed is repeated, in ms. */
const RETRY_MS = 250;
/** Timeout of a push, in ms. */
const TIMEOUT_MS = 500;

export interface UsagePusherOptions {
  /** Name and incarnation of the entry. */
  readonly name: string;
  readonly incarnation: string;
  readonly ledger: UsageLedger;
  readonly cluster: ClusterWatch;
  readonly peers: PeerClient;
  readonly clock: Clock;
}

export class UsagePusher {
  /** Receiver that has everything up to `sentChange`. */
  private receiver: string | undefined;
  private sentChange = 0;

  private constructor(private readonly options: UsagePusherOptions) {}

  static create(options: UsagePusherOptions): UsagePusher {
    return new UsagePusher(options);
  }

  /** Pushes until the process exits. */
  async run(): Promise<void> {
    for (;;) {
      const isDone = await this.push();
      await waitMs(isDone ? PUSH_INTERVAL_MS : RETRY_MS);
    }
  }

  /** Pushes once; returns whether the coordinator has everything. */
  async push(): Promise<boolean> {
    const {name, incarnation, ledger, cluster, peers, clock} = this.options;
    const coordinator = cluster.getCoordinator()?.record;
    const address = coordinator && parseAddress(coordinator.address);
    if (address === undefined) return false;
    const {receiver} = this;
    const nowMs = clock.readMonotonicMs();
    ledger.prune(nowMs);
    const change = ledger.getChange();
    const after = receiver === undefined ? 0 : this.sentChange;
    const reply = await peers.call({
      address,
      path: USAGE_PATH,
      body: {
        entry: name,
        incarnation,
        nowMs,
        wallMs: clock.readWallMs(),
        counts: ledger.listCounts(after),
        receiver,
      },
      schema: USAGE_RECEIVED_SCHEMA,
      timeoutMs: TIMEOUT_MS,
    });
    if (reply.isErr()) return false;
    this.receiver = reply.value.isComplete ? reply.value.receiver : undefined;
    this.sentChange = change;
    return reply.value.isComplete;
  }
}
