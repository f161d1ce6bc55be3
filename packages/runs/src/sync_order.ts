/**
 * The order of a coordinator's sync calls at an agent. A call that was held up on its
 * way can arrive after later ones, when the coordinator does not read its answer any
 * more; it must not take the updates that a later call waits for.
 */
import type {SyncCall} from '@sassafrasspan/core';

export class SyncOrder {
  private latest: SyncCall | undefined;

  private constructor() {}

  static create(): SyncOrder {
    return new SyncOrder();
  }

  /** Makes a call the latest one; returns false when a later one is known. Of calls
   * that were made at the same time, or state none, the last one to arrive counts. */
  accept(call: SyncCall): boolean {
    const {latest} = this;
    const isSameCoordinator = latest?.epoch === call.epoch;
    const {madeAtMs = Infinity} = call;
    if (isSameCoordinator && madeAtMs < (latest.madeAtMs ?? 0)) return false;
    this.latest = call;
    return true;
  }

  /** Returns whether no other call has begun since. */
  isLatest(call: SyncCall): boolean {
    return this.latest === call;
  }
}
